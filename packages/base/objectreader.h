#pragma once

#include "base/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Reads the fields of a JSON object, and collects all errors with their paths instead of stopping at the first.

namespace Papaya
{

/** Whether the absence of a field is an error. */
enum class Presence { Required, Optional };

/** Reader of one JSON object. Readers of nested objects append to the same list of errors. */
class ObjectReader
{
public:
    /**
     * @param value must outlive the reader; anything but an object is reported as an error
     * @param path path of the object in its document, empty for the root
     * @param errors list that every error is appended to; must outlive the reader
     */
    ObjectReader(const nlohmann::json &value, std::string path, Errors &errors);

    /** @return the text of field @p key, or nothing; a missing required field or another type is reported. */
    std::optional<std::string> text(const char *key, Presence presence = Presence::Optional);

    /** @return the integer of field @p key, or nothing; a value outside [@p low, @p high] is reported. */
    std::optional<std::int64_t> integer(const char *key, std::int64_t low, std::int64_t high,
                                        Presence presence = Presence::Optional);

    /** @return the number of field @p key, or nothing; a value outside [@p low, @p high] is reported. */
    std::optional<double> number(const char *key, double low, double high, Presence presence = Presence::Optional);

    /** @return the boolean of field @p key, or nothing. */
    std::optional<bool> boolean(const char *key, Presence presence = Presence::Optional);

    /** @return the index in @p names of the text of field @p key, or nothing; any other text is reported. */
    std::optional<std::size_t> oneOf(const char *key, const std::vector<std::string_view> &names,
                                     Presence presence = Presence::Optional);

    /** @return the object of field @p key, or null. */
    const nlohmann::json *object(const char *key, Presence presence = Presence::Optional);

    /** @return the array of field @p key, or null. */
    const nlohmann::json *array(const char *key, Presence presence = Presence::Optional);

    /** Reports each field of the object that no call has asked for; to be called last. */
    void refuseUnknownKeys();

    /** @return the path of field @p key in the document. */
    [[nodiscard]] std::string pathOf(std::string_view key) const;

    /** Appends an error about field @p key. */
    void report(const char *code, const std::string &message, std::string_view key);

private:
    const nlohmann::json *find(const char *key, Presence presence);

    const nlohmann::json &m_value;
    std::string m_path;
    Errors &m_errors;
    std::set<std::string, std::less<>> m_known;
};

} // namespace Papaya
