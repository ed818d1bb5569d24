#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <stdexcept>
#include <unordered_map>
#include <vector>

// Client connections and their pool. A connection carries one exchange at a time and is closed after any failure, so
// that a late answer has nowhere to go.

namespace Papaya
{

namespace Asio = boost::asio;

/** How far an exchange got before it failed. */
enum class FailureStage {
    Connect,  ///< no byte was sent
    Exchange, ///< the other side may have acted on the request
};

/** What ended an exchange. */
enum class FailureKind { Unreachable, Timeout, Closed, Malformed };

/** A failed exchange. */
class HttpError : public std::runtime_error
{
public:
    HttpError(FailureStage stage, FailureKind kind, const std::string &message)
        : std::runtime_error(message)
        , m_stage(stage)
        , m_kind(kind)
    {
    }
    [[nodiscard]] FailureStage stage() const
    {
        return m_stage;
    }
    [[nodiscard]] FailureKind kind() const
    {
        return m_kind;
    }

private:
    FailureStage m_stage;
    FailureKind m_kind;
};

/** One open connection. */
class HttpConnection
{
public:
    virtual ~HttpConnection() = default;

    /**
     * Sends @p request and reads the whole answer.
     * @param deadline after it the connection is closed and HttpError(Timeout) thrown
     * @throws HttpError; the connection must then be dropped
     */
    virtual Asio::awaitable<HttpResponse> exchange(const HttpRequest &request, TimePoint deadline) = 0;

    /** @return true if another exchange may follow. */
    [[nodiscard]] virtual bool reusable() const = 0;
    /** @return true if an exchange has been carried before. */
    [[nodiscard]] virtual bool reused() const = 0;
    /** @return when the last answer came, or when the connection was opened. */
    [[nodiscard]] virtual TimePoint lastActivity() const = 0;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/** Largest body of an answer that is accepted, in bytes. */
constexpr std::size_t MAX_ANSWER_BYTES = 8UL * 1024 * 1024;

/**
 * Opens a connection.
 * @throws HttpError with stage Connect
 */
Asio::awaitable<HttpConnectionPtr> connectHttp(Asio::io_context &io, Endpoint endpoint, TimePoint deadline);

/** Idle connections by endpoint. */
class HttpPool
{
public:
    explicit HttpPool(Asio::io_context &io);

    /**
     * Takes an idle connection that was heard from within @p maxIdleTime, or opens one.
     * @throws HttpError with stage Connect
     */
    Asio::awaitable<HttpConnectionPtr> acquire(Endpoint endpoint, Duration maxIdleTime, TimePoint deadline);

    /** Keeps @p connection for later if it can be reused. */
    void release(const Endpoint &endpoint, HttpConnectionPtr connection);

    /** Closes every idle connection to @p endpoint. */
    void dropIdle(const Endpoint &endpoint);

    /**
     * One whole exchange of a request that is sent at most once. A failure drops every idle connection to the endpoint.
     * @throws HttpError; only one with stage Connect says that the other side has not acted
     */
    Asio::awaitable<HttpResponse> exchangeOnce(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    /**
     * One whole exchange of a request that may be sent twice: where a kept connection turns out to be closed, a fresh
     * one is tried, and a timeout drops every idle connection to the endpoint.
     * @throws HttpError
     */
    Asio::awaitable<HttpResponse> exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline);

private:
    HttpConnectionPtr takeIdle(const Endpoint &endpoint, Duration maxIdleTime);

    Asio::io_context &m_io;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<HttpConnectionPtr>> m_idle;
};

} // namespace Papaya
