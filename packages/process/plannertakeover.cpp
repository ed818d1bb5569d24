#include "process/planner.h"

#include "base/digest.h"
#include "process/logging.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

// How the planner's role changes hands: when it is claimed, what a new planner does first, and how the role is given
// up.

namespace Papaya
{

namespace
{

constexpr Millis SUSPICION {1'000}; // silence of the planner before another instance claims the role
constexpr int SUSPICION_APPEND_FACTOR = 3;
constexpr Millis RANK_DELAY {250};   // between the claims of two candidates
constexpr Millis READ_FRESH {1'300}; // a candidate must have read the journal to its end this recently
constexpr Millis CLAIM_LIMIT {3'000};
constexpr Millis RAISE_LIMIT {400};
constexpr Millis RAISE_RETRY {1'000};
constexpr Millis ISOLATED_RENEWALS {30'000}; // an old planner that is cut off may renew leases this long
constexpr Millis STRAY_LIMIT {500};

Asio::awaitable<void> stopStray(WorkerClient &client, Endpoint address, Epoch epoch, TaskId task)
{
    try {
        co_await client.command(address, epoch, task, TaskCommand::Stop, Clock::now() + STRAY_LIMIT);
    } catch (const HttpError &) {
        // Nobody renews a stray's lease, so it ends by itself.
    }
}

} // namespace

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
    const bool canRead = m_journal.tail().caughtUpSince(now - READ_FRESH);
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
    const std::vector<Job> orphans = m_journal.read([this](const Ledger &ledger) {
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
    for (const Job &job : orphans) {
        adopt(job, hosts ? *hosts : NO_HOSTS);
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
        const Host *host = hosts.findWorker(job.workers[part]);
        attempt.parts.push_back({job.workers[part], host == nullptr ? Endpoint {} : host->address});
        const TaskId task {job.spec.job, PartIndex(static_cast<std::uint32_t>(part))};
        m_book.hold(task, job.workers[part], attempt.parts.back().address, running ? LeaseMode::Long : LeaseMode::Short,
                    now, job.attempt > 1 && !running);
        // The last planner may have renewed this lease until now, and an isolated one may go on for a while. A gang
        // that is committed may have long leases there, even if the journal does not show that it runs.
        m_book.assumeRenewedUntil(task, now + ISOLATED_RENEWALS, job.committed ? LeaseMode::Long : LeaseMode::Short);
    }
    const GangState committed = running ? GangState::Running : GangState::Starting;
    launch(std::move(attempt), job.committed ? committed : GangState::Stopping);
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
