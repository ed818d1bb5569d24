#pragma once

#include <string>
#include <string_view>
#include <vector>

// Plain HTTP messages, so that only the server and client sources see the HTTP library.

namespace Papaya
{

/** One header field. */
struct HttpField {
    std::string name;
    std::string value;
};

/** Header fields in order; names compare without case. */
class HttpFields
{
public:
    /** Sets @p name to @p value, replacing an earlier value. */
    void set(std::string_view name, std::string_view value);
    /** Appends a field without looking for an earlier one. */
    void append(std::string_view name, std::string_view value);
    /** @return the value of @p name, or an empty text. */
    [[nodiscard]] const std::string &get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] const std::vector<HttpField> &all() const
    {
        return m_fields;
    }

private:
    std::vector<HttpField> m_fields;
};

/** A request; the target holds path and query. */
struct HttpRequest {
    std::string method;
    std::string target;
    HttpFields fields;
    std::string body;

    /** @return the target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** @return the value of query parameter @p name, or an empty text. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
};

/** An answer. */
struct HttpResponse {
    int status = 200;
    HttpFields fields;
    std::string body;
};

/** Names of the header fields of the caller and minion protocols. */
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
