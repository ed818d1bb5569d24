#include "process/membership.h"

#include "base/digest.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis PROBE_INTERVAL {250};
constexpr Millis GOSSIP_INTERVAL {1'000}; // between two sends of unchanged gossip
constexpr Millis ANSWER_TIMEOUT {750};    // then the session is dropped
constexpr Millis CONNECT_TIMEOUT {750};
constexpr Millis RECONNECT_INTERVAL {250};
constexpr Millis MANAGE_INTERVAL {250};
constexpr Millis PEER_TIMEOUT {2'500};  // a peer without gossip for longer counts as gone
constexpr std::size_t MAX_SESSIONS = 6; // opened by one instance; bounds the traffic among dozens of instances
constexpr std::uint64_t SESSION_RANK_SEED = 1;
constexpr std::size_t MAX_PEERS = 128; // deployments have up to 97 instances
constexpr std::size_t MAX_GOSSIP_BYTES = 128UL * 1024;
constexpr const char *GOSSIP_PATH = "/gossip";
constexpr const char *CONFIG_PATH = "/config";

} // namespace

Membership::Membership(Asio::io_context &io, InstanceId self, HostDirectory &hosts, ConfigService &config,
                       MinionPool &minions, std::function<Gossip()> makeOwnGossip, Metrics &metrics)
    : m_io(io)
    , m_self(std::move(self))
    , m_hosts(hosts)
    , m_config(config)
    , m_minions(minions)
    , m_makeOwnGossip(std::move(makeOwnGossip))
    , m_metrics(metrics)
    , m_strand(Asio::make_strand(io))
    , m_lastHeard(Clock::now())
{
}

void Membership::start(const Endpoint &address, const PeerLimits &limits)
{
    m_server = PeerServer::listen(m_io, address, *this, m_traffic, limits);
    Asio::co_spawn(m_strand, managePeers(*this), Asio::detached);
}

void Membership::stop()
{
    m_stopped = true;
    if (m_server) {
        m_server->close();
    }
}

std::map<InstanceId, Endpoint> Membership::peersToConnect() const
{
    std::map<InstanceId, Endpoint> peers;
    const auto hosts = m_hosts.hosts();
    for (std::size_t i = 0; hosts && i < hosts->hosts.size(); ++i) {
        const Host &host = hosts->hosts[i];
        // One session serves both instances of a pair; the instance with the lower hash opens it.
        const bool opensSession =
            stableHash(m_self.value(), SESSION_RANK_SEED) < stableHash(host.id, SESSION_RANK_SEED);
        if (host.kind == HostKind::Entry && host.id != m_self.value() && opensSession) {
            peers[InstanceId(host.id)] = host.address;
        }
    }
    // With more than MAX_SESSIONS peers, keeps those with the highest hash. The hash depends on this instance, so that
    // instances choose different peers. Peers pass on configurations and leaving notices.
    while (peers.size() > MAX_SESSIONS) {
        const auto rank = [this](const auto &a, const auto &b) {
            const std::uint64_t seed = stableHash(m_self.value());
            return stableHash(a.first.value(), seed) < stableHash(b.first.value(), seed);
        };
        peers.erase(std::min_element(peers.begin(), peers.end(), rank));
    }
    return peers;
}

Asio::awaitable<void> Membership::managePeers(Membership &self)
{
    const auto executor = co_await Asio::this_coro::executor;
    while (!self.m_stopped) {
        for (const auto &[peer, address] : self.peersToConnect()) {
            const std::lock_guard lock(self.m_mutex);
            if (self.m_managedPeers.insert(peer).second) {
                Asio::co_spawn(Asio::make_strand(self.m_io), keepSession(self, peer), Asio::detached);
            }
        }
        co_await sleepFor(MANAGE_INTERVAL);
    }
}

Asio::awaitable<void> Membership::keepSession(Membership &self, InstanceId peer)
{
    while (!self.m_stopped) {
        const auto peers = self.peersToConnect();
        const auto found = peers.find(peer);
        if (found == peers.end()) {
            break;
        }
        const Endpoint address = found->second;
        try {
            const auto session =
                co_await connectPeer(self.m_io, address, self.m_traffic, Clock::now() + CONNECT_TIMEOUT);
            self.m_metrics.count(Counter::PeerSessionsOpened);
            co_await self.runSession(*session, peer);
        } catch (const PeerError &error) {
            self.m_metrics.count(Counter::PeerSessionsLost);
            logEvent(LogLevel::Debug, "peer-lost", {{"peer", peer.value()}, {"error", error.what()}});
        }
        co_await sleepFor(RECONNECT_INTERVAL);
    }
    const std::lock_guard lock(self.m_mutex);
    self.m_managedPeers.erase(peer);
}

Asio::awaitable<void> Membership::runSession(PeerSession &session, InstanceId peer)
{
    const auto executor = co_await Asio::this_coro::executor;
    Gossip lastSent;
    TimePoint lastSentAt;
    while (!m_stopped && peersToConnect().contains(peer)) {
        auto configChanged = m_config.changed().subscribe(executor);
        Gossip own = m_makeOwnGossip();
        const TimePoint now = Clock::now();
        // A probe is smaller than gossip, so gossip is sent only after a change or once an interval.
        if (own != lastSent || now - lastSentAt >= GOSSIP_INTERVAL) {
            co_await exchangeGossip(session, own);
            lastSent = std::move(own);
            lastSentAt = now;
        } else {
            co_await session.ping(now + ANSWER_TIMEOUT);
            const std::lock_guard lock(m_mutex);
            m_lastHeard = Clock::now();
        }
        co_await configChanged->wait(now + PROBE_INTERVAL);
    }
}

Asio::awaitable<void> Membership::exchangeGossip(PeerSession &session, const Gossip &own)
{
    const std::string answer = co_await session.exchange(GOSSIP_PATH, own.toBytes(), Clock::now() + ANSWER_TIMEOUT);
    const auto gossip = Gossip::fromBytes(answer);
    if (!gossip) {
        throw PeerError("malformed gossip in the answer of the peer");
    }
    recordGossip(*gossip);
    if (gossip->config > m_config.version()) {
        const std::string record = co_await session.exchange(CONFIG_PATH, "", Clock::now() + ANSWER_TIMEOUT);
        m_config.adoptFromPeer(record);
    } else if (gossip->config < m_config.version()) {
        co_await session.exchange(CONFIG_PATH, m_config.recordText(), Clock::now() + ANSWER_TIMEOUT);
    }
}

void Membership::recordGossip(const Gossip &gossip)
{
    for (const MinionId &minion : gossip.leaving) {
        m_minions.markLeaving(minion, NoticeSource::Peer);
    }
    const std::lock_guard lock(m_mutex);
    const auto known = m_peers.find(gossip.instance);
    if (known != m_peers.end() && gossip.incarnation < known->second.gossip.incarnation) {
        return;
    }
    m_lastHeard = Clock::now();
    if (known == m_peers.end() && m_peers.size() >= MAX_PEERS) {
        m_peers.erase(std::ranges::min_element(m_peers, {}, [](const auto &peer) { return peer.second.heardAt; }));
    }
    m_peers[gossip.instance] = {gossip, m_lastHeard};
}

std::string Membership::onPeerRequest(const std::string &path, const std::string &body)
{
    if (path == CONFIG_PATH) {
        m_config.adoptFromPeer(body);
        return m_config.recordText();
    }
    if (body.size() > MAX_GOSSIP_BYTES) {
        return "";
    }
    const auto gossip = Gossip::fromBytes(body);
    if (path != GOSSIP_PATH || !gossip) {
        return "";
    }
    recordGossip(*gossip);
    return m_makeOwnGossip().toBytes();
}

std::map<InstanceId, PeerView> Membership::livePeers() const
{
    const std::lock_guard lock(m_mutex);
    std::map<InstanceId, PeerView> live;
    const TimePoint oldest = Clock::now() - PEER_TIMEOUT;
    for (const auto &[id, view] : m_peers) {
        if (view.heardAt >= oldest) {
            live.emplace(id, view);
        }
    }
    return live;
}

bool Membership::isolatedFor(Duration limit) const
{
    const auto hosts = m_hosts.hosts();
    const auto isPeer = [this](const Host &host) { return host.kind == HostKind::Entry && host.id != m_self.value(); };
    if (!hosts || std::none_of(hosts->hosts.begin(), hosts->hosts.end(), isPeer)) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return Clock::now() - m_lastHeard > limit;
}

Epoch Membership::highestEpoch() const
{
    Epoch highest;
    for (const auto &[id, view] : livePeers()) {
        highest = std::max(highest, view.gossip.plannerEpoch);
    }
    return highest;
}

} // namespace Papaya
