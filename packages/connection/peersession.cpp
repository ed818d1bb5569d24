#include "connection/peersession.h"

#include "connection/http2connection.h"
#include "connection/listener.h"
#include "connection/waiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <mutex>
#include <set>

namespace Papaya
{

using Tcp = Asio::ip::tcp;
using boost::system::error_code;

/** The listening socket and its connections. */
class PeerServer::State : public std::enable_shared_from_this<State>
{
public:
    State(Asio::io_context &io, const Endpoint &address, PeerHandler &handler, PeerTraffic &traffic,
          const PeerLimits &limits)
        : m_handler(handler)
        , m_traffic(traffic)
        , m_limits(limits)
        , m_listener(Listener::open(io, address))
    {
    }

    void start()
    {
        Asio::co_spawn(m_listener->strand(), accept(shared_from_this()), Asio::detached);
    }

    void close()
    {
        m_listener->close();
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        for (const auto &connection : m_connections) {
            Asio::post(connection.strand, [weak = connection.weak] {
                if (const auto open = weak.lock()) {
                    open->close();
                }
            });
        }
        m_connections.clear();
    }

private:
    /** Refers to an accepted connection, which its own read loop keeps alive. */
    struct ConnectionRef {
        Asio::any_io_executor strand;
        std::weak_ptr<Http2Connection> weak;
    };

    static Asio::awaitable<void> accept(std::shared_ptr<State> self)
    {
        while (auto socket = co_await self->m_listener->accept()) {
            self->serve(std::move(*socket));
        }
    }

    void serve(Tcp::socket socket)
    {
        const Asio::any_io_executor strand = socket.get_executor();
        auto connection = Http2Connection::create(std::move(socket), Http2Side::Server, m_traffic);
        {
            const std::lock_guard lock(m_mutex);
            std::erase_if(m_connections, [](const ConnectionRef &ref) { return ref.weak.expired(); });
            if (m_closed) {
                return;
            }
            while (m_connections.size() >= m_limits.connections) {
                closeLongestSilent();
            }
            m_connections.push_back({strand, connection});
        }
        std::weak_ptr<Http2Connection> weak = connection;
        connection->onMessage = [self = shared_from_this(), weak](std::int32_t stream, const Http2Message &message) {
            if (const auto open = weak.lock()) {
                open->sendAnswer(stream, self->m_handler.onPeerRequest(message.path, message.body));
            }
        };
        connection->limitMemory(m_limits.budget);
        Asio::post(strand, [connection] { connection->start(); });
    }

    void closeLongestSilent()
    {
        const auto lastMessageAt = [](const ConnectionRef &ref) {
            const auto open = ref.weak.lock();
            return open ? open->lastMessageAt() : TimePoint::min();
        };
        const auto oldest = std::ranges::min_element(m_connections, {}, lastMessageAt);
        Asio::post(oldest->strand, [weak = oldest->weak] {
            if (const auto open = weak.lock()) {
                open->close();
            }
        });
        m_connections.erase(oldest);
    }

    PeerHandler &m_handler;
    PeerTraffic &m_traffic;
    const PeerLimits m_limits;
    const std::shared_ptr<Listener> m_listener;
    std::mutex m_mutex;
    bool m_closed = false;
    std::vector<ConnectionRef> m_connections;
};

std::unique_ptr<PeerServer> PeerServer::listen(Asio::io_context &io, const Endpoint &address, PeerHandler &handler,
                                               PeerTraffic &traffic, const PeerLimits &limits)
{
    auto state = std::make_shared<State>(io, address, handler, traffic, limits);
    state->start();
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(state)));
}

PeerServer::PeerServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

PeerServer::~PeerServer()
{
    close();
}

void PeerServer::close()
{
    m_state->close();
}

namespace
{

/** An exchange or a ping that waits for its answer. */
struct PendingAnswer {
    std::shared_ptr<Waiter> waiter;
    bool complete = false;
    std::string body;
};

/** Client side of a session. The state is shared with the connection's callbacks and accessed only on its strand. */
class ClientSession : public PeerSession
{
public:
    explicit ClientSession(std::shared_ptr<Http2Connection> connection, Asio::any_io_executor strand)
        : m_state(std::make_shared<State>())
    {
        m_state->connection = std::move(connection);
        m_state->strand = std::move(strand);
        std::weak_ptr<State> weak = m_state;
        m_state->connection->onMessage = [weak](std::int32_t stream, Http2Message message) {
            if (const auto state = weak.lock()) {
                state->onAnswer(stream, message.status == "200", std::move(message.body));
            }
        };
        m_state->connection->onStreamFailed = [weak](std::int32_t stream) {
            if (const auto state = weak.lock()) {
                state->onAnswer(stream, false, "");
            }
        };
        m_state->connection->onPong = [weak] {
            if (const auto state = weak.lock()) {
                state->onPong();
            }
        };
        m_state->connection->onClosed = [weak] {
            if (const auto state = weak.lock()) {
                state->failAll();
            }
        };
    }

