#include "process/planner.h"

#include "base/digest.h"
#include "process/logging.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// Changes of the planner role: when it is claimed, how a new planner takes over the workers and the gangs, and how the
// role is given up.

namespace Papaya
{

namespace
{

// Another instance claims a role that is not vacant after PLANNER_TIMEOUT without a record of the planner's instance.
// The factor times the duration of the candidate's last append is added, since a slow log service also delays the
// planner's records.
constexpr Millis PLANNER_TIMEOUT {1'000};
constexpr int PLANNER_TIMEOUT_APPEND_FACTOR = 3;
constexpr Millis RANK_DELAY {250};     // between the claims of two candidates of adjacent rank
constexpr Millis MAX_READ_AGE {1'300}; // a candidate must have read the journal to its end this recently
constexpr Millis CLAIM_TIMEOUT {3'000};
constexpr Millis EPOCH_RAISE_TIMEOUT {400};
constexpr Millis EPOCH_RAISE_INTERVAL {1'000};
constexpr Millis ISOLATED_RENEWAL_PERIOD {30'000}; // an isolated former planner may renew leases this long
constexpr Millis ORPHAN_STOP_TIMEOUT {500};

Asio::awaitable<void> stopOrphanTask(WorkerClient &client, Endpoint address, Epoch epoch, TaskId task)
{
    try {
        co_await client.command(address, epoch, task, TaskCommand::Stop, Clock::now() + ORPHAN_STOP_TIMEOUT);
    } catch (const HttpError &) {
        // Nobody renews the lease of an orphan task, so the task ends when the lease lapses.
    }
}

} // namespace

Duration Planner::claimDelay(const PlannerRole &role) const
{
    // Candidates are ranked by a hash of instance and epoch, so that they do not all claim at once.
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
    const Duration timeout =
        vacant ? Duration::zero() : PLANNER_TIMEOUT + m_journal.lastAppendTime() * PLANNER_TIMEOUT_APPEND_FACTOR;
    return timeout + RANK_DELAY * static_cast<int>(rank);
}

Asio::awaitable<void> Planner::claimRoleIfDue()
{
    const TimePoint now = Clock::now();
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    const bool canRead = m_journal.tail().caughtUpSince(now - MAX_READ_AGE);
    if (!canRead || m_config.config() == nullptr || now - m_journal.lastPlannerRecordAt() < claimDelay(role)) {
        co_return;
    }
    PlannerClaim claim;
    claim.epoch = Epoch(role.epoch.value() + 1);
    claim.address = m_peerAddress;
    m_metrics.count(Counter::PlannerClaims);
    const AppendStatus status = co_await m_journal.append(claim, now + CLAIM_TIMEOUT, AppendPriority::High);
    logEvent(LogLevel::Info, "planner-claim",
             {{"epoch", claim.epoch.value()}, {"won", status == AppendStatus::Applied ? "yes" : "no"}});
}

Asio::awaitable<void> Planner::takeOver()
{
    const PlannerRole role = m_journal.read([](const Ledger &ledger) { return ledger.planner(); });
    m_epoch = role.epoch;
    m_workersAtEpoch.clear();
    m_tasks.clear();
    m_tasks.setFleetSize(workerCount());
    m_active = true;
    runPeriodicWork();
    m_lastEpochRaise = {};
    adoptGangs();
    co_await raiseEpochs();
    logEvent(LogLevel::Info, "planner-active",
             {{"epoch", m_epoch.value()},
              {"gangs", std::uint64_t(m_runners.size())},
              {"workers", std::uint64_t(m_workersAtEpoch.size())}});
}

Asio::awaitable<void> Planner::raiseEpochs()
{
    const auto hosts = m_hosts.hosts();
    if (!hosts || Clock::now() - m_lastEpochRaise < EPOCH_RAISE_INTERVAL) {
        co_return;
    }
    m_lastEpochRaise = Clock::now();
    const auto executor = co_await Asio::this_coro::executor;
    auto waiter = Waiter::create(executor);
    auto pending = std::make_shared<std::size_t>(0);
    for (const Host &host : hosts->hosts) {
        if (host.kind != HostKind::Worker || m_workersAtEpoch.contains(WorkerId(host.id))) {
            continue;
        }
        ++*pending;
        Asio::co_spawn(executor, raiseEpochOn(host, m_epoch), [pending, waiter](const std::exception_ptr &) {
            if (--*pending == 0) {
                waiter->notify();
            }
        });
    }
    if (*pending > 0) {
        co_await waiter->wait(Clock::now() + EPOCH_RAISE_TIMEOUT);
    }
}

Asio::awaitable<void> Planner::raiseEpochOn(Host worker, Epoch epoch)
{
    try {
        const auto report = co_await m_client.raiseEpoch(worker.address, epoch, Clock::now() + EPOCH_RAISE_TIMEOUT);
        if (!isActiveEpoch(epoch)) {
            co_return;
        }
        if (!report) {
            superseded();
            co_return;
        }
        m_workersAtEpoch.insert(WorkerId(worker.id));
        m_tasks.epochRaised(WorkerId(worker.id));
        stopOrphanTasks(worker, *report);
        for (const TaskReport &task : report->tasks) {
            m_tasks.applyReport(task);
        }
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "epoch-not-raised", {{"worker", worker.id}, {"error", error.what()}});
    }
}

void Planner::stopOrphanTasks(const Host &worker, const WorkerReport &report)
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
            Asio::co_spawn(m_strand, stopOrphanTask(m_client, worker.address, m_epoch, task.id), Asio::detached);
        }
    }
}

void Planner::adoptGangs()
{
    const auto hosts = m_hosts.hosts();
    const std::vector<Job> jobsWithoutRunner = m_journal.read([this](const Ledger &ledger) {
        std::vector<Job> jobs;
        for (const auto &[order, id] : ledger.active()) {
            const Job &job = *ledger.job(id);
            if (job.placed() && !m_runners.contains(id)) {
                jobs.push_back(job);
            }
        }
        return jobs;
    });
    static const HostSnapshot NO_HOSTS;
    for (const Job &job : jobsWithoutRunner) {
        adoptGang(job, hosts ? *hosts : NO_HOSTS);
    }
}

void Planner::adoptGang(const Job &job, const HostSnapshot &hosts)
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
        const Host *host = hosts.findWorker(job.workers[part]);
        attempt.parts.push_back({job.workers[part], host == nullptr ? Endpoint {} : host->address});
        const TaskId task {job.spec.job, PartIndex(static_cast<std::uint32_t>(part))};
        m_tasks.add(task, job.workers[part], attempt.parts.back().address, running ? LeaseMode::Long : LeaseMode::Short,
                    now, job.attempt > 1 && !running);
        // The previous planner may have renewed this lease until now and, if it is isolated, may continue for a while.
        // A committed gang may have long leases, even if the journal does not show yet that it runs.
        m_tasks.assumeRenewedUntil(task, now + ISOLATED_RENEWAL_PERIOD,
                                   job.committed ? LeaseMode::Long : LeaseMode::Short);
    }
    const GangState committedState = running ? GangState::Running : GangState::Starting;
    startRunner(std::move(attempt), job.committed ? committedState : GangState::Stopping);
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

} // namespace Papaya
