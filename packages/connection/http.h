#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

// HTTP messages that are independent of the HTTP library, which only the server and client sources include.

namespace Papaya
{

/** A header field. */
struct HttpField {
    std::string name;
    std::string value;
};

/** Header fields in their order. Names are compared case-insensitively. */
class HttpFields
{
public:
    /** Sets field @p name to @p value. Replaces the first field of that name, if any. */
    void set(std::string_view name, std::string_view value);
    /** Appends a field, even if there is already one named @p name. */
    void append(std::string_view name, std::string_view value);
    /** @return the value of the first field named @p name, or an empty string. */
    [[nodiscard]] const std::string &get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] const std::vector<HttpField> &all() const
    {
        return m_fields;
    }

private:
    std::vector<HttpField> m_fields;
};

/** An HTTP request. The target consists of path and query. */
struct HttpRequest {
    std::string method;
    std::string target;
    HttpFields fields;
    std::string body;
    /** Asked when a client is about to write the request; if it returns false, nothing is sent. Empty means true. */
    std::function<bool()> maySend = {};

    /** @return the target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** @return the undecoded value of query parameter @p name, or an empty string. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
};

/** An HTTP response. */
struct HttpResponse {
    int status = 200;
    HttpFields fields;
    std::string body;
};

/** Names of the header fields that the HTTP protocols use. */
namespace Field
{
constexpr std::string_view REQUEST = "Papayahall-Request";
constexpr std::string_view OUTCOME = "Papayahall-Outcome";
constexpr std::string_view REASON = "Papayahall-Reason";
constexpr std::string_view REPLAYED = "Papayahall-Replayed";
constexpr std::string_view TEAM = "Papayahall-Team";
constexpr std::string_view CALLER = "Papayahall-Caller";
constexpr std::string_view DEADLINE_MS = "Papayahall-Deadline-Ms";
constexpr std::string_view SLOTS_BUSY = "Papayahall-Slots-Busy";
constexpr std::string_view LEAVING = "Papayahall-Leaving";
constexpr std::string_view IDEMPOTENCY_KEY = "Idempotency-Key";
constexpr std::string_view AUTHORIZATION = "Authorization";
constexpr std::string_view RETRY_AFTER = "Retry-After";
constexpr std::string_view CONTENT_TYPE = "Content-Type";
constexpr std::string_view IF_MATCH = "If-Match";
constexpr std::string_view IF_NONE_MATCH = "If-None-Match";
constexpr std::string_view ETAG = "ETag";
} // namespace Field

} // namespace Papaya
