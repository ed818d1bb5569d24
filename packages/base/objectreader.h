#pragma once

#include "base/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Reads the fields of one JSON object and collects every error with its path instead of stopping at the first.

namespace Papaya
{

/** Whether the absence of a field is an error. */
enum class Presence { Required, Optional };

/** Reader of one JSON object; the errors of nested readers go into the same list. */
class ObjectReader
{
public:
    /**
     * @param value must outlive the reader; anything but an object is reported as an error
     * @param path path of the object in its document, empty for the root
     * @param errors list that every problem is appended to
     */
    ObjectReader(const nlohmann::json &value, std::string path, Errors &errors);

    /** @return the text of field @p key, or nothing (reported if required or of another type). */
    std::optional<std::string> text(const char *key, Presence presence = Presence::Optional);

    /** @return the integer of field @p key if it lies within [@p low, @p high]. */
    std::optional<std::int64_t> integer(const char *key, std::int64_t low, std::int64_t high,
                                        Presence presence = Presence::Optional);

    /** @return the number of field @p key if it lies within [@p low, @p high]. */
    std::optional<double> number(const char *key, double low, double high, Presence presence = Presence::Optional);

    /** @return the boolean of field @p key. */
    std::optional<bool> boolean(const char *key, Presence presence = Presence::Optional);

    /** @return the index of field @p key's text within @p names. */
    std::optional<std::size_t> oneOf(const char *key, const std::vector<std::string_view> &names,
                                     Presence presence = Presence::Optional);

    /** @return the object of field @p key, or null. */
    const nlohmann::json *object(const char *key, Presence presence = Presence::Optional);

    /** @return the array of field @p key, or null. */
    const nlohmann::json *array(const char *key, Presence presence = Presence::Optional);

    /** Reports each field that no call has asked for. */
    void refuseUnknownKeys();

    /** @return the path of field @p key. */
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    /** Reports a problem with field @p key. */
    void report(const char *code, const std::string &message, std::string_view key);

private:
    const nlohmann::json *find(const char *key, Presence presence);

    const nlohmann::json &m_value;
    std::string m_path;
    Errors &m_errors;
    std::set<std::string, std::less<>> m_known;
};

} // namespace Papaya