    ~ClientSession() override
    {
        Asio::post(m_state->strand, [state = m_state] { state->connection->close(); });
    }

    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    Asio::awaitable<std::string> exchange(std::string path, std::string body, TimePoint deadline) override
    {
        co_return co_await Asio::co_spawn(m_state->strand, send(m_state, std::move(path), std::move(body), deadline),
                                          Asio::use_awaitable);
    }

    Asio::awaitable<void> ping(TimePoint deadline) override
    {
        co_await Asio::co_spawn(m_state->strand, probe(m_state, deadline), Asio::use_awaitable);
    }

private:
    struct State {
        std::shared_ptr<Http2Connection> connection;
        Asio::any_io_executor strand;
        std::map<std::int32_t, std::shared_ptr<PendingAnswer>> pending;
        std::shared_ptr<PendingAnswer> pendingPong;

        void onAnswer(std::int32_t stream, bool complete, std::string body)
        {
            const auto found = pending.find(stream);
            if (found != pending.end()) {
                found->second->complete = complete;
                found->second->body = std::move(body);
                found->second->waiter->notify();
                pending.erase(found);
            }
        }

        void onPong()
        {
            if (pendingPong) {
                pendingPong->complete = true;
                pendingPong->waiter->notify();
            }
        }

        void failAll()
        {
            for (const auto &[stream, waiting] : pending) {
                waiting->waiter->notify();
            }
            pending.clear();
            if (pendingPong) {
                pendingPong->waiter->notify();
            }
        }
    };

    static Asio::awaitable<std::string> send(std::shared_ptr<State> state, std::string path, std::string body,
                                             TimePoint deadline)
    {
        auto waiting = std::make_shared<PendingAnswer>();
        waiting->waiter = Waiter::create(state->strand);
        const std::int32_t stream = state->connection->sendRequest(path, std::move(body));
        if (stream < 0) {
            throw PeerError("cannot send to the peer: the session is closed");
        }
        state->pending[stream] = waiting;
        const bool notified = co_await waiting->waiter->wait(deadline);
        state->pending.erase(stream);
        if (!waiting->complete) {
            throw PeerError(notified ? "the session or stream was closed before the peer answered"
                                     : "the peer did not answer before the deadline");
        }
        co_return std::move(waiting->body);
    }

    static Asio::awaitable<void> probe(std::shared_ptr<State> state, TimePoint deadline)
    {
        auto waiting = std::make_shared<PendingAnswer>();
        waiting->waiter = Waiter::create(state->strand);
        state->pendingPong = waiting;
        state->connection->sendPing();
        if (!state->connection->closed()) {
            co_await waiting->waiter->wait(deadline);
        }
        state->pendingPong.reset();
        if (!waiting->complete) {
            throw PeerError("the peer did not answer a ping before the deadline or the end of the session");
        }
    }

    std::shared_ptr<State> m_state;
};

struct OpenedConnection {
    std::shared_ptr<Http2Connection> connection;
    Asio::any_io_executor strand;
};

Asio::awaitable<OpenedConnection> openOnStrand(Asio::any_io_executor strand, Endpoint peer, PeerTraffic &traffic,
                                               TimePoint deadline)
{
    auto socket = std::make_shared<Tcp::socket>(strand);
    auto timer = std::make_shared<Asio::steady_timer>(strand, deadline);
    timer->async_wait([socket](const error_code &error) {
        error_code ignored;
        if (!error) {
            socket->close(ignored);
        }
    });
    error_code error;
    const Tcp::endpoint target(Asio::ip::make_address(peer.ip), peer.port);
    co_await socket->async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
    timer->cancel();
    if (error) {
        throw PeerError(peer.toString() + ": " + error.message());
    }
    socket->set_option(Tcp::no_delay(true), error);
    OpenedConnection opened;
    opened.strand = strand;
    opened.connection = Http2Connection::create(std::move(*socket), Http2Side::Client, traffic);
    opened.connection->start();
    co_return opened;
}

} // namespace

Asio::awaitable<std::unique_ptr<PeerSession>> connectPeer(Asio::io_context &io, Endpoint peer, PeerTraffic &traffic,
                                                          TimePoint deadline)
{
    const Asio::any_io_executor strand = Asio::make_strand(io);
    OpenedConnection opened =
        co_await Asio::co_spawn(strand, openOnStrand(strand, std::move(peer), traffic, deadline), Asio::use_awaitable);
    co_return std::make_unique<ClientSession>(std::move(opened.connection), std::move(opened.strand));
}

} // namespace Papaya
