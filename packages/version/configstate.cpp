#include "version/configstate.h"

#include "base/codec.h"
#include "base/objectreader.h"

#include <algorithm>

namespace Papaya
{

using Json = nlohmann::json;

namespace
{

// JSON implementations that store numbers as doubles represent integers exactly up to this value.
constexpr std::int64_t MAX_VERSION = 1LL << 53U;

} // namespace

Result<ConfigRecord> ConfigRecord::fromText(std::string_view text)
{
    const auto document = parseJson(text);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    ConfigRecord record;
    record.version = ConfigVersion(static_cast<std::uint64_t>(reader.integer("version", 0, MAX_VERSION).value_or(0)));
    if (const auto replaces = reader.integer("replaces", 0, MAX_VERSION)) {
        record.replaces = ConfigVersion(static_cast<std::uint64_t>(*replaces));
    }
    record.id = reader.text("id").value_or("");
    record.renewal = reader.boolean("renewal").value_or(false);
    const Json *config = reader.object("config", Presence::Required);
    reader.refuseUnknownKeys();
    if (!errors.empty()) {
        return errors;
    }
    record.config = *config;
    return record;
}

std::string ConfigRecord::toText() const
{
    Json document {{"version", version.value()}, {"id", id}, {"config", config}};
    if (replaces) {
        document["replaces"] = replaces->value();
    }
    if (renewal) {
        document["renewal"] = true;
    }
    return toJson(document);
}

ConfigVerdict ConfigState::refuse(std::string reason) const
{
    return {false, m_version, std::move(reason)};
}

ConfigVerdict ConfigState::apply(std::string_view text)
{
    auto record = ConfigRecord::fromText(text);
    if (!record) {
        const Error &first = record.errors().front();
        return refuse("malformed configuration record: " + first.path + " " + first.message);
    }
    // An instance that starts after older records have expired has no version yet and accepts the first valid record.
    const bool first = m_config == nullptr;
    if (record->renewal) {
        if (record->version < m_version) {
            return refuse("renewal of a version older than the one in force");
        }
        if (!first && record->version == m_version && record->id == m_record.id) {
            return {true, m_version, ""};
        }
    } else if (!first && record->replaces && *record->replaces != m_version) {
        return refuse("replaces version " + std::to_string(record->replaces->value()) + ", but version "
                      + std::to_string(m_version.value()) + " is in force");
    }
    auto config = FleetConfig::fromJson(record->config);
    if (!config) {
        const Error &error = config.errors().front();
        return refuse("invalid configuration: " + error.path + " " + error.message);
    }
    const std::uint64_t next = m_version.value() + 1;
    m_version = record->renewal ? record->version : ConfigVersion(std::max(next, record->version.value()));
    m_config = std::make_shared<const FleetConfig>(std::move(*config));
    m_record = std::move(*record);
    m_record.version = m_version;
    return {true, m_version, ""};
}

} // namespace Papaya
