#pragma once

#include "connection/peersession.h"
#include "process/configservice.h"
#include "process/gossip.h"
#include "process/hostdirectory.h"
#include "process/minionpool.h"

#include <boost/asio/strand.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

// The other instances (peers): sessions to them with regular probes, and the latest gossip of each.

namespace Papaya
{

/** The latest gossip of a peer. */
struct PeerView {
    Gossip gossip;
    TimePoint heardAt;
};

/** Keeps sessions to peers and exchanges gossip and configurations with them. Thread-safe. */
class Membership : public PeerHandler
{
public:
    /** @param makeOwnGossip returns the gossip of this instance; called from several threads */
    Membership(Asio::io_context &io, InstanceId self, HostDirectory &hosts, ConfigService &config, MinionPool &minions,
               std::function<Gossip()> makeOwnGossip, Metrics &metrics);

    /**
     * Listens on @p address and connects to peers.
     * @throws boost::system::system_error if the address cannot be bound
     */
    void start(const Endpoint &address, const PeerLimits &limits = {});
    void stop();

    /** @return peers whose gossip arrived within the peer time-out. */
    [[nodiscard]] std::map<InstanceId, PeerView> livePeers() const;
    /** @return true if the host list has other instances, but none was heard from for @p limit. */
    [[nodiscard]] bool isolatedFor(Duration limit) const;
    /** @return the highest planner epoch that a live peer knows. */
    [[nodiscard]] Epoch highestEpoch() const;

    /** @return bytes sent to and received from peers. */
    [[nodiscard]] const PeerTraffic &traffic() const
    {
        return m_traffic;
    }

    /** Answers gossip with own gossip, and a configuration with the version in force, which may then be the peer's. */
    std::string onPeerRequest(const std::string &path, const std::string &body) override;

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    /** Starts a coroutine for each peer that this instance connects to. */
    static Asio::awaitable<void> managePeers(Membership &self);
    /** Connects to @p peer, and again after a loss, as long as this instance is to connect to it. */
    static Asio::awaitable<void> keepSession(Membership &self, InstanceId peer);
    /** Sends gossip and probes. @throws PeerError once the session is lost */
    Asio::awaitable<void> runSession(PeerSession &session, InstanceId peer);
    /** Exchanges gossip, and then the configuration if the versions differ. @throws PeerError */
    Asio::awaitable<void> exchangeGossip(PeerSession &session, const Gossip &own);
    /** Marks the leaving minions of @p gossip, and keeps it unless it is from an earlier incarnation of the peer. */
    void recordGossip(const Gossip &gossip);
    /** @return the peers that this instance opens a session to. */
    [[nodiscard]] std::map<InstanceId, Endpoint> peersToConnect() const;

    Asio::io_context &m_io;
    const InstanceId m_self;
    HostDirectory &m_hosts;
    ConfigService &m_config;
    MinionPool &m_minions;
    std::function<Gossip()> m_makeOwnGossip;
    Metrics &m_metrics;
    Strand m_strand;
    PeerTraffic m_traffic;
    std::unique_ptr<PeerServer> m_server;
    std::atomic<bool> m_stopped {false};

    mutable std::mutex m_mutex;
    std::map<InstanceId, PeerView> m_peers;
    std::set<InstanceId> m_managedPeers; ///< peers that have a coroutine
    TimePoint m_lastHeard;
};

} // namespace Papaya
