#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/http.h"
#include "connection/inputbudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

// An HTTP/1.1 server that limits the size of messages, the time to transfer them and the number of connections.
// Draining it lets the requests in progress finish.

namespace Papaya
{

namespace Asio = boost::asio;

/** Answers requests. Called from several threads concurrently. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /**
     * @return the answer to @p request. Status 0 closes the connection without an answer, and a field "Connection:
     * close" closes it after the answer. An exception is answered with status 500.
     */
    virtual Asio::awaitable<HttpResponse> handle(HttpRequest request) = 0;
};

/** Why the server itself, not the handler, closed a connection or rejected a request. */
enum class HttpDropReason {
    HeaderTimeout,   ///< the header was not received within headerTimeout
    BodyTimeout,     ///< the body was not received within bodyTimeout
    WriteTimeout,    ///< the client did not read the answer within writeTimeout
    Evicted,         ///< closed while waiting for the client, to admit a new connection or free memory
    ConnectionLimit, ///< rejected, since all connections have a request in progress
    LargeBodyLimit,  ///< rejected, since the large bodies in progress would exceed largeBodiesBytes
    Count,
};

/** Limits that keep slow or greedy clients from exhausting memory and connections. */
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    std::size_t smallBodyBytes = 16 * 1024;          ///< bodies up to this size are always read
    std::size_t largeBodiesBytes = 16 * 1024 * 1024; ///< total of all larger bodies in progress
    /** Shared by all listeners of a process; null gives the listener a budget of its own. */
    std::shared_ptr<InputBudget> budget = nullptr;
    Millis idleTimeout {60'000};
    Millis headerTimeout {5'000};
    Millis bodyTimeout {10'000};
    Millis writeTimeout {10'000};
};

/** A listening socket and its connections. */
class HttpServer
{
public:
    /**
     * Binds @p address and starts to accept connections.
     * @param handler must outlive the server
     * @throws boost::system::system_error if the address cannot be bound
     */
    static std::unique_ptr<HttpServer> listen(Asio::io_context &io, const Endpoint &address, const HttpLimits &limits,
                                              HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Stops accepting; each connection is closed after its next answer. */
    void drain();
    /** Closes every connection at once, also those with a request in progress. */
    void close();

    /** @return the number of completely received requests whose answer has not been fully written. */
    [[nodiscard]] std::size_t inProgress() const;
    /** @return the number of connections and requests that were dropped for @p reason. */
    [[nodiscard]] std::uint64_t drops(HttpDropReason reason) const;
    /** @return the bound address, with the assigned port if port 0 was requested. */
    [[nodiscard]] Endpoint address() const;

private:
    class State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Papaya
