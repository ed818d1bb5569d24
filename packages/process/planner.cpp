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

constexpr Millis TICK_INTERVAL {100};
constexpr Millis STALL_THRESHOLD {600}; // a longer gap between two ticks means that this process was stalled
constexpr Millis HEARTBEAT_INTERVAL {400};
constexpr Millis APPEND_TIMEOUT {2'000};
constexpr Millis MAINTENANCE_INTERVAL {1'000};
constexpr Millis PLAN_INTERVAL {500};
constexpr int PLAN_INTERVAL_FACTOR = 60; // keeps passes without a ledger change below 2 % of a core

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
    , m_tasks(m_strand, client, metrics)
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
        co_await progress->wait(Clock::now() + TICK_INTERVAL);
    }
    self.leaveRole();
}

bool Planner::holdsRole() const
{
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    return role.holder == m_journal.instance() && role.incarnation == m_journal.incarnation() && !role.resigned;
}

bool Planner::isActiveEpoch(Epoch epoch) const
{
    return m_active && !m_stopped && epoch == m_epoch;
}

void Planner::superseded()
{
    // A worker has seen a higher epoch. Planning stops until the journal shows whether the role is still held.
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

void Planner::updateStandings()
{
    const auto append = [](Planner &self, WorkerStanding record) -> Asio::awaitable<void> {
        const AppendStatus status = co_await self.m_journal.append(record, Clock::now() + APPEND_TIMEOUT);
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
    // 1. If the process was stalled, another planner may be active; the journal must be read again first.
    const TimePoint now = Clock::now();
    if (now - m_lastTick > STALL_THRESHOLD) {
        m_mustVerifySince = now;
    }
    m_lastTick = now;
    if (!m_journal.tail().caughtUp()) {
        co_return;
    }
    // 2. Takes over or leaves the role, as the journal says.
    const bool holds = holdsRole();
    if (m_active && !holds) {
        leaveRole();
    }
    if (!holds) {
        if (!m_resigning) {
            co_await claimRoleIfDue();
        }
        co_return;
    }
    if (!m_journal.tail().caughtUpSince(m_mustVerifySince)) {
        co_return;
    }
    if (!m_active) {
        co_await takeOver();
    }
    m_tasks.setFleetSize(workerCount());
    // 3. Does the planner's work.
    runPeriodicWork();
    co_await raiseEpochs();
    // An isolated planner must let the leases lapse, because a new planner relies on that.
    if (!m_isolated()) {
        m_tasks.refresh(m_epoch);
    }
    stopCancelledGangs();
    updateStandings();
    handleReports();
    plan();
    m_lastTick = Clock::now();
}

void Planner::leaveRole()
{
    if (m_active) {
        logEvent(LogLevel::Info, "planner-inactive", {{"epoch", m_epoch.value()}});
    }
    m_active = false;
    m_workersAtEpoch.clear();
    m_tasks.clear();
}

void Planner::runPeriodicWork()
{
    const TimePoint now = Clock::now();
    if (m_heartbeatPending || now - m_lastHeartbeat < HEARTBEAT_INTERVAL) {
        return;
    }
    m_heartbeatPending = true;
    m_lastHeartbeat = now;
    auto append = [](Planner &self, Epoch epoch) -> Asio::awaitable<void> {
        const PlannerHeartbeat record {epoch};
        co_await self.m_journal.append(record, Clock::now() + APPEND_TIMEOUT, AppendPriority::High);
        self.m_heartbeatPending = false;
    };
    Asio::co_spawn(m_strand, append(*this, m_epoch), Asio::detached);
    if (m_maintenancePending || now - m_lastMaintenance < MAINTENANCE_INTERVAL) {
        return;
    }
    m_maintenancePending = true;
    m_lastMaintenance = now;
    auto maintain = [](Planner &self) -> Asio::awaitable<void> {
        co_await self.m_config.renewIfDue(Clock::now() + APPEND_TIMEOUT);
        co_await self.m_journal.snapshotIfDue(self.m_retention);
        self.m_maintenancePending = false;
    };
    Asio::co_spawn(m_strand, maintain(*this), Asio::detached);
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
        model.setUsable(index, good && host.state == HostState::Live && m_workersAtEpoch.contains(id));
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
        m_runTimeEstimator.learn(ledger);
        m_sizeEstimator.learn(ledger);
        return makePlanningView(workers, *config, ledger, attempts, {m_runTimeEstimator, m_sizeEstimator},
                                wallClockMs());
    });
}

void Planner::plan()
{
    // Plans when the ledger has changed, and periodically, as hosts, leases and ages change without a record.
    const std::uint64_t revision = m_journal.read([](const Ledger &ledger) { return ledger.revision(); });
    const auto hosts = m_hosts.hosts();
    if (!hosts || !m_config.config() || (revision == m_plannedRevision && Clock::now() - m_lastPlan < m_planInterval)) {
        return;
    }
    m_plannedRevision = revision;
    m_lastPlan = Clock::now();
    // A placement whose append had an unknown outcome may have reached the ledger since.
    adoptGangs();
    const FleetModel workers = m_journal.read([this](const Ledger &ledger) { return fleet(ledger); });
    const PlanningView view = planningView(workers);
    const ScheduleDecision decision = m_scheduling.plan(view);
    m_planInterval = std::max<Duration>(PLAN_INTERVAL, (Clock::now() - m_lastPlan) * PLAN_INTERVAL_FACTOR);
    for (const StopDecision &stop : decision.stops) {
        stopGang(stop);
    }
    for (const PlaceDecision &placement : decision.placements) {
        startGang(placement, view.fleet, *hosts);
    }
    recordWaits(decision);
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

void Planner::recordWaits(const ScheduleDecision &decision)
{
    const auto append = [](Planner &self, Feasibility record) -> Asio::awaitable<void> {
        co_await self.m_journal.append(record, Clock::now() + APPEND_TIMEOUT);
    };
    std::map<JobId, WaitReason> waits;
    for (const WaitReason &reason : decision.waits) {
        waits[reason.job] = reason;
    }
    // Records which jobs do not fit even on the empty fleet, and which have become schedulable again.
    std::vector<Feasibility> changes;
    m_journal.read([&](const Ledger &ledger) {
        for (const auto &[id, reason] : waits) {
            const Job *job = ledger.job(id);
            const bool fits = reason.cause != WaitCause::NeverFits;
            if (job != nullptr && !job->placed() && fits == (job->state == JobState::Unschedulable)) {
                changes.push_back({m_epoch, id, fits, fits ? "" : toString(reason.cause)});
            }
        }
    });
    for (Feasibility &change : changes) {
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
    startRunner(std::move(attempt), GangState::Placing);
}

void Planner::startRunner(GangAttempt attempt, GangState initialState)
{
    const JobId id = attempt.spec.job;
    auto runner =
        std::make_unique<GangRunner>(*this, m_journal, m_tasks, m_client, m_metrics, std::move(attempt), initialState);
    GangRunner &running = *runner;
    m_runners[id] = std::move(runner);
    Asio::co_spawn(m_strand, running.run(), [this, id](const std::exception_ptr &) { m_runners.erase(id); });
}

void Planner::stopCancelledGangs()
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
    m_status = {m_active,          role.epoch, role.holder, m_runners.size(), m_tasks.size(), m_workersAtEpoch.size(),
                m_brokenGuarantees};
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
            text += " (the planner is " + m_status.holder.value() + "; ask that instance for details)";
        }
        return text;
    });
}

} // namespace Papaya
