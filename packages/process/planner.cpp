#include "process/planner.h"

#include "base/digest.h"
#include "process/logging.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis TICK {100};
constexpr Millis PAUSE_NOTICED {600}; // a longer gap between two ticks means that this process stood still
constexpr Millis BEAT_INTERVAL {400};
constexpr Millis BEAT_LIMIT {2'000};
constexpr Millis SUSPICION {1'000}; // silence of the planner before another instance claims the role
constexpr int SUSPICION_APPEND_FACTOR = 3;
constexpr Millis RANK_DELAY {250};   // between the claims of two candidates
constexpr Millis READ_FRESH {1'300}; // a candidate must have read the journal to its end this recently
constexpr Millis CLAIM_LIMIT {3'000};
constexpr Millis RAISE_LIMIT {400};
constexpr Millis RAISE_RETRY {1'000};
constexpr Millis UPKEEP_INTERVAL {1'000};
constexpr Millis ISOLATED_RENEWALS {30'000}; // an old planner that is cut off may renew leases this long
constexpr Millis STRAY_LIMIT {500};
constexpr Millis PLAN_INTERVAL {500};
constexpr int PLAN_REST_FACTOR = 60; // keeps passes that nothing asks for below 2 % of a core

Asio::awaitable<void> stopStray(WorkerClient &client, Endpoint address, Epoch epoch, TaskId task)
{
    try {
        co_await client.command(address, epoch, task, TaskCommand::Stop, Clock::now() + STRAY_LIMIT);
    } catch (const HttpError &) {
        // Nobody renews a stray's lease, so it ends by itself.
    }
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

const Host *findWorker(const HostSnapshot &hosts, const WorkerId &id)
{
    for (const Host &host : hosts.hosts) {
        if (host.kind == HostKind::Worker && host.id == id.value()) {
            return &host;
        }
    }
    return nullptr;
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
    if (!m_journal.tail().verifiedSince(m_mustVerifySince)) {
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

Duration Planner::suspicionLimit(const PlannerRole &role) const
{
    // Candidates are ranked by a hash that changes with the epoch, so that they do not all claim at once.
    std::size_t rank = 0;
    const std::uint64_t own = stableHash(m_journal.instance().value(), role.epoch.value());
    if (const auto hosts = m_hosts.hosts()) {
        for (const Host &host : hosts->hosts) {
            const bool candidate =
                host.kind == HostKind::Entry && host.state == HostState::Live && host.id != role.holder.value();
            rank += candidate && stableHash(host.id, role.epoch.value()) > own ? 1U : 0U;
        }
    }
    const bool vacant = role.resigned || role.epoch == Epoch(0);
    const Duration silence =
        vacant ? Duration::zero() : SUSPICION + m_journal.lastAppendTime() * SUSPICION_APPEND_FACTOR;
    return silence + RANK_DELAY * static_cast<int>(rank);
}

Asio::awaitable<void> Planner::claimIfSuspect()
{
    const TimePoint now = Clock::now();
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    const bool canRead = m_journal.tail().verifiedSince(now - READ_FRESH);
    if (!canRead || m_config.config() == nullptr || now - m_journal.plannerHeard() < suspicionLimit(role)) {
        co_return;
    }
    PlannerClaim claim;
    claim.epoch = Epoch(role.epoch.value() + 1);
    claim.address = m_peerAddress;
    m_metrics.count(Counter::PlannerClaims);
    const AppendStatus status = co_await m_journal.append(claim, now + CLAIM_LIMIT, AppendPriority::High);
    logEvent(LogLevel::Info, "planner-claim",
             {{"epoch", claim.epoch.value()}, {"won", status == AppendStatus::Applied ? "yes" : "no"}});
}

Asio::awaitable<void> Planner::takeOver()
{
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    m_epoch = role.epoch;
    m_raised.clear();
    m_book.clear();
    m_book.setFleetSize(workerCount());
    m_active = true;
    beat();
    m_lastRaise = {};
    adoptGangs();
    co_await raiseWorkers();
    logEvent(LogLevel::Info, "planner-active",
             {{"epoch", m_epoch.value()},
              {"gangs", std::uint64_t(m_runners.size())},
              {"workers", std::uint64_t(m_raised.size())}});
}

Asio::awaitable<void> Planner::raiseWorkers()
{
    const auto hosts = m_hosts.hosts();
    if (!hosts || Clock::now() - m_lastRaise < RAISE_RETRY) {
        co_return;
    }
    m_lastRaise = Clock::now();
    const auto executor = co_await Asio::this_coro::executor;
    auto waiter = Waiter::create(executor);
    auto pending = std::make_shared<std::size_t>(0);
    for (const Host &host : hosts->hosts) {
        if (host.kind != HostKind::Worker || m_raised.contains(WorkerId(host.id))) {
            continue;
        }
        ++*pending;
        Asio::co_spawn(executor, raiseWorker(host, m_epoch), [pending, waiter](const std::exception_ptr &) {
            if (--*pending == 0) {
                waiter->notify();
            }
        });
    }
    if (*pending > 0) {
        co_await waiter->wait(Clock::now() + RAISE_LIMIT);
    }
}

Asio::awaitable<void> Planner::raiseWorker(Host worker, Epoch epoch)
{
    try {
        const auto report = co_await m_client.raiseEpoch(worker.address, epoch, Clock::now() + RAISE_LIMIT);
        if (!inCharge(epoch)) {
            co_return;
        }
        if (!report) {
            superseded();
            co_return;
        }
        m_raised.insert(WorkerId(worker.id));
        m_book.epochRaised(WorkerId(worker.id));
        stopStrays(worker, *report);
        for (const TaskReport &task : report->tasks) {
            m_book.note(task);
        }
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "epoch-not-raised", {{"worker", worker.id}, {"error", error.what()}});
    }
}

void Planner::stopStrays(const Host &worker, const WorkerReport &report)
{
    for (const TaskReport &task : report.tasks) {
        const bool ended =
            task.state == TaskState::Succeeded || task.state == TaskState::Failed || task.state == TaskState::Stopped;
        const bool placed = m_journal.read([&](const Ledger &ledger) {
            const Job *job = ledger.job(task.id.job);
            const std::size_t part = task.id.part.value();
            return job != nullptr && part < job->workers.size() && job->workers[part].value() == worker.id;
        });
        if (!ended && !placed) {
            m_metrics.count(Counter::StrayTasksStopped);
            Asio::co_spawn(m_strand, stopStray(m_client, worker.address, m_epoch, task.id), Asio::detached);
        }
    }
}

void Planner::adoptGangs()
{
    const auto hosts = m_hosts.hosts();
    const std::vector<Job> placed = m_journal.read([](const Ledger &ledger) {
        std::vector<Job> jobs;
        for (const auto &[order, id] : ledger.active()) {
            if (ledger.job(id)->placed()) {
                jobs.push_back(*ledger.job(id));
            }
        }
        return jobs;
    });
    static const HostSnapshot NO_HOSTS;
    for (const Job &job : placed) {
        if (!m_runners.contains(job.spec.job)) {
            adopt(job, hosts ? *hosts : NO_HOSTS);
        }
    }
}

void Planner::adopt(const Job &job, const HostSnapshot &hosts)
{
    GangAttempt attempt;
    attempt.spec = job.spec;
    attempt.attempt = job.attempt;
    attempt.epoch = m_epoch;
    attempt.guaranteed = job.guaranteed;
    attempt.checkpoints = job.checkpoints;
    attempt.earlierFailures = job.failures;
    attempt.cancelRequested = job.cancelRequested;
    const bool running = job.state == JobState::Running;
    const TimePoint now = Clock::now();
    for (std::size_t part = 0; part < job.workers.size(); ++part) {
        const Host *host = findWorker(hosts, job.workers[part]);
        attempt.parts.push_back({job.workers[part], host == nullptr ? Endpoint {} : host->address});
        // The last planner may have renewed this lease until now, and an isolated one may go on for a while.
        m_book.hold({job.spec.job, PartIndex(static_cast<std::uint32_t>(part))}, job.workers[part],
                    attempt.parts.back().address, running ? LeaseMode::Long : LeaseMode::Short, now + ISOLATED_RENEWALS,
                    job.attempt > 1 && !running);
    }
    const GangState committed = running ? GangState::Running : GangState::Starting;
    launch(std::move(attempt), job.committed ? committed : GangState::Stopping);
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

PlanningView Planner::planningView()
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
        return makePlanningView(fleet(ledger), *config, ledger, attempts, m_runTimes, wallClockMs());
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
    const PlanningView view = planningView();
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
        const Host *host = findWorker(hosts, fleet.id(worker));
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
        for (const auto &entry : m_runners) {
            const Job *job = ledger.job(entry.first);
            const bool cancelled = job != nullptr && job->cancelRequested && !isFinal(job->state);
            if (cancelled && !entry.second->stopping()) {
                entry.second->requestStop(StopCause::Cancelled);
            }
        }
    });
}

Asio::awaitable<void> Planner::resign(TimePoint deadline)
{
    co_await Asio::dispatch(Asio::bind_executor(m_strand, Asio::use_awaitable));
    m_resigning = true;
    if (m_active && holdsRole()) {
        const PlannerResigned record {m_epoch};
        co_await m_journal.append(record, deadline, AppendPriority::High);
    }
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
