#include "process/streambatch.h"

#include "base/codec.h"
#include "base/objectreader.h"

#include <map>

namespace Papaya
{

using Json = nlohmann::json;

Result<StreamBatch> StreamBatch::fromText(std::string_view text)
{
    const auto bytes = fromBase64(text);
    if (!bytes) {
        return bytes.errors();
    }
    const auto document = parseCbor(*bytes);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    StreamBatch batch;
    ObjectReader reader(*document, "", errors);
    batch.writer = InstanceId(reader.text("w", Presence::Required).value_or(""));
    batch.incarnation =
        Incarnation(static_cast<std::uint64_t>(reader.integer("n", 0, INT64_MAX, Presence::Required).value_or(0)));
    const Json *items = reader.array("i", Presence::Required);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i) {
        ObjectReader fields((*items)[i], "i[" + std::to_string(i) + "]", errors);
        BatchItem item;
        item.sequence = static_cast<std::uint64_t>(fields.integer("s", 0, INT64_MAX, Presence::Required).value_or(0));
        const Json *payload = fields.object("p", Presence::Required);
        if (payload != nullptr) {
            item.payload = *payload;
        }
        batch.items.push_back(std::move(item));
    }
    if (!errors.empty()) {
        return errors;
    }
    return batch;
}

std::string StreamBatch::toText() const
{
    Json list = Json::array();
    for (const BatchItem &item : items) {
        list.push_back({{"s", item.sequence}, {"p", item.payload}});
    }
    return toBase64(toCbor({{"w", writer.value()}, {"n", incarnation.value()}, {"i", std::move(list)}}));
}

bool DuplicateFilter::accept(const InstanceId &writer, Incarnation incarnation, std::uint64_t sequence)
{
    LastSeen &lastSeen = m_lastSeen[writer];
    if (incarnation < lastSeen.incarnation) {
        return false;
    }
    if (incarnation == lastSeen.incarnation && sequence <= lastSeen.sequence) {
        return false;
    }
    lastSeen = {incarnation, sequence};
    return true;
}

Json DuplicateFilter::toJsonValue() const
{
    std::map<std::string, Json> ordered;
    for (const auto &[writer, lastSeen] : m_lastSeen) {
        ordered[writer.value()] = Json::array({lastSeen.incarnation.value(), lastSeen.sequence});
    }
    return ordered.empty() ? Json::object() : Json(ordered);
}

Result<DuplicateFilter> DuplicateFilter::fromJson(const Json &value)
{
    DuplicateFilter filter;
    if (!value.is_object()) {
        return Error {"wrong-type", "must be an object", "writers"};
    }
    for (const auto &[writer, pair] : value.items()) {
        if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number_unsigned() || !pair[1].is_number_unsigned()) {
            return Error {"wrong-type", "must be a pair of non-negative numbers: incarnation and sequence",
                          "writers." + writer};
        }
        filter.m_lastSeen[InstanceId(writer)] = {Incarnation(pair[0].get<std::uint64_t>()),
                                                 pair[1].get<std::uint64_t>()};
    }
    return filter;
}

} // namespace Papaya
