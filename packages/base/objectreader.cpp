#include "base/objectreader.h"

#include <utility>

namespace Papaya
{

using Json = nlohmann::json;

ObjectReader::ObjectReader(const Json &value, std::string path, Errors &errors)
    : m_value(value)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_value.is_object()) {
        m_errors.push_back({"wrong-type", "must be an object", m_path});
    }
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    if (m_path.empty()) {
        return std::string(key);
    }
    return m_path + "." + std::string(key);
}

void ObjectReader::report(const char *code, const std::string &message, std::string_view key)
{
    m_errors.push_back({code, message, pathOf(key)});
}

const Json *ObjectReader::find(const char *key, Presence presence)
{
    m_known.insert(key);
    if (!m_value.is_object()) {
        return nullptr;
    }
    const auto found = m_value.find(key);
    if (found != m_value.end()) {
        return &*found;
    }
    if (presence == Presence::Required) {
        report("missing", "is required", key);
    }
    return nullptr;
}

std::optional<std::string> ObjectReader::text(const char *key, Presence presence)
{
    const Json *field = find(key, presence);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string()) {
        report("wrong-type", "must be a string", key);
        return std::nullopt;
    }
    return field->get<std::string>();
}

std::optional<std::int64_t> ObjectReader::integer(const char *key, std::int64_t low, std::int64_t high,
                                                  Presence presence)
{
    const Json *field = find(key, presence);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number_integer()) {
        report("wrong-type", "must be an integer", key);
        return std::nullopt;
    }
    const bool tooLarge =
        field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t number = tooLarge ? INT64_MAX : field->get<std::int64_t>();
    if (tooLarge || number < low || number > high) {
        report("out-of-range", "must be from " + std::to_string(low) + " to " + std::to_string(high), key);
        return std::nullopt;
    }
    return number;
}

std::optional<double> ObjectReader::number(const char *key, double low, double high, Presence presence)
{
    const Json *field = find(key, presence);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_number()) {
        report("wrong-type", "must be a number", key);
        return std::nullopt;
    }
    const double value = field->get<double>();
    if (!(value >= low && value <= high)) {
        report("out-of-range", "must be from " + std::to_string(low) + " to " + std::to_string(high), key);
        return std::nullopt;
    }
    return value;
}

std::optional<bool> ObjectReader::boolean(const char *key, Presence presence)
{
    const Json *field = find(key, presence);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_boolean()) {
        report("wrong-type", "must be true or false", key);
        return std::nullopt;
    }
    return field->get<bool>();
}

std::optional<std::size_t> ObjectReader::oneOf(const char *key, const std::vector<std::string_view> &names,
                                               Presence presence)
{
    const auto value = text(key, presence);
    if (!value) {
        return std::nullopt;
    }
    std::string choices;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == *value) {
            return i;
        }
        choices += (i == 0 ? "" : ", ") + std::string(names[i]);
    }
    report("unknown-value", "must be one of " + choices, key);
    return std::nullopt;
}

const Json *ObjectReader::object(const char *key, Presence presence)
{
    const Json *field = find(key, presence);
    if (field != nullptr && !field->is_object()) {
        report("wrong-type", "must be an object", key);
        return nullptr;
    }
    return field;
}

const Json *ObjectReader::array(const char *key, Presence presence)
{
    const Json *field = find(key, presence);
    if (field != nullptr && !field->is_array()) {
        report("wrong-type", "must be an array", key);
        return nullptr;
    }
    return field;
}

void ObjectReader::refuseUnknownKeys()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &[key, field] : m_value.items()) {
        if (!m_known.contains(key)) {
            report("unknown-key", "is not a known field", key);
        }
    }
}

} // namespace Papaya
