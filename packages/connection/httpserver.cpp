#include "connection/httpserver.h"

#include "connection/listener.h"
#include "connection/requestparser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Papaya
{

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Millis DISCARD_TIMEOUT {2'000};
constexpr std::size_t MAX_DISCARDED_BYTES = 16UL * 1024 * 1024;
constexpr std::size_t FIRST_READ_BYTES = 4096;
// Requests in a row that were received together with their predecessor. A client that sends without end and reads
// nothing would otherwise keep the process busy with work that nobody waits for.
constexpr unsigned MAX_PIPELINED_REQUESTS = 16;
constexpr std::size_t MIN_READ_BYTES = 512;
constexpr std::size_t DISCARD_READ_BYTES = 2048; // held by each refused connection
constexpr int MAX_EVICTION_ATTEMPTS = 4;         // the chosen connection may have begun a request in the meantime

Http::response<Http::string_body> toMessage(HttpResponse response, unsigned version, bool keepAlive)
{
    Http::response<Http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    message.version(version);
    for (const HttpField &field : response.fields.all()) {
        message.set(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

HttpResponse errorResponse(int status, const std::string &code, const std::string &message)
{
    HttpResponse response;
    response.status = status;
    response.fields.set(Field::CONTENT_TYPE, "application/json");
    response.fields.set(Field::OUTCOME, "not-run");
    response.fields.set(Field::REASON, code);
    response.body = R"({"error":{"code":")" + code + R"(","message":")" + message + R"(","path":""}})";
    return response;
}

HttpResponse parseErrorResponse(const error_code &error)
{
    if (error == Http::error::body_limit) {
        return errorResponse(413, "body-too-large", "the request body exceeds the size limit");
    }
    if (error == Http::error::header_limit) {
        return errorResponse(431, "header-too-large", "the request header exceeds the size limit");
    }
    return errorResponse(400, "malformed-http", "not a valid HTTP/1.1 request");
}

bool isParseError(const error_code &error)
{
    return error.category() == Http::make_error_code(Http::error::bad_method).category()
           && error != Http::error::end_of_stream && error != Http::error::partial_message;
}

} // namespace

/** State shared by the connections, which keep it alive until the last of them is closed. */
class HttpServer::State : public std::enable_shared_from_this<State>
{
public:
    State(Asio::io_context &io, const Endpoint &address, const HttpLimits &limits, HttpHandler &handler)
        : m_limits(limits)
        , m_handler(handler)
        , m_budget(limits.budget ? limits.budget : InputBudget::create())
        , m_listener(Listener::open(io, address))
    {
    }

    void start()
    {
        Asio::co_spawn(m_listener->strand(), acceptLoop(shared_from_this()), Asio::detached);
    }

    void drain()
    {
        m_draining = true;
        m_listener->close();
    }

    void close()
    {
        drain();
        const std::lock_guard lock(m_mutex);
        for (auto &[id, connection] : m_connections) {
            Asio::post(connection->stream.get_executor(), [connection = connection] { connection->stream.close(); });
        }
    }

    [[nodiscard]] std::uint64_t drops(HttpDropReason reason) const
    {
        return m_drops[static_cast<std::size_t>(reason)];
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_inProgress;
    }
    [[nodiscard]] const Endpoint &address() const
    {
        return m_listener->address();
    }

private:
    /** A connection. It runs on its stream's strand. */
    struct Connection {
        explicit Connection(Tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        Beast::tcp_stream stream;
        std::atomic<TimePoint> waitingSince {Clock::now()}; ///< start of the wait for the client; BUSY while answering
        std::uint64_t id = 0;
        unsigned pipelined = 0; ///< requests in a row answered without a read from the socket
        std::optional<InputBudget::Share> memory;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static constexpr TimePoint BUSY = TimePoint::max();

    static Asio::awaitable<void> acceptLoop(std::shared_ptr<State> self)
    {
        while (auto socket = co_await self->m_listener->accept()) {
            co_await self->admit(std::move(*socket));
        }
    }

    /** Adds a connection. At the limit, first evicts the one that has been waiting for its client the longest. */
    Asio::awaitable<void> admit(Tcp::socket socket)
    {
        for (int i = 0; atConnectionLimit() && i < MAX_EVICTION_ATTEMPTS; ++i) {
            if (const ConnectionPtr oldest = oldestWaiting()) {
                co_await Asio::co_spawn(oldest->stream.get_executor(), evict(*this, oldest), Asio::use_awaitable);
            }
        }
        if (atConnectionLimit()) {
            countDrop(HttpDropReason::ConnectionLimit);
            co_return;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        {
            const std::lock_guard lock(m_mutex);
            connection->id = m_nextId++;
            connection->memory.emplace(m_budget, disconnector(connection));
            m_connections.emplace(connection->id, connection);
        }
        Asio::co_spawn(connection->stream.get_executor(), serve(shared_from_this(), connection), Asio::detached);
    }

    [[nodiscard]] bool atConnectionLimit()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size() >= m_limits.connections;
    }

    /** @return the connection that has been waiting for its client the longest, or null if all are busy. */
    ConnectionPtr oldestWaiting()
    {
        const std::lock_guard lock(m_mutex);
        ConnectionPtr oldest;
        for (const auto &[id, connection] : m_connections) {
            const TimePoint since = connection->waitingSince;
            if (since != BUSY && (!oldest || since < oldest->waitingSince.load())) {
                oldest = connection;
            }
        }
        return oldest;
    }

    /** Closes @p connection unless it has begun a request in the meantime. Must run on the connection's strand. */
    static Asio::awaitable<void> evict(State &self, ConnectionPtr connection)
    {
        if (connection->waitingSince.load() == BUSY) {
            co_return;
        }
        self.countDrop(HttpDropReason::Evicted);
        connection->stream.close();
        self.removeConnection(*connection);
    }

    /** @return a function that closes @p connection on its strand. */
    std::function<void()> disconnector(const ConnectionPtr &connection)
    {
        return
            [state = weak_from_this(), weak = std::weak_ptr(connection), executor = connection->stream.get_executor()] {
                Asio::post(executor, [state, weak] {
                    const auto self = state.lock();
                    const auto open = weak.lock();
                    if (self && open) {
                        self->countDrop(HttpDropReason::Evicted);
                        open->stream.close();
                    }
                });
            };
    }

    void removeConnection(const Connection &connection)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection.id);
    }

    void countDrop(HttpDropReason reason)
    {
        ++m_drops[static_cast<std::size_t>(reason)];
    }

    static Asio::awaitable<void> serve(std::shared_ptr<State> self, ConnectionPtr connection)
    {
        try {
            Beast::flat_buffer buffer(2 * self->m_limits.headerBytes); // also limits chunk headers and trailers
            while (co_await self->serveOne(*connection, buffer)) {}
        } catch (const std::exception &) {
            // The answer could not be written. The handler has already counted it.
        }
        error_code ignored;
        connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        connection->stream.close();
        self->removeConnection(*connection);
    }

    /** Reads and answers one request. @return true if the connection can carry another one. */
    Asio::awaitable<bool> serveOne(Connection &connection, Beast::flat_buffer &buffer)
    {
        Beast::tcp_stream &stream = connection.stream;
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
        parser.body_limit(m_limits.bodyBytes);
        error_code error;
        auto token = Asio::redirect_error(Asio::use_awaitable, error);

        // 1. Wait for the first bytes. An idle connection costs nothing but this read.
        connection.waitingSince = Clock::now();
        if (buffer.size() == 0) {
            connection.pipelined = 0;
            connection.memory->hold(buffer.capacity());
            connection.memory->setWaiting();
            stream.expires_after(m_limits.idleTimeout);
            buffer.commit(co_await stream.async_read_some(buffer.prepare(FIRST_READ_BYTES), token));
        }
        // 2. Read the rest under the shorter time-outs for a request that has begun.
        if (!error) {
            connection.waitingSince = Clock::now();
            stream.expires_after(m_limits.headerTimeout);
            error = co_await parse(connection, buffer, parser, [&parser] { return parser.is_header_done(); });
            countTimeout(error, HttpDropReason::HeaderTimeout);
        }
        LargeBodyReservation reservation(m_largeBodies);
        if (!error && !parser.is_done()) {
            if (!reservation.reserve(bodyBytesToReserve(parser), m_limits)) {
                countDrop(HttpDropReason::LargeBodyLimit);
                co_await refuse(
                    stream,
                    errorResponse(503, "overloaded",
                                  "the request body would exceed the limit on large request bodies in progress"));
                co_return false;
            }
            stream.expires_after(m_limits.bodyTimeout);
            parser.eager(true);
            error = co_await parse(connection, buffer, parser, [&parser] { return parser.is_done(); });
            countTimeout(error, HttpDropReason::BodyTimeout);
        }
        if (error) {
            if (error == boost::system::errc::not_enough_memory) {
                countDrop(HttpDropReason::LargeBodyLimit);
                co_await refuse(stream, errorResponse(503, "overloaded", "requests being received use all memory"));
            } else if (isParseError(error)) {
                co_await refuse(stream, parseErrorResponse(error));
            }
            co_return false;
        }
        // 3. Answer. The stream has no time-out while the handler runs, since the handler has a deadline of its own.
        connection.waitingSince = BUSY;
        connection.memory->setServed();
        stream.expires_never();
        const InProgressGuard guard(m_inProgress);
        const bool keepAlive = parser.keep_alive();
        const unsigned version = parser.version();
        HttpResponse response = co_await answer(std::move(parser.request()));
        if (response.status == 0) {
            co_return false;
        }
        ++connection.pipelined;
        const bool keepOpen = keepAlive && !m_draining && connection.pipelined < MAX_PIPELINED_REQUESTS
                              && response.fields.get("Connection") != "close";
        // A client that does not take its answer may be disconnected like one that does not complete its request.
        connection.waitingSince = Clock::now();
        connection.memory->setWaiting();
        connection.memory->hold(buffer.capacity() + response.body.capacity());
        co_await write(stream, std::move(response), version, keepOpen);
        co_return keepOpen;
    }

    /**
     * Reads and parses until @p isComplete.
     * @return an error of the connection or of the parser, or not_enough_memory if the memory budget is exceeded
     */
    template<typename IsComplete>
    static Asio::awaitable<error_code> parse(Connection &connection, Beast::flat_buffer &buffer, RequestParser &parser,
                                             IsComplete isComplete)
    {
        error_code error;
        while (!isComplete()) {
            if (buffer.size() > 0) {
                buffer.consume(parser.put(buffer.cdata(), error));
                if (error && error != Http::error::need_more) {
                    co_return error;
                }
                if (!connection.memory->hold(parser.memoryBytes() + buffer.capacity())) {
                    co_return make_error_code(boost::system::errc::not_enough_memory);
                }
                if (!error) {
                    continue;
                }
            }
            const std::size_t room = buffer.max_size() - buffer.size();
            if (room == 0) {
                co_return Http::error::header_limit;
            }
            connection.pipelined = 0;
            const std::size_t size = std::min(room, std::max(MIN_READ_BYTES, buffer.capacity() - buffer.size()));
            buffer.commit(co_await connection.stream.async_read_some(buffer.prepare(size),
                                                                     Asio::redirect_error(Asio::use_awaitable, error)));
            if (error) {
                co_return error;
            }
        }
        co_return error_code();
    }

    /** @return the body's declared length in bytes, or the limit if the client declares none. */
    [[nodiscard]] std::size_t bodyBytesToReserve(const RequestParser &parser) const
    {
        const auto length = parser.content_length();
        return length ? static_cast<std::size_t>(*length) : m_limits.bodyBytes;
    }

    void countTimeout(const error_code &error, HttpDropReason reason)
    {
        if (error == Beast::error::timeout) {
            countDrop(reason);
        }
    }

    Asio::awaitable<void> refuse(Beast::tcp_stream &stream, HttpResponse refusal)
    {
        co_await write(stream, std::move(refusal), 11, false);
        co_await discardInput(stream);
    }

    /**
     * Reads and discards input after a rejection. Closing with unread input would reset the connection, and the client
     * could lose the answer.
     */
    static Asio::awaitable<void> discardInput(Beast::tcp_stream &stream)
    {
        error_code error;
        stream.socket().shutdown(Tcp::socket::shutdown_send, error);
        stream.expires_after(DISCARD_TIMEOUT);
        std::array<char, DISCARD_READ_BYTES> buffer {};
        std::size_t discarded = 0;
        while (!error && discarded < MAX_DISCARDED_BYTES) {
            discarded +=
                co_await stream.async_read_some(Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
        }
    }

    Asio::awaitable<HttpResponse> answer(HttpRequest request)
    {
        try {
            co_return co_await m_handler.handle(std::move(request));
        } catch (const std::exception &) {
            HttpResponse response = errorResponse(500, "internal", "internal error while handling the request");
            response.fields.set(Field::OUTCOME, "unknown");
            co_return response;
        }
    }

    Asio::awaitable<void> write(Beast::tcp_stream &stream, HttpResponse response, unsigned version, bool keepAlive)
    {
        const auto message = toMessage(std::move(response), version, keepAlive);
        error_code error;
        stream.expires_after(m_limits.writeTimeout);
        co_await Http::async_write(stream, message, Asio::redirect_error(Asio::use_awaitable, error));
        countTimeout(error, HttpDropReason::WriteTimeout);
        if (error) {
            throw boost::system::system_error(error);
        }
    }

    /** Reserves memory for one large body and releases it on destruction. */
    class LargeBodyReservation
    {
    public:
        explicit LargeBodyReservation(std::atomic<std::size_t> &total)
            : m_total(total)
        {
        }
        ~LargeBodyReservation()
        {
            m_total -= m_reserved;
        }
        LargeBodyReservation(const LargeBodyReservation &) = delete;
        LargeBodyReservation &operator=(const LargeBodyReservation &) = delete;

        /** @return false if the reservation exceeds the limit on all large bodies. */
        bool reserve(std::size_t bytes, const HttpLimits &limits)
        {
            if (bytes <= limits.smallBodyBytes) {
                return true;
            }
            m_reserved = bytes;
            return (m_total += bytes) <= limits.largeBodiesBytes;
        }

    private:
        std::atomic<std::size_t> &m_total;
        std::size_t m_reserved = 0;
    };

    /** Counts a request as in progress for its lifetime. */
    struct InProgressGuard {
        explicit InProgressGuard(std::atomic<std::size_t> &count)
            : m_count(count)
        {
            ++m_count;
        }
        ~InProgressGuard()
        {
            --m_count;
        }
        InProgressGuard(const InProgressGuard &) = delete;
        InProgressGuard &operator=(const InProgressGuard &) = delete;

    private:
        std::atomic<std::size_t> &m_count;
    };

    const HttpLimits m_limits;
    HttpHandler &m_handler;
    const std::shared_ptr<InputBudget> m_budget;
    const std::shared_ptr<Listener> m_listener;
    std::atomic<bool> m_draining {false};
    std::atomic<std::size_t> m_inProgress {0};
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, ConnectionPtr> m_connections;
    std::atomic<std::size_t> m_largeBodies {0};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(HttpDropReason::Count)> m_drops {};
    std::uint64_t m_nextId = 1;
};

std::unique_ptr<HttpServer> HttpServer::listen(Asio::io_context &io, const Endpoint &address, const HttpLimits &limits,
                                               HttpHandler &handler)
{
    auto state = std::make_shared<State>(io, address, limits, handler);
    state->start();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer()
{
    m_state->close();
}

void HttpServer::drain()
{
    m_state->drain();
}

void HttpServer::close()
{
    m_state->close();
}

std::size_t HttpServer::inProgress() const
{
    return m_state->inProgress();
}

std::uint64_t HttpServer::drops(HttpDropReason reason) const
{
    return m_state->drops(reason);
}

Endpoint HttpServer::address() const
{
    return m_state->address();
}

} // namespace Papaya
