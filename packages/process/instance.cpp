#include "process/instance.h"

#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "process/adminapi.h"
#include "process/callersapi.h"
#include "process/logging.h"

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

constexpr Millis ADMISSION_REFRESH {100};
constexpr Millis DRAIN_POLL {20};
constexpr Millis RESIGN_LIMIT {1'500};
constexpr Millis SETTLE_LIMIT {2'000}; // for outcomes of claims that are still to be appended
constexpr Millis STOP_LIMIT {5'000};   // for loops to notice the end
constexpr std::size_t ADMIN_CONNECTIONS = 256;

/** @return a number that rises with each life of an instance: the time of its start. */
Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

HttpLimits adminLimits()
{
    HttpLimits limits;
    limits.connections = ADMIN_CONNECTIONS;
    return limits;
}

} // namespace

/** The parts in the order of their dependencies; the last are destroyed first. */
struct Instance::Parts {
    explicit Parts(const Settings &instanceSettings)
        : settings(instanceSettings)
        , incarnation(newIncarnation())
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
        , minions(settings.instance, std::make_unique<HomeMinion>(), std::random_device {}(), metrics)
        , gate(std::make_unique<FairAdmission>())
        , requests(io, config, claims, gate, minions, *minionClient, metrics)
        , jobs(config, journal, *hosts, metrics)
        , planner(io, journal, config, *hosts, *workerClient, settings.peers.toString(), settings.logRetention, metrics)
        , callersApi(requests, jobs)
        , adminApi(adminContext())
        , signals(io, SIGTERM, SIGINT)
        , callersServer(HttpServer::listen(io, settings.callers, HttpLimits {}, callersApi))
        , adminServer(HttpServer::listen(io, settings.admin, adminLimits(), adminApi))
    {
    }

    void start()
    {
        config.start();
        journal.start();
        claims.start();
        hosts->start();
        planner.start();
        addGauges();
        Asio::co_spawn(strand, watchHosts(*this), Asio::detached);
        Asio::co_spawn(strand, shareSlots(*this), Asio::detached);
        signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                beginDrain();
            }
        });
        logEvent(LogLevel::Info, "started",
                 {{"callers", callersServer->address().toString()},
                  {"admin", adminServer->address().toString()},
                  {"incarnation", incarnation.value()}});
    }

    /** Runs the threads until nothing is left to do; what does not end by itself after a drain is ended. */
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
            while (!ended.wait_for(lock, STOP_LIMIT, allEnded)) {
                if (stopping && Clock::now() - TimePoint(stoppedAt.load()) > STOP_LIMIT) {
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

    [[nodiscard]] bool ready() const
    {
        return !draining && config.ready() && hosts->hosts() != nullptr && journal.tail().caughtUp() && claims.ready();
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
                [this] {
                    return std::map<InstanceId, ConfigVersion> {{settings.instance, config.version()}};
                }};
    }

    void addGauges()
    {
        metrics.addGauge("config_version", [this] { return double(config.version().value()); });
        metrics.addGauge("planner_epoch", [this] { return double(planner.status().epoch.value()); });
        metrics.addGauge("planner_here", [this] { return planner.status().active ? 1.0 : 0.0; });
        metrics.addGauge("requests_queued", [this] { return double(gate.queued()); });
        metrics.addGauge("requests_in_progress", [this] { return double(gate.inProgress()); });
        metrics.addGauge("claims_kept", [this] { return double(claims.size()); });
        metrics.addGauge("minions", [this] { return double(minions.size()); });
        metrics.addGauge("minions_out", [this] { return double(minions.ejected()); });
        metrics.addGauge("journal_lag_records", [this] {
            const TailStatus status = journal.tail().status();
            return double(status.end.value()) - double(status.next.value());
        });
        metrics.addGauge("journal_read_age_seconds", [this] {
            const Duration age = Clock::now() - journal.tail().status().lastSuccess;
            return std::chrono::duration<double>(age).count();
        });
    }

    static Asio::awaitable<void> watchHosts(Parts &parts)
    {
        const auto executor = co_await Asio::this_coro::executor;
        while (!parts.stopping) {
            auto changed = parts.hosts->changed().subscribe(executor);
            if (const auto snapshot = parts.hosts->hosts()) {
                parts.minions.update(*snapshot);
            }
            co_await changed->wait(Clock::now() + Millis(500));
        }
    }

    /** Adapts admission to the configuration in force and to the slots that this instance may use. */
    static Asio::awaitable<void> shareSlots(Parts &parts)
    {
        while (!parts.stopping) {
            if (const auto fleet = parts.config.config()) {
                const SlotCount slots = parts.minions.slots();
                AdmissionSetup setup;
                setup.slots = slots.own;
                setup.floors = fleet->floors();
                for (const auto &[name, team] : fleet->teams()) {
                    const std::uint32_t guaranteed = (team.guaranteedSlots() + slots.entries - 1) / slots.entries;
                    setup.teams[name] = {team.weight, guaranteed, team.limits};
                }
                parts.gate.configure(setup);
            }
            co_await sleepFor(ADMISSION_REFRESH);
        }
    }

    void beginDrain()
    {
        if (draining.exchange(true)) {
            endNow();
            return;
        }
        signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                endNow();
            }
        });
        logEvent(LogLevel::Info, "drain-begun");
        Asio::co_spawn(strand, drain(*this), Asio::detached);
    }

    void endNow() { drainCut = true; }

    static Asio::awaitable<void> drain(Parts &parts)
    {
        const TimePoint limit = Clock::now() + parts.settings.drainLimit;
        // 1. The balancer sees "not ready"; the planner's role goes to another instance meanwhile.
        co_await parts.planner.resign(Clock::now() + RESIGN_LIMIT);
        co_await sleepFor(parts.settings.drainNotice);
        // 2. Takes no new connections and finishes what is in progress.
        parts.callersServer->drain();
        while (parts.callersServer->inProgress() > 0 && Clock::now() < limit && !parts.drainCut) {
            co_await sleepFor(DRAIN_POLL);
        }
        const std::size_t cut = parts.callersServer->inProgress();
        parts.metrics.count(Counter::DrainCutRequests, cut);
        // 3. Writes what callers have been told.
        const TimePoint settled = Clock::now() + SETTLE_LIMIT;
        while (parts.claims.unsettled() > 0 && Clock::now() < settled && !parts.drainCut) {
            co_await sleepFor(DRAIN_POLL);
        }
        logEvent(cut > 0 ? LogLevel::Warning : LogLevel::Info, "drain-ended", {{"cut", std::uint64_t(cut)}});
        co_await stopAll(parts);
    }

    static Asio::awaitable<void> stopAll(Parts &parts)
    {
        parts.stoppedAt = Clock::now().time_since_epoch();
        parts.stopping = true;
        parts.callersServer->close();
        parts.adminServer->close();
        parts.planner.stop();
        parts.config.stop();
        parts.journal.stop();
        parts.claims.stop();
        parts.hosts->stop();
        boost::system::error_code ignored;
        parts.signals.cancel(ignored);
        co_return;
    }

    const Settings settings;
    const Incarnation incarnation;
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
    RequestService requests;
    JobService jobs;
    Planner planner;
    CallersApi callersApi;
    AdminApi adminApi;
    Asio::signal_set signals;
    std::unique_ptr<HttpServer> callersServer;
    std::unique_ptr<HttpServer> adminServer;
    std::atomic<bool> draining {false};
    std::atomic<bool> drainCut {false};
    std::atomic<bool> stopping {false};
    std::atomic<Duration> stoppedAt {Duration::zero()};
};

std::unique_ptr<Instance> Instance::start(const Settings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    parts->start();
    return std::unique_ptr<Instance>(new Instance(std::move(parts)));
}

Instance::Instance(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Instance::~Instance() = default;

void Instance::run() { m_parts->run(); }

} // namespace Papaya
