#include "process/instance.h"

#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "process/adminapi.h"
#include "process/callersapi.h"
#include "process/listenershares.h"
#include "process/logging.h"
#include "process/membership.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <condition_variable>
#include <random>
#include <thread>

namespace Papaya
{

namespace
{

// An isolated planner stops renewing leases after this time. A new planner assumes renewals for longer.
constexpr Millis ISOLATION_TIMEOUT {20'000};
constexpr Millis ADMISSION_REFRESH_INTERVAL {100};
constexpr Millis MINIONS_REFRESH_INTERVAL {1'000};
constexpr Millis DRAIN_POLL_INTERVAL {20};
constexpr Millis RESIGN_TIMEOUT {1'500};
constexpr Millis CLAIMS_FLUSH_TIMEOUT {2'000}; // for claim records that are still to be appended
constexpr Millis STOP_TIMEOUT {5'000};         // for all loops to end
constexpr std::size_t PEER_CONNECTIONS = 128;

/** @return the time of the start in microseconds, which rises with each start of an instance. */
Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

std::unique_ptr<MinionPolicy> makeMinionPolicy(MinionPolicyKind kind)
{
    switch (kind) {
    case MinionPolicyKind::Random:
        return std::make_unique<RandomMinion>();
    case MinionPolicyKind::RoundRobin:
        return std::make_unique<RoundRobinMinion>();
    case MinionPolicyKind::Home:
        break;
    }
    return std::make_unique<HomeMinion>();
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(AdmissionPolicyKind kind)
{
    switch (kind) {
    case AdmissionPolicyKind::Fifo:
        return std::make_unique<FifoAdmission>();
    case AdmissionPolicyKind::TeamsOnly:
        return std::make_unique<FairAdmission>(CallerFairness::PerTeamOnly);
    case AdmissionPolicyKind::Fair:
        break;
    }
    return std::make_unique<FairAdmission>();
}

HttpLimits limitsOf(std::size_t connections, const std::shared_ptr<InputBudget> &budget)
{
    HttpLimits limits;
    limits.connections = connections;
    limits.budget = budget;
    return limits;
}

} // namespace

/** The components in the order of their dependencies, so that each is destroyed before those that it uses. */
struct Instance::Components {
    Components(const Settings &instanceSettings, std::string path)
        : settings(instanceSettings)
        , settingsPath(std::move(path))
        , incarnation(newIncarnation())
        , shares(ListenerShares::ofProcess(settings.callerConnections, PEER_CONNECTIONS))
        , strand(Asio::make_strand(io))
        , pool(io)
        , log(makeHttpLogService(pool, settings.log))
        , hostList(makeHttpHostList(pool, settings.hosts))
        , workerClient(makeHttpWorkerClient(pool))
        , minionClient(makeHttpMinionClient(pool))
        , config(io, *log, settings.logRetention, metrics)
        , journal(io, *log, settings.instance, incarnation, metrics)
        , claims(io, *log, settings.instance, incarnation, settings.keyHorizon, metrics)
        , hosts(HostDirectory::create(io, *hostList, metrics))
        , minions(settings.instance, makeMinionPolicy(settings.minionPolicy), std::random_device {}(), metrics)
        , gate(makeAdmissionPolicy(settings.admissionPolicy))
        , membership(
              io, settings.instance, *hosts, config, minions, [this] { return ownGossip(); }, metrics)
        , requests(io, config, claims, gate, minions, *minionClient, metrics)
        , jobs(config, journal, *hosts, metrics)
        , planner(
              io, journal, config, *hosts, *workerClient, [this] { return isolated(); }, settings.peers.toString(),
              settings.logRetention, metrics)
        , callersApi(requests, jobs)
        , adminApi(adminContext())
        , signals(io, SIGTERM, SIGINT)
        , reloadSignal(io, SIGHUP)
        , callersServer(HttpServer::listen(io, settings.callers, limitsOf(shares.callers, inputBudget), callersApi))
        , adminServer(HttpServer::listen(io, settings.admin, limitsOf(shares.operators, inputBudget), adminApi))
    {
    }

    void start()
    {
        config.start();
        journal.start();
        claims.start();
        hosts->start();
        membership.start(settings.peers, {shares.peers, inputBudget});
        planner.start();
        addGauges();
        Asio::co_spawn(strand, refreshAdmission(*this), Asio::detached);
        signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                beginDrain();
            }
        });
        awaitReloadSignal();
        logEvent(LogLevel::Info, "started",
                 {{"callers", callersServer->address().toString()},
                  {"admin", adminServer->address().toString()},
                  {"incarnation", incarnation.value()}});
    }

    /** Runs the threads until all work has ended; after a drain, forces the end once STOP_TIMEOUT has passed. */
    void run()
    {
        std::vector<std::thread> threads;
        std::mutex mutex;
        std::condition_variable ended;
        unsigned running = settings.threads;
        for (unsigned i = 0; i < settings.threads; ++i) {
            threads.emplace_back([&] {
                io.run();
                const std::lock_guard lock(mutex);
                --running;
                ended.notify_all();
            });
        }
        {
            std::unique_lock lock(mutex);
            const auto allEnded = [&] { return running == 0; };
            while (!ended.wait_for(lock, STOP_TIMEOUT, allEnded)) {
                if (stopping && Clock::now() - TimePoint(stoppedAt.load()) > STOP_TIMEOUT) {
                    logEvent(LogLevel::Warning, "stopped-by-force");
                    io.stop();
                }
            }
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        logEvent(LogLevel::Info, "stopped");
    }

    /** @return true if this instance accepts requests. */
    [[nodiscard]] bool ready() const
    {
        return !draining && admissionConfigured;
    }

    /**
     * @return true if this instance cannot know whether another one has become the planner: the log service does not
     *  answer, and either no peer is heard from or one knows a higher epoch
     */
    [[nodiscard]] bool isolated() const
    {
        const bool logSilent = Clock::now() - journal.tail().status().lastReadAt > ISOLATION_TIMEOUT;
        const bool replaced = membership.highestEpoch() > planner.status().epoch;
        return logSilent && (replaced || membership.isolatedFor(ISOLATION_TIMEOUT));
    }

    /** @return the state of this instance for its peers. */
    [[nodiscard]] Gossip ownGossip() const
    {
        Gossip gossip;
        gossip.instance = settings.instance;
        gossip.incarnation = incarnation;
        gossip.config = config.version();
        gossip.plannerEpoch = planner.status().epoch;
        gossip.ready = ready();
        gossip.slotsUsed = static_cast<std::uint32_t>(gate.inProgress());
        gossip.demand = gate.demand();
        gossip.leaving = minions.announcedLeaving();
        return gossip;
    }

    /** @return the version in force at each live instance; no version for one that is listed but not heard from. */
    [[nodiscard]] InstanceVersions versions() const
    {
        InstanceVersions all;
        const auto snapshot = hosts->hosts();
        for (std::size_t i = 0; snapshot && i < snapshot->hosts.size(); ++i) {
            const Host &host = snapshot->hosts[i];
            if (host.kind == HostKind::Entry && host.state == HostState::Live) {
                all[InstanceId(host.id)] = std::nullopt;
            }
        }
        all[settings.instance] = config.version();
        for (const auto &[peer, view] : membership.livePeers()) {
            all[peer] = view.gossip.config;
        }
        return all;
    }

    AdminContext adminContext()
    {
        return {settings,
                config,
                journal,
                claims,
                *hosts,
                minions,
                gate,
                planner,
                metrics,
                [this] { return ready(); },
                [this] { beginDrain(); },
                [this] { return versions(); }};
    }

    /** Adds a gauge of connections that the callers' listener has cut or refused for @p reason. */
    void addDropGauge(const char *name, HttpDropReason reason)
    {
        metrics.addGauge(name, [this, reason] { return double(callersServer->drops(reason)); });
    }

    void addGauges()
    {
        metrics.addGauge("config_version", [this] { return double(config.version().value()); });
        metrics.addGauge("planner_epoch", [this] { return double(planner.status().epoch.value()); });
        metrics.addGauge("planner_here", [this] { return planner.status().active ? 1.0 : 0.0; });
        metrics.addGauge("guarantees_broken", [this] { return double(planner.status().brokenGuarantees.size()); });
        metrics.addGauge("requests_queued", [this] { return double(gate.queued()); });
        metrics.addGauge("requests_in_progress", [this] { return double(gate.inProgress()); });
        metrics.addGauge("claims_kept", [this] { return double(claims.size()); });
        metrics.addGauge("minions", [this] { return double(minions.size()); });
        metrics.addGauge("minions_out", [this] { return double(minions.ejected()); });
        addDropGauge("callers_cut_slow_header", HttpDropReason::HeaderTimeout);
        addDropGauge("callers_cut_slow_body", HttpDropReason::BodyTimeout);
        addDropGauge("callers_cut_slow_reader", HttpDropReason::WriteTimeout);
        addDropGauge("callers_cut_idle", HttpDropReason::Evicted);
        addDropGauge("callers_refused_full", HttpDropReason::ConnectionLimit);
        addDropGauge("callers_refused_bodies", HttpDropReason::LargeBodyLimit);
        metrics.addGauge("peers_live", [this] { return double(membership.livePeers().size()); });
        metrics.addGauge("peer_bytes_sent", [this] { return double(membership.traffic().sent); });
        metrics.addGauge("peer_bytes_received", [this] { return double(membership.traffic().received); });
        metrics.addGauge("journal_lag_records", [this] {
            const TailStatus status = journal.tail().status();
            return double(status.end.value()) - double(status.next.value());
        });
        metrics.addGauge("journal_read_age_seconds", [this] {
            const Duration age = Clock::now() - journal.tail().status().lastReadAt;
            return std::chrono::duration<double>(age).count();
        });
    }

    /** @return this instance's share of slots and guarantees, given what its peers use and their demand. */
    [[nodiscard]] AdmissionSetup admissionSetup(const FleetConfig &fleet) const
    {
        const std::uint32_t total = minions.slots();
        std::uint32_t usedByPeers = 0;
        TeamDemand peersDemand;
        std::uint32_t instances = 1;
        for (const auto &[peer, view] : membership.livePeers()) {
            ++instances;
            usedByPeers += view.gossip.slotsUsed;
            for (const auto &[team, count] : view.gossip.demand) {
                peersDemand[team] += count;
            }
        }
        const TeamDemand ownDemand = gate.demand();
        const auto demandOf = [](const TeamDemand &demand, const TeamName &team) {
            const auto found = demand.find(team);
            return found == demand.end() ? 0U : found->second;
        };
        AdmissionSetup setup;
        // Beyond its fair share an instance takes only a fraction of the free slots, since its peers take theirs at the
        // same time.
        const std::uint32_t fairShare = (total + instances - 1) / instances;
        const std::uint32_t available = total - std::min(total, usedByPeers);
        const std::uint32_t inProgress = std::min(available, static_cast<std::uint32_t>(gate.inProgress()));
        setup.slots = std::max(fairShare, inProgress + (available - inProgress) / instances);
        setup.floors = fleet.floors();
        for (const auto &[name, team] : fleet.teams()) {
            // Adds one request of demand for each instance, so that a team without demand here keeps part of its
            // guarantee here.
            const std::uint64_t own = demandOf(ownDemand, name) + 1ULL;
            const std::uint64_t all = own + demandOf(peersDemand, name) + instances - 1;
            const auto guaranteed = static_cast<std::uint32_t>((team.guaranteedSlots() * own + all - 1) / all);
            setup.teams[name] = {team.weight, guaranteed, team.limits};
        }
        return setup;
    }

    /** Updates minions and admission from the host list, the configuration in force and the peers' gossip. */
    static Asio::awaitable<void> refreshAdmission(Components &components)
    {
        const auto executor = co_await Asio::this_coro::executor;
        HostSnapshotPtr applied;
        TimePoint appliedAt;
        while (!components.stopping) {
            auto changed = components.hosts->changed().subscribe(executor);
            const auto snapshot = components.hosts->hosts();
            const auto fleet = components.config.config();
            const TimePoint now = Clock::now();
            // An unchanged list is applied again at intervals, so that leaving notices of minions expire.
            if (snapshot && (snapshot != applied || now - appliedAt >= MINIONS_REFRESH_INTERVAL)) {
                components.minions.update(*snapshot);
                applied = snapshot;
                appliedAt = now;
            }
            if (snapshot && fleet) {
                components.gate.configure(components.admissionSetup(*fleet));
                components.admissionConfigured = true;
            }
            co_await changed->wait(Clock::now() + ADMISSION_REFRESH_INTERVAL);
        }
    }

    void awaitReloadSignal()
    {
        reloadSignal.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                reload();
                awaitReloadSignal();
            }
        });
    }

    /** Applies the settings that may change while the process runs. Settings with errors change nothing. */
    void reload()
    {
        const auto newSettings = Settings::fromFile(settingsPath);
        if (!newSettings) {
            logEvent(LogLevel::Error, "settings-refused",
                     {{"path", newSettings.errors().front().path}, {"error", newSettings.errors().front().message}});
            return;
        }
        setLogLevel(newSettings->logLevel);
        drainLimit = newSettings->drainLimit;
        logEvent(LogLevel::Info, "settings-reloaded",
                 {{"drain_limit_ms", std::int64_t(newSettings->drainLimit.count())}});
    }

    /** Starts a drain; a second call or signal cuts it short. */
    void beginDrain()
    {
        if (draining.exchange(true)) {
            cutDrainShort();
            return;
        }
        signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                cutDrainShort();
            }
        });
        logEvent(LogLevel::Info, "drain-begun");
        Asio::co_spawn(strand, drain(*this), Asio::detached);
    }

    void cutDrainShort()
    {
        drainCutShort = true;
    }

    /** Takes this instance out of service, and stops it. */
    static Asio::awaitable<void> drain(Components &components)
    {
        const TimePoint drainDeadline = Clock::now() + components.drainLimit.load();
        // 1. Leaves the load balancer time to see "not ready", and hands the planner's role to another instance.
        co_await components.planner.resign(Clock::now() + RESIGN_TIMEOUT);
        co_await sleepFor(components.settings.drainNotice);
        // 2. Accepts no new connections and finishes the requests in progress.
        components.callersServer->drain();
        while (components.callersServer->inProgress() > 0 && Clock::now() < drainDeadline
               && !components.drainCutShort) {
            co_await sleepFor(DRAIN_POLL_INTERVAL);
        }
        const std::size_t requestsCut = components.callersServer->inProgress();
        components.metrics.count(Counter::DrainCutRequests, requestsCut);
        // 3. Waits until the outcomes that callers have received are in the claims stream.
        const TimePoint flushDeadline = Clock::now() + CLAIMS_FLUSH_TIMEOUT;
        while (components.claims.pendingRecords() > 0 && Clock::now() < flushDeadline && !components.drainCutShort) {
            co_await sleepFor(DRAIN_POLL_INTERVAL);
        }
        logEvent(requestsCut > 0 ? LogLevel::Warning : LogLevel::Info, "drain-ended",
                 {{"cut", std::uint64_t(requestsCut)}});
        co_await stopComponents(components);
    }

    static Asio::awaitable<void> stopComponents(Components &components)
    {
        components.stoppedAt = Clock::now().time_since_epoch();
        components.stopping = true;
        components.callersServer->close();
        components.adminServer->close();
        components.planner.stop();
        components.membership.stop();
        components.config.stop();
        components.journal.stop();
        components.claims.stop();
        components.hosts->stop();
        boost::system::error_code ignored;
        components.signals.cancel(ignored);
        components.reloadSignal.cancel(ignored);
        co_return;
    }

    const Settings settings;
    const std::string settingsPath;
    std::atomic<Millis> drainLimit {settings.drainLimit};
    const Incarnation incarnation;
    const ListenerShares shares;
    const std::shared_ptr<InputBudget> inputBudget = InputBudget::create();
    Asio::io_context io;
    Asio::strand<Asio::io_context::executor_type> strand;
    Metrics metrics;
    HttpPool pool;
    std::unique_ptr<LogService> log;
    std::unique_ptr<HostList> hostList;
    std::unique_ptr<WorkerClient> workerClient;
    std::unique_ptr<MinionClient> minionClient;
    ConfigService config;
    Journal journal;
    ClaimService claims;
    std::shared_ptr<HostDirectory> hosts;
    MinionPool minions;
    AdmissionGate gate;
    Membership membership;
    RequestService requests;
    JobService jobs;
    Planner planner;
    CallersApi callersApi;
    AdminApi adminApi;
    Asio::signal_set signals;
    Asio::signal_set reloadSignal;
    std::unique_ptr<HttpServer> callersServer;
    std::unique_ptr<HttpServer> adminServer;
    std::atomic<bool> admissionConfigured {false}; ///< a configuration and a host list have been applied
    std::atomic<bool> draining {false};
    std::atomic<bool> drainCutShort {false};
    std::atomic<bool> stopping {false};
    std::atomic<Duration> stoppedAt {Duration::zero()};
};

std::unique_ptr<Instance> Instance::start(const Settings &settings, std::string settingsPath)
{
    auto components = std::make_unique<Components>(settings, std::move(settingsPath));
    components->start();
    return std::unique_ptr<Instance>(new Instance(std::move(components)));
}

Instance::Instance(std::unique_ptr<Components> components)
    : m_components(std::move(components))
{
}

Instance::~Instance() = default;

void Instance::run()
{
    m_components->run();
}

} // namespace Papaya
