#pragma once

#include "base/endpoint.h"
#include "base/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

// Sessions between instances: HTTP/2 with prior knowledge, one connection a direction, short exchanges on its streams.

namespace Papaya
{

namespace Asio = boost::asio;

/** Answers the requests of peers; called from several threads at once, and must not block. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /** @return the body of the answer to @p body sent to @p path. */
    virtual std::string onPeerRequest(const std::string &path, const std::string &body) = 0;
};

/** A failed exchange with a peer. */
class PeerError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Bytes that went over sessions, for the bound on control traffic. */
struct PeerTraffic {
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> received {0};
};

/** Listener for peers. */
class PeerServer
{
public:
    /** @throws boost::system::system_error if the address cannot be bound */
    static std::unique_ptr<PeerServer> listen(Asio::io_context &io, const Endpoint &address, PeerHandler &handler,
                                              PeerTraffic &traffic);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    void close();

private:
    class State;
    explicit PeerServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

/** A session to one peer. */
class PeerSession
{
public:
    virtual ~PeerSession() = default;

    /** Sends @p body to @p path. @throws PeerError, after which the session must be dropped */
    virtual Asio::awaitable<std::string> exchange(std::string path, std::string body, TimePoint deadline) = 0;

    /** Probes the session. @throws PeerError if no answer came in time */
    virtual Asio::awaitable<void> ping(TimePoint deadline) = 0;
};

/** Opens a session. @throws PeerError */
Asio::awaitable<std::unique_ptr<PeerSession>> connectPeer(Asio::io_context &io, Endpoint peer, PeerTraffic &traffic,
                                                          TimePoint deadline);

} // namespace Papaya
