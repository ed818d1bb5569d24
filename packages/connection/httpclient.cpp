#include "connection/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace Papaya
{

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 64;
constexpr Millis MAX_IDLE_TIME {30'000}; // below the usual 60 s after which servers close idle connections
constexpr std::size_t READ_BYTES = 32UL * 1024;
constexpr int USER_TIMEOUT_MS = 10'000; // closes the socket if sent data stays unacknowledged for this long

using UserTimeout = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

FailureKind toFailureKind(const error_code &error)
{
    if (error == Beast::error::timeout) {
        return FailureKind::Timeout;
    }
    if (error.category() == Http::make_error_code(Http::error::bad_method).category()
        && error != Http::error::end_of_stream && error != Http::error::partial_message) {
        return FailureKind::Malformed;
    }
    return FailureKind::Closed;
}

Http::request<Http::string_body> toMessage(const HttpRequest &request)
{
    Http::request<Http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(Http::field::host, "papayahall");
    for (const HttpField &field : request.fields.all()) {
        message.set(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/** A connection that runs all its operations on its own strand. */
class BeastConnection : public HttpConnection
{
public:
    explicit BeastConnection(Asio::io_context &io)
        : m_stream(std::make_shared<Beast::tcp_stream>(Asio::make_strand(io)))
        , m_lastActivity(Clock::now())
    {
    }

    ~BeastConnection() override
    {
        // The stream's timer may still be running on the strand, so the stream must be closed there.
        Asio::post(m_stream->get_executor(), [stream = m_stream] { stream->close(); });
    }

    BeastConnection(const BeastConnection &) = delete;
    BeastConnection &operator=(const BeastConnection &) = delete;

    Asio::awaitable<void> connect(const Endpoint &endpoint, TimePoint deadline)
    {
        co_await Asio::co_spawn(m_stream->get_executor(), connectOnStrand(m_stream, endpoint, deadline),
                                Asio::use_awaitable);
    }

    Asio::awaitable<HttpResponse> exchange(const HttpRequest &request, TimePoint deadline) override
    {
        m_reusable = false;
        try {
            auto [response, keepAlive] = co_await Asio::co_spawn(
                m_stream->get_executor(), exchangeOnStrand(m_stream, toMessage(request), request.maySend, deadline),
                Asio::use_awaitable);
            m_reusable = keepAlive;
            m_reused = true;
            m_lastActivity = Clock::now();
            co_return std::move(response);
        } catch (const HttpError &error) {
            m_reusable = error.kind() == FailureKind::Withdrawn;
            throw;
        }
    }

    [[nodiscard]] bool reusable() const override
    {
        return m_reusable;
    }
    [[nodiscard]] bool closedByPeer() const override
    {
        char byte = 0;
        const ssize_t read = ::recv(m_stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    [[nodiscard]] bool reused() const override
    {
        return m_reused;
    }
    [[nodiscard]] TimePoint lastActivity() const override
    {
        return m_lastActivity;
    }

private:
    using StreamPtr = std::shared_ptr<Beast::tcp_stream>;

    struct Answer {
        HttpResponse response;
        bool keepAlive = false;
    };

    static Asio::awaitable<void> connectOnStrand(StreamPtr stream, Endpoint endpoint, TimePoint deadline)
    {
        error_code error;
        const Tcp::endpoint target(Asio::ip::make_address(endpoint.ip), endpoint.port);
        stream->expires_at(deadline);
        co_await stream->async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            const FailureKind kind = error == Beast::error::timeout ? FailureKind::Timeout : FailureKind::Unreachable;
            throw HttpError(FailureStage::Connect, kind, endpoint.toString() + ": " + error.message());
        }
        stream->socket().set_option(Tcp::no_delay(true), error);
        stream->socket().set_option(UserTimeout(USER_TIMEOUT_MS), error);
    }

    static Asio::awaitable<Answer> exchangeOnStrand(StreamPtr stream, Http::request<Http::string_body> message,
                                                    std::function<bool()> maySend, TimePoint deadline)
    {
        if (maySend && !maySend()) {
            throw HttpError(FailureStage::Connect, FailureKind::Withdrawn, "request withdrawn before it was sent");
        }
        error_code error;
        auto token = Asio::redirect_error(Asio::use_awaitable, error);
        stream->expires_at(deadline);
        co_await Http::async_write(*stream, message, token);
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(MAX_ANSWER_BYTES);
        if (!error) {
            Beast::flat_buffer buffer;
            buffer.reserve(READ_BYTES); // otherwise Beast reads 512 bytes at a time, one turn of the event loop each
            co_await Http::async_read(*stream, buffer, parser, token);
        }
        if (error) {
            stream->close();
            throw HttpError(FailureStage::Exchange, toFailureKind(error), error.message());
        }
        // The time-out must not expire while the connection is idle in the pool.
        stream->expires_never();
        Answer answer;
        answer.keepAlive = parser.get().keep_alive() && !parser.get().need_eof();
        answer.response.status = parser.get().result_int();
        for (const auto &field : parser.get()) {
            answer.response.fields.append(field.name_string(), field.value());
        }
        answer.response.body = std::move(parser.get().body());
        co_return answer;
    }

    StreamPtr m_stream;
    bool m_reusable = true;
    bool m_reused = false;
    TimePoint m_lastActivity;
};

} // namespace

Asio::awaitable<HttpConnectionPtr> connectHttp(Asio::io_context &io, Endpoint endpoint, TimePoint deadline)
{
    auto connection = std::make_unique<BeastConnection>(io);
    co_await connection->connect(endpoint, deadline);
    co_return connection;
}

HttpPool::HttpPool(Asio::io_context &io)
    : m_io(io)
{
}

HttpConnectionPtr HttpPool::takeIdle(const Endpoint &endpoint, Duration maxIdleTime, bool openOnly)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[endpoint.toString()];
    const TimePoint oldest = Clock::now() - maxIdleTime;
    while (!idle.empty()) {
        HttpConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (connection->lastActivity() >= oldest && !(openOnly && connection->closedByPeer())) {
            return connection;
        }
    }
    return nullptr;
}

Asio::awaitable<HttpConnectionPtr> HttpPool::acquire(Endpoint endpoint, Duration maxIdleTime, TimePoint deadline)
{
    if (HttpConnectionPtr idle = takeIdle(endpoint, maxIdleTime, true)) {
        co_return idle;
    }
    co_return co_await connectHttp(m_io, endpoint, deadline);
}

void HttpPool::release(const Endpoint &endpoint, HttpConnectionPtr connection)
{
    if (!connection->reusable()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[endpoint.toString()];
    if (idle.size() < MAX_IDLE_CONNECTIONS_PER_ENDPOINT) {
        idle.push_back(std::move(connection));
    }
}

void HttpPool::dropIdle(const Endpoint &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(endpoint.toString());
}

Asio::awaitable<HttpResponse> HttpPool::exchangeOnce(Endpoint endpoint, HttpRequest request, TimePoint deadline)
{
    HttpConnectionPtr connection = co_await acquire(endpoint, MAX_IDLE_TIME, deadline);
    try {
        HttpResponse response = co_await connection->exchange(request, deadline);
        release(endpoint, std::move(connection));
        co_return response;
    } catch (const HttpError &error) {
        if (error.kind() == FailureKind::Withdrawn) {
            release(endpoint, std::move(connection));
        } else {
            dropIdle(endpoint);
        }
        throw;
    }
}

Asio::awaitable<HttpResponse> HttpPool::exchange(Endpoint endpoint, HttpRequest request, TimePoint deadline)
{
    if (HttpConnectionPtr pooled = takeIdle(endpoint, MAX_IDLE_TIME, false)) {
        try {
            HttpResponse response = co_await pooled->exchange(request, deadline);
            release(endpoint, std::move(pooled));
            co_return response;
        } catch (const HttpError &error) {
            dropIdle(endpoint);
            if (error.kind() != FailureKind::Closed) {
                throw;
            }
        }
    }
    HttpConnectionPtr fresh = co_await connectHttp(m_io, endpoint, deadline);
    HttpResponse response = co_await fresh->exchange(request, deadline);
    release(endpoint, std::move(fresh));
    co_return response;
}

} // namespace Papaya
