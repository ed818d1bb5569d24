#include "standins/faultproxy.h"

#include "connection/waiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <set>

namespace Papaya::Standins
{

using Tcp = Asio::ip::tcp;
using boost::system::error_code;

class FaultProxy::State : public std::enable_shared_from_this<State>
{
public:
    State(Asio::io_context &io, Endpoint target)
        : m_strand(Asio::make_strand(io))
        , m_acceptor(m_strand)
        , m_target(std::move(target))
    {
    }

    void open(const Endpoint &listen)
    {
        const Tcp::endpoint endpoint(Asio::ip::make_address(listen.ip), listen.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_address = {listen.ip, m_acceptor.local_endpoint().port()};
        Asio::co_spawn(m_strand, accept(shared_from_this()), Asio::detached);
    }

    void close()
    {
        Asio::post(m_strand, [self = shared_from_this()] {
            error_code ignored;
            self->m_closed = true;
            self->m_acceptor.close(ignored);
            self->cutAll();
        });
    }

    template<typename Edit>
    void forEachLink(Edit edit)
    {
        Asio::post(m_strand, [self = shared_from_this(), edit] {
            for (const auto &link : self->m_links) {
                edit(*link);
            }
        });
    }

    void cutAll()
    {
        error_code ignored;
        for (const auto &link : m_links) {
            link->client.close(ignored);
            link->server.close(ignored);
        }
    }

    struct Link {
        Tcp::socket client;
        Tcp::socket server;
        bool silent = false;
        bool halfOpen = false;
        std::int64_t answerBytes = 0;
    };
    using LinkPtr = std::shared_ptr<Link>;

    Endpoint m_address;
    std::atomic<std::int64_t> m_delayMs {0};
    std::atomic<std::int64_t> m_cutAfterBytes {-1};
    std::atomic<bool> m_silent {false};
    std::atomic<bool> m_refuse {false};
    std::atomic<std::uint64_t> m_accepted {0};
    std::atomic<std::uint64_t> m_bytes {0};
    Asio::strand<Asio::io_context::executor_type> strand()
    {
        return m_strand;
    }

private:
    static Asio::awaitable<void> accept(std::shared_ptr<State> self)
    {
        while (!self->m_closed) {
            error_code error;
            Tcp::socket socket =
                co_await self->m_acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            ++self->m_accepted;
            if (!self->m_refuse) {
                auto link = std::make_shared<Link>(Link {std::move(socket), Tcp::socket(self->m_strand)});
                Asio::co_spawn(self->m_strand, serve(self, link), Asio::detached);
            }
        }
    }

    static Asio::awaitable<void> serve(std::shared_ptr<State> self, LinkPtr link)
    {
        error_code error;
        const Tcp::endpoint target(Asio::ip::make_address(self->m_target.ip), self->m_target.port);
        self->m_links.insert(link);
        co_await link->server.async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            self->drop(link);
            co_return;
        }
        link->client.set_option(Tcp::no_delay(true), error);
        link->server.set_option(Tcp::no_delay(true), error);
        Asio::co_spawn(self->m_strand, relay(self, link, true), Asio::detached);
        Asio::co_spawn(self->m_strand, relay(self, link, false), Asio::detached);
    }

    static Asio::awaitable<void> relay(std::shared_ptr<State> self, LinkPtr link, bool answers)
    {
        Tcp::socket &from = answers ? link->server : link->client;
        Tcp::socket &to = answers ? link->client : link->server;
        std::array<char, 16384> buffer {};
        error_code error;
        while (true) {
            const std::size_t size =
                co_await from.async_read_some(Asio::buffer(buffer), Asio::redirect_error(Asio::use_awaitable, error));
            const bool discard = link->silent || self->m_silent || (answers && link->halfOpen);
            if (error) {
                // A silent connection stays open, so that neither end learns that the other has disconnected.
                if (!discard) {
                    self->drop(link);
                }
                co_return;
            }
            if (discard) {
                continue;
            }
            if (self->m_delayMs > 0) {
                co_await sleepFor(Millis(self->m_delayMs));
            }
            self->m_bytes += size;
            std::size_t pass = size;
            const std::int64_t cutAfter = self->m_cutAfterBytes;
            if (answers && cutAfter >= 0) {
                const std::int64_t left = std::max<std::int64_t>(0, cutAfter - link->answerBytes);
                pass = std::min(size, static_cast<std::size_t>(left));
                link->answerBytes += static_cast<std::int64_t>(size);
            }
            co_await Asio::async_write(to, Asio::buffer(buffer.data(), pass),
                                       Asio::redirect_error(Asio::use_awaitable, error));
            if (error || pass < size) {
                self->drop(link);
                co_return;
            }
        }
    }

    void drop(const LinkPtr &link)
    {
        error_code ignored;
        link->client.close(ignored);
        link->server.close(ignored);
        m_links.erase(link);
    }

    Asio::strand<Asio::io_context::executor_type> m_strand;
    Tcp::acceptor m_acceptor;
    Endpoint m_target;
    std::set<LinkPtr> m_links;
    bool m_closed = false;
};

std::unique_ptr<FaultProxy> FaultProxy::create(Asio::io_context &io, const Endpoint &listen, const Endpoint &target)
{
    auto state = std::make_shared<State>(io, target);
    state->open(listen);
    return std::unique_ptr<FaultProxy>(new FaultProxy(std::move(state)));
}

FaultProxy::FaultProxy(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

FaultProxy::~FaultProxy()
{
    m_state->close();
}

Endpoint FaultProxy::address() const
{
    return m_state->m_address;
}

void FaultProxy::setDelay(Millis delay)
{
    m_state->m_delayMs = delay.count();
}

void FaultProxy::silenceOpen()
{
    m_state->forEachLink([](State::Link &link) { link.silent = true; });
}

void FaultProxy::setSilent(bool silent)
{
    m_state->m_silent = silent;
}

void FaultProxy::halfOpen()
{
    m_state->forEachLink([](State::Link &link) { link.halfOpen = true; });
}

void FaultProxy::cutOpen()
{
    Asio::post(m_state->strand(), [state = m_state] { state->cutAll(); });
}

void FaultProxy::cutAnswersAfter(std::int64_t bytes)
{
    m_state->m_cutAfterBytes = bytes;
}

void FaultProxy::setRefuse(bool refuse)
{
    m_state->m_refuse = refuse;
}

std::uint64_t FaultProxy::bytes() const
{
    return m_state->m_bytes;
}

std::uint64_t FaultProxy::accepted() const
{
    return m_state->m_accepted;
}

} // namespace Papaya::Standins
