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

// HTTP client connections and their pool. A connection carries one exchange at a time and is closed after any failure,
// so that a late answer cannot be taken for the answer to a later request.

namespace Papaya
{

namespace Asio = boost::asio;

/** Stage in which an exchange failed. */
enum class FailureStage {
    Connect,  ///< no byte of the request was sent on this connection
    Exchange, ///< the server may have processed the request
};

/** Cause of a failed exchange. */
enum class FailureKind {
    Unreachable,
    Timeout,
    Closed,
    Malformed,
    Withdrawn, ///< HttpRequest::maySend() returned false; the connection can be used again
};

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
     * Sends @p request and reads the complete answer.
     * @param deadline when it passes, the connection is closed and HttpError with kind Timeout thrown
     * @throws HttpError, after which the connection must be discarded
     */
    virtual Asio::awaitable<HttpResponse> exchange(const HttpRequest &request, TimePoint deadline) = 0;

    /** @return true if the connection can carry another exchange. */
    [[nodiscard]] virtual bool reusable() const = 0;
    /** @return true if the connection is idle and the peer is known to have closed it. */
    [[nodiscard]] virtual bool closedByPeer() const = 0;
    /** @return true if the connection has already carried an exchange. */
    [[nodiscard]] virtual bool reused() const = 0;
    /** @return when the last answer was received, or when the connection was created if there was none. */
    [[nodiscard]] virtual TimePoint lastActivity() const = 0;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/** Largest accepted body of an answer, in bytes. */
constexpr std::size_t MAX_ANSWER_BYTES = 8UL * 1024 * 1024;

/**
 * Opens a connection.
 * @throws HttpError with stage Connect
 */
Asio::awaitable<HttpConnectionPtr> connectHttp(Asio::io_context &io, Endpoint endpoint, TimePoint deadline);

/** Pool of idle connections by endpoint. */
class HttpPool
{
public:
    explicit HttpPool(Asio::io_context &io);

    /**
     * Takes an idle connection whose last activity is at most @p maxIdleTime ago, or opens a new one. Connections found
     * to be idle for longer or closed by the peer are closed, as whatever is sent on them may have been processed.
     * @throws HttpError with stage Connect
     */
    Asio::awaitable<HttpConnectionPtr> acquire(Endpoint endpoint, Duration maxIdleTime, TimePoint deadline);

    /** Returns @p connection to the pool, or closes it if it cannot be reused or the pool is full. */
    void release(const Endpoint &endpoint, HttpConnectionPtr connection);

    /** Closes every idle connection to @p endpoint. */
    void dropIdle(const Endpoint &endpoint);

    /**
     * Sends @p request at most once and returns the answer. A failure other than a withdrawal closes every idle
     * connection to the endpoint.
     * @throws HttpError; only stage Connect guarantees that the server has not processed the request
     */
    Asio::awaitable<HttpResponse> exchangeOnce(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    /**
     * Sends @p request, which must be safe to send twice, and returns the answer. If a pooled connection is closed
     * before the answer is complete, the request is repeated on a new one. Any failure of a pooled connection closes
     * every idle connection to the endpoint.
     * @throws HttpError; even with stage Connect the server may have processed the request before it was repeated
     */
    Asio::awaitable<HttpResponse> exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline);

private:
    /** @param openOnly true to pass over connections that the peer has closed, at the cost of a system call */
    HttpConnectionPtr takeIdle(const Endpoint &endpoint, Duration maxIdleTime, bool openOnly);

    Asio::io_context &m_io;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<HttpConnectionPtr>> m_idle;
};

} // namespace Papaya
