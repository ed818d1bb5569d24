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

// The other instances: a session to each, probed all the time, and what each of them last told of itself.

namespace Papaya
{

/** What is known of a peer. */
struct PeerView {
    Gossip gossip;
    TimePoint heardAt;
};

/** Membership and gossip of one instance. */
class Membership : public PeerHandler
{
public:
    /** @param describe makes this instance's own gossip */
    Membership(Asio::io_context &io, InstanceId self, HostDirectory &hosts, ConfigService &config, MinionPool &minions,
               std::function<Gossip()> makeOwnGossip, Metrics &metrics);

    /** Starts to listen and to connect. @throws boost::system::system_error */
    void start(const Endpoint &address);
    void stop();

    /** @return the peers that were heard from lately. */
    [[nodiscard]] std::map<InstanceId, PeerView> livePeers() const;
    /** @return true if other instances are listed, but none was heard from for @p limit. */
    [[nodiscard]] bool isolatedFor(Duration limit) const;
    /** @return the highest epoch that a live peer knows. */
    [[nodiscard]] Epoch highestEpoch() const;

    [[nodiscard]] const PeerTraffic &traffic() const
    {
        return m_traffic;
    }

    std::string onPeerRequest(const std::string &path, const std::string &body) override;

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    static Asio::awaitable<void> managePeers(Membership &self);
    static Asio::awaitable<void> keepSession(Membership &self, InstanceId peer);
    Asio::awaitable<void> runSession(PeerSession &session, InstanceId peer);
    Asio::awaitable<void> exchangeGossip(PeerSession &session, const Gossip &own);
    void recordGossip(const Gossip &gossip);
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
    std::set<InstanceId> m_managedPeers; ///< peers that a coroutine talks to
    TimePoint m_lastHeard;
};

} // namespace Papaya
