#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <optional>

// A listening TCP socket. After an error, such as a lack of file descriptors, accept() tries again until the socket is
// closed.

namespace Papaya
{

namespace Asio = boost::asio;

/** A listening socket whose accepted sockets each have their own strand. */
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Socket = Asio::ip::tcp::socket;
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    /**
     * Binds and listens.
     * @param address port 0 selects a free port
     * @throws boost::system::system_error if the address cannot be bound
     */
    static std::shared_ptr<Listener> open(Asio::io_context &io, const Endpoint &address);

    /**
     * Waits for a connection. Must run on strand().
     * @return the accepted socket, or nothing once the listener is closed
     */
    Asio::awaitable<std::optional<Socket>> accept();
    /** Stops listening. Thread-safe. */
    void close();

    [[nodiscard]] const Strand &strand() const
    {
        return m_strand;
    }
    /** @return the bound address with the assigned port. */
    [[nodiscard]] const Endpoint &address() const
    {
        return m_address;
    }

private:
    explicit Listener(Asio::io_context &io);

    Asio::io_context &m_io;
    Strand m_strand;
    Asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_address;
    bool m_closed = false;
};

} // namespace Papaya
