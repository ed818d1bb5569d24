#include "process/planner.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis TICK {100};
constexpr Millis PAUSE_NOTICED {600}; // a longer gap between two ticks means that this process stood still
constexpr Millis BEAT_INTERVAL {400};
constexpr Millis BEAT_LIMIT {2'000};
constexpr Millis UPKEEP_INTERVAL {1'000};
constexpr Millis PLAN_INTERVAL {500};
constexpr int PLAN_REST_FACTOR = 60; // keeps passes that nothing asks for below 2 % of a core

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Planner::Planner(Asio::io_context &io, Journal &journal, ConfigService &config, HostDirectory &hosts,
                 WorkerClient &client, std::function<bool()> isolated, std::string peerAddress, Millis retention,
                 Metrics &metrics)
    : m_journal(journal)
    , m_config(config)
    , m_hosts(hosts)
    , m_client(client)
    , m_isolated(std::move(isolated))
    , m_peerAddress(std::move(peerAddress))
    , m_retention(retention)
    , m_metrics(metrics)
    , m_strand(Asio::make_strand(io))
    , m_book(m_strand, client, metrics)
{
}

void Planner::start()
{
    Asio::co_spawn(m_strand, loop(*this), Asio::detached);
}

void Planner::stop()
{
    Asio::post(m_strand, [this] { m_stopped = true; });
}

Asio::awaitable<void> Planner::loop(Planner &self)
{
    const auto executor = co_await Asio::this_coro::executor;
    self.m_lastTick = Clock::now();
    while (!self.m_stopped) {
        auto progress = self.m_journal.progress().subscribe(executor);
        co_await self.tick();
        self.updateStatus();
        co_await progress->wait(Clock::now() + TICK);
    }
    self.leaveRole();
}

bool Planner::holdsRole() const
{
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    return role.holder == m_journal.instance() && role.incarnation == m_journal.incarnation() && !role.resigned;
}

bool Planner::inCharge(Epoch epoch) const
{
    return m_active && !m_stopped && epoch == m_epoch;
}

void Planner::superseded()
{
    // A worker has seen a higher epoch; the journal will tell whose it is.
    m_mustVerifySince = Clock::now();
}

void Planner::partEnded(const WorkerId &worker, const JobId &job, bool succeeded)
{
    if (succeeded) {
        m_health.succeeded(worker);
    } else {
        m_health.failed(worker, job);
    }
}

std::size_t Planner::workerCount() const
{
    const auto hosts = m_hosts.hosts();
    const auto isWorker = [](const Host &host) { return host.kind == HostKind::Worker; };
    return hosts ? static_cast<std::size_t>(std::count_if(hosts->hosts.begin(), hosts->hosts.end(), isWorker)) : 0;
}

void Planner::applyHealth()
{
    const auto append = [](Planner &self, WorkerStanding record) -> Asio::awaitable<void> {
        const AppendStatus status = co_await self.m_journal.append(record, Clock::now() + BEAT_LIMIT);
        if (status == AppendStatus::Applied && record.standing == Standing::Quarantined) {
            self.m_metrics.count(Counter::WorkersQuarantined);
        }
    };
    const auto standings = m_journal.read([](const Ledger &ledger) { return ledger.standings(); });
    for (const HealthChange &change : m_health.changes(standings, workerCount(), Clock::now())) {
        logEvent(LogLevel::Warning, "worker-standing",
                 {{"worker", change.worker.value()}, {"standing", toString(change.standing)}});
        Asio::co_spawn(m_strand, append(*this, {m_epoch, change.worker, change.standing}), Asio::detached);
    }
}

Asio::awaitable<void> Planner::tick()
{
    // 1. After a pause nothing is done before the journal has been read again.
    const TimePoint now = Clock::now();
    if (now - m_lastTick > PAUSE_NOTICED) {
        m_mustVerifySince = now;
    }
    m_lastTick = now;
    if (!m_journal.tail().caughtUp()) {
        co_return;
    }
    // 2. Follows the journal in whether the role is held.
    const bool holds = holdsRole();
    if (m_active && !holds) {
        leaveRole();
    }
    if (!holds) {
        if (!m_resigning) {
            co_await claimIfSuspect();
        }
        co_return;
    }
    if (!m_journal.tail().caughtUpSince(m_mustVerifySince)) {
        co_return;
    }
    if (!m_active) {
        co_await takeOver();
    }
    m_book.setFleetSize(workerCount());
    // 3. Plans.
    beat();
    co_await raiseWorkers();
    // An isolated planner lets the leases lapse, because a new one counts on that.
    if (!m_isolated()) {
        m_book.refresh(m_epoch);
    }
    stopCancelled();
    applyHealth();
    plan();
    m_lastTick = Clock::now();
}

void Planner::leaveRole()
{
    if (m_active) {
        logEvent(LogLevel::Info, "planner-inactive", {{"epoch", m_epoch.value()}});
    }
    m_active = false;
    m_raised.clear();
    m_book.clear();
}

void Planner::beat()
{
    const TimePoint now = Clock::now();
    if (m_beatPending || now - m_lastBeat < BEAT_INTERVAL) {
        return;
    }
    m_beatPending = true;
    m_lastBeat = now;
    auto append = [](Planner &self, Epoch epoch) -> Asio::awaitable<void> {
        const PlannerBeat record {epoch};
        co_await self.m_journal.append(record, Clock::now() + BEAT_LIMIT, AppendPriority::High);
        self.m_beatPending = false;
    };
    Asio::co_spawn(m_strand, append(*this, m_epoch), Asio::detached);
    if (m_upkeepPending || now - m_lastUpkeep < UPKEEP_INTERVAL) {
        return;
    }
    m_upkeepPending = true;
    m_lastUpkeep = now;
    auto upkeep = [](Planner &self) -> Asio::awaitable<void> {
        co_await self.m_config.renewIfDue(Clock::now() + BEAT_LIMIT);
        co_await self.m_journal.snapshotIfDue(self.m_retention);
        self.m_upkeepPending = false;
    };
    Asio::co_spawn(m_strand, upkeep(*this), Asio::detached);
}

FleetModel Planner::fleet(const Ledger &ledger) const
{
    FleetModel model;
    const auto hosts = m_hosts.hosts();
    for (std::size_t i = 0; hosts && i < hosts->hosts.size(); ++i) {
        const Host &host = hosts->hosts[i];
        if (host.kind != HostKind::Worker) {
            continue;
        }
        const WorkerId id(host.id);
        const WorkerIndex index = model.add(id, host.place, host.rack, host.resources);
        const bool good = ledger.standing(id) == Standing::Good;
        model.setUsable(index, good && host.state == HostState::Live && m_raised.contains(id));
    }
    return model;
}

PlanningView Planner::planningView(const FleetModel &workers)
{
    ActiveAttempts attempts;
    for (const auto &[id, runner] : m_runners) {
        ActiveAttempt &attempt = attempts[id];
        attempt.guaranteed = runner->attempt().guaranteed;
        attempt.stopping = runner->stopping();
        for (const PartHost &host : runner->attempt().parts) {
            attempt.workers.push_back(host.worker);
        }
    }
    const FleetConfigPtr config = m_config.config();
    return m_journal.read([&](const Ledger &ledger) {
        m_runTimes.learn(ledger);
        m_sizes.learn(ledger);
        return makePlanningView(workers, *config, ledger, attempts, {m_runTimes, m_sizes}, wallClockMs());
    });
}

void Planner::plan()
{
    // A pass is made when the ledger has changed, and now and then for hosts, leases and the passing of time.
    const std::uint64_t revision = m_journal.read([](const Ledger &ledger) { return ledger.revision(); });
    const auto hosts = m_hosts.hosts();
    if (!hosts || !m_config.config() || (revision == m_plannedRevision && Clock::now() - m_lastPlan < m_planInterval)) {
        return;
    }
    m_plannedRevision = revision;
    m_lastPlan = Clock::now();
    // A placement whose append had no answer may have turned up since.
    adoptGangs();
    const FleetModel workers = m_journal.read([this](const Ledger &ledger) { return fleet(ledger); });
    const std::vector<PartUse> uses = partUses(workers);
    controlOverruns(workers, uses);
    learnSizes(uses);
    const PlanningView view = planningView(workers);
    const ScheduleDecision decision = m_scheduling.plan(view);
    m_planInterval = std::max<Duration>(PLAN_INTERVAL, (Clock::now() - m_lastPlan) * PLAN_REST_FACTOR);
    for (const StopDecision &stop : decision.stops) {
        stopGang(stop);
    }
    for (const PlaceDecision &placement : decision.placements) {
        startGang(placement, view.fleet, *hosts);
    }
    noteWaits(decision);
}

void Planner::stopGang(const StopDecision &decision)
{
    const auto runner = m_runners.find(decision.job);
    if (runner == m_runners.end() || runner->second->stopping()) {
        return;
    }
    logEvent(LogLevel::Info, decision.move ? "gang-moved" : "gang-preempted",
             {{"job", decision.job.value()}, {"for", decision.beneficiary.value()}});
    runner->second->requestStop(decision.move ? StopCause::Moved : StopCause::Preempted);
}

void Planner::noteWaits(const ScheduleDecision &decision)
{
    const auto append = [](Planner &self, Fitness record) -> Asio::awaitable<void> {
        co_await self.m_journal.append(record, Clock::now() + BEAT_LIMIT);
    };
    std::map<JobId, WaitReason> waits;
    for (const WaitReason &reason : decision.waits) {
        waits[reason.job] = reason;
    }
    // The ledger is told of jobs that can never run on the fleet as it is, and of those that can again.
    std::vector<Fitness> changes;
    m_journal.read([&](const Ledger &ledger) {
        for (const auto &[id, reason] : waits) {
            const Job *job = ledger.job(id);
            const bool fits = reason.cause != WaitCause::NeverFits;
            if (job != nullptr && !job->placed() && fits == (job->state == JobState::Unschedulable)) {
                changes.push_back({m_epoch, id, fits, fits ? "" : toString(reason.cause)});
            }
        }
    });
    for (Fitness &change : changes) {
        Asio::co_spawn(m_strand, append(*this, std::move(change)), Asio::detached);
    }
    std::vector<std::string> broken;
    for (const GuaranteedGang &gang : decision.brokenGuarantees) {
        broken.push_back(gang.team.value());
    }
    if (broken != m_brokenGuarantees) {
        logEvent(broken.empty() ? LogLevel::Info : LogLevel::Error, "guarantees-broken",
                 {{"count", std::uint64_t(broken.size())}, {"first", broken.empty() ? "" : broken.front()}});
        m_brokenGuarantees = std::move(broken);
    }
    const std::lock_guard lock(m_statusMutex);
    m_waits = std::move(waits);
}

void Planner::startGang(const PlaceDecision &decision, const FleetModel &fleet, const HostSnapshot &hosts)
{
    const auto job = m_journal.read([&](const Ledger &ledger) -> std::optional<Job> {
        const Job *found = ledger.job(decision.job);
        return found == nullptr || found->placed() || isFinal(found->state) ? std::nullopt : std::optional<Job>(*found);
    });
    if (!job || m_runners.contains(decision.job)) {
        return;
    }
    GangAttempt attempt;
    attempt.spec = job->spec;
    attempt.attempt = job->attempt + 1;
    attempt.epoch = m_epoch;
    attempt.guaranteed = decision.guaranteed;
    attempt.checkpoints = job->checkpoints;
    attempt.earlierFailures = job->failures;
    for (const WorkerIndex worker : decision.workers) {
        const Host *host = hosts.findWorker(fleet.id(worker));
        if (host == nullptr) {
            return;
        }
        attempt.parts.push_back({fleet.id(worker), host->address});
    }
    launch(std::move(attempt), GangState::Placing);
}

void Planner::launch(GangAttempt attempt, GangState entry)
{
    const JobId id = attempt.spec.job;
    auto runner =
        std::make_unique<GangRunner>(*this, m_journal, m_book, m_client, m_metrics, std::move(attempt), entry);
    GangRunner &running = *runner;
    m_runners[id] = std::move(runner);
    Asio::co_spawn(m_strand, running.run(), [this, id](const std::exception_ptr &) { m_runners.erase(id); });
}

void Planner::stopCancelled()
{
    m_journal.read([&](const Ledger &ledger) {
        if (ledger.revision() == m_cancelledRevision) {
            return;
        }
        m_cancelledRevision = ledger.revision();
        for (const auto &entry : m_runners) {
            const Job *job = ledger.job(entry.first);
            const bool cancelled = job != nullptr && job->cancelRequested && !isFinal(job->state);
            if (cancelled && !entry.second->stopping()) {
                entry.second->requestStop(StopCause::Cancelled);
            }
        }
    });
}

void Planner::updateStatus()
{
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    const std::lock_guard lock(m_statusMutex);
    m_status = {m_active,      role.epoch,      role.holder,       m_runners.size(),
                m_book.size(), m_raised.size(), m_brokenGuarantees};
}

PlannerStatus Planner::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

std::string Planner::explain(const JobId &id) const
{
    return m_journal.read([&](const Ledger &ledger) -> std::string {
        const Job *job = ledger.job(id);
        if (job == nullptr) {
            return "no such job";
        }
        std::string text = toString(job->state);
        const std::lock_guard lock(m_statusMutex);
        const auto wait = m_waits.find(id);
        if (!job->placed() && !isFinal(job->state) && wait != m_waits.end()) {
            text += std::string(": ") + toString(wait->second.cause);
            if (wait->second.expectedStartMs > 0) {
                const std::int64_t waitMs = wait->second.expectedStartMs - wallClockMs();
                text +=
                    "; expected to start in about " + std::to_string(std::max<std::int64_t>(0, waitMs) / 1000) + " s";
            }
        } else if (!job->reason.empty()) {
            text += ": " + job->reason;
        }
        if (!m_status.active && !job->placed() && !isFinal(job->state)) {
            text += " (ask " + m_status.holder.value() + ", which plans, for more)";
        }
        return text;
    });
}

} // namespace Papaya
