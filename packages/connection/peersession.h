#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/inputbudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

// Sessions between instances: HTTP/2 with prior knowledge, one connection per direction, one short exchange per stream.

namespace Papaya
{

namespace Asio = boost::asio;

/** Answers requests from peers. Called from several threads concurrently; must not block. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /** @return the body of the answer to a request with @p body to @p path. */
    virtual std::string onPeerRequest(const std::string &path, const std::string &body) = 0;
};

/** A failed exchange with a peer. */
class PeerError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Bytes sent and received on all sessions, to check the limit on control traffic. */
struct PeerTraffic {
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> received {0};
};

/** Limits on what all accepted sessions take together. */
struct PeerLimits {
    std::size_t connections = 128; ///< one more closes the one whose last message is the oldest
    std::shared_ptr<InputBudget> budget = InputBudget::create();
};

/** Accepts sessions from peers. */
class PeerServer
{
public:
    /** @throws boost::system::system_error if the address cannot be bound */
    static std::unique_ptr<PeerServer> listen(Asio::io_context &io, const Endpoint &address, PeerHandler &handler,
                                              PeerTraffic &traffic, const PeerLimits &limits = {});
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Stops listening and closes every connection. */
    void close();

private:
    class State;
    explicit PeerServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

/** A session with one peer. */
class PeerSession
{
public:
    virtual ~PeerSession() = default;

    /**
     * Sends @p body to @p path.
     * @return the body of the answer
     * @throws PeerError, after which the session must be discarded
     */
    virtual Asio::awaitable<std::string> exchange(std::string path, std::string body, TimePoint deadline) = 0;

    /** Sends a ping and waits for its acknowledgement. @throws PeerError if none arrives before @p deadline */
    virtual Asio::awaitable<void> ping(TimePoint deadline) = 0;
};

/** Opens a session. @param traffic must outlive the session. @throws PeerError if @p peer cannot be reached */
Asio::awaitable<std::unique_ptr<PeerSession>> connectPeer(Asio::io_context &io, Endpoint peer, PeerTraffic &traffic,
                                                          TimePoint deadline);

} // namespace Papaya
