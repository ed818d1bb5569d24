#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

// An HTTP/1.1 server with bounds on sizes, times and connections, and a drain that cuts no request in progress.

namespace Papaya
{

namespace Asio = boost::asio;

/** Answers requests; called from several threads at once. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /**
     * @return the answer to @p request; a status of 0 closes the connection without an answer, a field "Connection:
     * close" closes it behind the answer, and an exception becomes a 500
     */
    virtual Asio::awaitable<HttpResponse> handle(HttpRequest request) = 0;
};

/** Why the server cut a connection or refused a request before a handler saw it. */
enum class HttpDropReason {
    HeaderTimeout,   ///< the header did not come in time
    BodyTimeout,     ///< the body did not come in time
    WriteTimeout,    ///< the answer was not taken in time
    Evicted,         ///< closed to make way for a new connection
    ConnectionLimit, ///< refused, because every connection has a request in progress
    LargeBodyLimit,  ///< refused, because large bodies being read would take too much memory
    Count,
};

/** Bounds that keep slow and greedy clients from using the server up. */
struct HttpLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    std::size_t smallBodyBytes = 16 * 1024;          ///< bodies up to this size are always read
    std::size_t largeBodiesBytes = 16 * 1024 * 1024; ///< of all larger bodies in progress together
    Millis idleTimeout {60'000};
    Millis headerTimeout {5'000};
    Millis bodyTimeout {10'000};
    Millis writeTimeout {10'000};
};

/** A listener and its connections. */
class HttpServer
{
public:
    /**
     * Starts to listen.
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
    /** Closes every connection, cutting what is in progress. */
    void close();

    /** @return requests whose answer has not been written whole. */
    [[nodiscard]] std::size_t inProgress() const;
    /** @return how often the server has cut or refused for @p reason. */
    [[nodiscard]] std::uint64_t drops(HttpDropReason reason) const;
    /** @return the bound address; its port is the real one if 0 was asked for. */
    [[nodiscard]] Endpoint address() const;

private:
    class State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace Papaya
