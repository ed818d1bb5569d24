#include "connection/listener.h"

#include "base/units.h"
#include "connection/waiter.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Papaya
{

namespace
{

constexpr Millis ACCEPT_RETRY_DELAY {50}; // lets other connections release file descriptors after accept() has failed

} // namespace

Listener::Listener(Asio::io_context &io)
    : m_io(io)
    , m_strand(Asio::make_strand(io))
    , m_acceptor(m_strand)
{
}

std::shared_ptr<Listener> Listener::open(Asio::io_context &io, const Endpoint &address)
{
    std::shared_ptr<Listener> listener(new Listener(io));
    const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address(address.ip), address.port);
    Asio::ip::tcp::acceptor &acceptor = listener->m_acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(Asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(Asio::socket_base::max_listen_connections);
    listener->m_address = {address.ip, acceptor.local_endpoint().port()};
    return listener;
}

Asio::awaitable<std::optional<Listener::Socket>> Listener::accept()
{
    while (!m_closed) {
        boost::system::error_code error;
        const auto strand = Asio::make_strand(m_io);
        Socket socket = co_await m_acceptor.async_accept(strand, Asio::redirect_error(Asio::use_awaitable, error));
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
            co_return std::optional<Socket>(std::move(socket));
        }
        if (!m_closed) {
            co_await sleepFor(ACCEPT_RETRY_DELAY);
        }
    }
    co_return std::nullopt;
}

void Listener::close()
{
    Asio::post(m_strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_closed = true;
        self->m_acceptor.close(ignored);
    });
}

} // namespace Papaya
