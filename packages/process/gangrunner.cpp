#include "process/gangrunner.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis STOP_TIMEOUT {500};
constexpr Millis STOP_RETRY_INTERVAL {300};
constexpr Millis CHECKPOINT_TIMEOUT {1'000};
constexpr Millis MONITOR_INTERVAL {10'000}; // fallback if a notification is missed; the task tracker has the full state
constexpr Millis LEASE_MARGIN {300};        // for workers whose clocks run slower
constexpr std::uint32_t MAX_FAILED_ATTEMPTS = 3; // the job fails after this many attempts with a failed part

} // namespace

GangRunner::GangRunner(GangOwner &owner, Journal &journal, TaskTracker &tasks, WorkerClient &client, Metrics &metrics,
                       GangAttempt attempt, GangState initialState)
    : m_owner(owner)
    , m_journal(journal)
    , m_tasks(tasks)
    , m_client(client)
    , m_metrics(metrics)
    , m_attempt(std::move(attempt))
    , m_machine(initialState)
    , m_mayHaveRun(initialState == GangState::Starting || initialState == GangState::Running)
{
    if (m_attempt.cancelRequested) {
        m_stop = StopCause::Cancelled;
    }
    if (initialState == GangState::Stopping) {
        m_failureReason = ReleaseReason::PrepareFailed;
    }
}

TaskId GangRunner::taskOf(std::size_t part) const
{
    return {m_attempt.spec.job, PartIndex(static_cast<std::uint32_t>(part))};
}

void GangRunner::requestStop(StopCause cause)
{
    if (!m_stop || cause == StopCause::Cancelled) {
        m_stop = cause;
    }
    m_tasks.updates(m_attempt.spec.job).notifyAll();
}

void GangRunner::markFailed(ReleaseReason reason, const WorkerId &failedWorker)
{
    if (!m_failureReason) {
        m_failureReason = reason;
        m_failedWorker = failedWorker;
    }
}

Asio::awaitable<void> GangRunner::forEachPart(const PartAction &action)
{
    const auto executor = co_await Asio::this_coro::executor;
    auto waiter = Waiter::create(executor);
    std::size_t pending = m_attempt.parts.size();
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        Asio::co_spawn(executor, action(part), [&pending, waiter](const std::exception_ptr &) {
            if (--pending == 0) {
                waiter->notify();
            }
        });
    }
    co_await waiter->wait(TimePoint::max());
}

Asio::awaitable<void> GangRunner::run()
{
    GangAction action = m_machine.action();
    while (action != GangAction::Finish) {
        GangEvent event = GangEvent::Superseded;
        if (m_owner.isActiveEpoch(m_attempt.epoch)) {
            event = co_await perform(action);
        }
        const GangState before = m_machine.state();
        action = m_machine.process(event);
        if (m_machine.state() != before) {
            logEvent(LogLevel::Debug, "gang-state",
                     {{"job", m_attempt.spec.job.value()},
                      {"attempt", std::uint64_t(m_attempt.attempt)},
                      {"state", toString(m_machine.state())}});
        }
    }
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        m_tasks.remove(taskOf(part));
    }
}

Asio::awaitable<GangEvent> GangRunner::perform(GangAction action)
{
    switch (action) {
    case GangAction::AppendPlaced:
        return appendPlaced();
    case GangAction::PrepareParts:
        return prepareParts();
    case GangAction::AppendCommitted:
        return appendCommitted();
    case GangAction::StartParts:
        return startParts();
    case GangAction::AppendStarted:
        return appendStarted();
    case GangAction::Monitor:
        return monitorParts();
    case GangAction::StopParts:
        return stopParts();
    default:
        return appendEnd();
    }
}

Asio::awaitable<void> GangRunner::commandPart(std::size_t part, TaskCommand command, Duration timeout,
                                              std::vector<std::optional<CommandResult>> &results)
{
    const PartHost &host = m_attempt.parts[part];
    try {
        const TimePoint deadline = Clock::now() + timeout;
        const CommandReply reply =
            co_await m_client.command(host.address, m_attempt.epoch, taskOf(part), command, deadline);
        results[part] = reply.result;
        if (!reply.checkpoint.empty()) {
            m_tasks.setCheckpoint(taskOf(part), reply.checkpoint);
        }
    } catch (const HttpError &) {
        results[part].reset();
    }
}

Asio::awaitable<AppendStatus> GangRunner::appendUntilSettled(JournalRecord record)
{
    AppendStatus status = AppendStatus::Unknown;
    while (status != AppendStatus::Applied && status != AppendStatus::Void && m_owner.isActiveEpoch(m_attempt.epoch)) {
        status = co_await m_journal.append(record, Clock::now() + APPEND_TIMEOUT);
    }
    co_return status;
}

std::optional<GangEvent> GangRunner::inspectParts()
{
    const TimePoint now = Clock::now();
    std::size_t succeeded = 0;
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        const TrackedTask *task = m_tasks.find(taskOf(part));
        if (task == nullptr) {
            return GangEvent::Superseded;
        }
        const WorkerId &worker = m_attempt.parts[part].worker;
        if (task->state == TaskState::Failed) {
            m_owner.partEnded(worker, m_attempt.spec.job, false);
            markFailed(ReleaseReason::PartFailed, worker);
            return GangEvent::Failed;
        }
        if (task->state == TaskState::Succeeded) {
            ++succeeded;
            continue;
        }
        const bool timedOut = m_tasks.contactTimedOut(*task, now);
        if (task->lost || task->state == TaskState::Stopped || timedOut) {
            m_metrics.count(Counter::PartsLost);
            logEvent(LogLevel::Warning, "part-lost",
                     {{"job", m_attempt.spec.job.value()},
                      {"attempt", std::uint64_t(m_attempt.attempt)},
                      {"part", std::uint64_t(part)},
                      {"worker", worker.value()},
                      {"cause", task->lost ? "lease lapsed"
                                           : (timedOut ? "no contact with the worker within the time-out"
                                                       : "stopped by the worker")}});
            markFailed(ReleaseReason::PartLost);
            return GangEvent::Failed;
        }
    }
    if (succeeded == m_attempt.parts.size()) {
        m_succeeded = true;
        for (const PartHost &host : m_attempt.parts) {
            m_owner.partEnded(host.worker, m_attempt.spec.job, true);
        }
        return GangEvent::AllSucceeded;
    }
    return std::nullopt;
}

Asio::awaitable<GangEvent> GangRunner::monitorParts()
{
    const auto executor = co_await Asio::this_coro::executor;
    while (true) {
        auto reported = m_tasks.updates(m_attempt.spec.job).subscribe(executor);
        if (m_tasks.superseded()) {
            m_owner.superseded();
            co_return GangEvent::Superseded;
        }
        if (!m_owner.isActiveEpoch(m_attempt.epoch)) {
            co_return GangEvent::Superseded;
        }
        if (const auto event = inspectParts()) {
            co_return *event;
        }
        if (m_stop) {
            co_return GangEvent::StopRequested;
        }
        co_await reported->wait(Clock::now() + MONITOR_INTERVAL);
    }
}

Asio::awaitable<void> GangRunner::takeCheckpoints()
{
    std::vector<std::optional<CommandResult>> results(m_attempt.parts.size());
    const TimePoint until = Clock::now() + CHECKPOINT_TIMEOUT;
    const PartAction checkpoint = [&](std::size_t part) {
        return commandPart(part, TaskCommand::Checkpoint, CHECKPOINT_TIMEOUT, results);
    };
    co_await forEachPart(checkpoint);
    // A worker that does not return the checkpoint in its reply names it in a later report.
    const auto hasCheckpoint = [&](std::size_t part) {
        const TrackedTask *task = m_tasks.find(taskOf(part));
        return task == nullptr || !task->checkpoint.empty();
    };
    while (Clock::now() < until) {
        std::size_t taken = 0;
        for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
            taken += hasCheckpoint(part) ? 1U : 0U;
        }
        if (taken == m_attempt.parts.size()) {
            co_return;
        }
        const auto executor = co_await Asio::this_coro::executor;
        co_await m_tasks.updates(m_attempt.spec.job).subscribe(executor)->wait(until);
    }
}

void GangRunner::keepCheckpoints()
{
    std::vector<std::string> checkpoints;
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        const TrackedTask *task = m_tasks.find(taskOf(part));
        checkpoints.push_back(task == nullptr ? "" : task->checkpoint);
    }
    // A gang can resume only if there is a checkpoint of every part.
    const bool complete = std::none_of(checkpoints.begin(), checkpoints.end(),
                                       [](const std::string &checkpoint) { return checkpoint.empty(); });
    if (complete) {
        m_attempt.checkpoints = std::move(checkpoints);
    }
}

Asio::awaitable<GangEvent> GangRunner::stopParts()
{
    const bool orderly = m_stop && m_stop != StopCause::Cancelled && !m_failureReason;
    if (orderly && m_attempt.spec.restart == RestartRule::Checkpoint) {
        co_await takeCheckpoints();
    }
    keepCheckpoints();
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        m_tasks.setLeaseMode(taskOf(part), LeaseMode::None);
    }
    std::vector<bool> stopped(m_attempt.parts.size(), false);
    while (m_owner.isActiveEpoch(m_attempt.epoch)) {
        std::vector<std::optional<CommandResult>> results(m_attempt.parts.size());
        const PartAction stop = [&](std::size_t part) {
            return commandPart(part, TaskCommand::Stop, STOP_TIMEOUT, results);
        };
        co_await forEachPart(stop);
        if (std::count(results.begin(), results.end(), CommandResult::StaleEpoch) > 0) {
            m_owner.superseded();
            co_return GangEvent::Superseded;
        }
        bool allStopped = true;
        for (std::size_t part = 0; part < results.size(); ++part) {
            // A worker that cannot be reached stops the part when the lease lapses.
            const TrackedTask *task = m_tasks.find(taskOf(part));
            const bool lapsed = task == nullptr || Clock::now() >= task->leaseUntil + LEASE_MARGIN;
            stopped[part] = stopped[part] || results[part].has_value() || lapsed;
            allStopped = allStopped && stopped[part];
        }
        if (allStopped) {
            co_return GangEvent::PartsStopped;
        }
        co_await sleepFor(STOP_RETRY_INTERVAL);
    }
    co_return GangEvent::Superseded;
}

JournalRecord GangRunner::endRecord() const
{
    Finished finished;
    finished.epoch = m_attempt.epoch;
    finished.job = m_attempt.spec.job;
    finished.attempt = m_attempt.attempt;
    if (m_succeeded) {
        finished.outcome = JobOutcome::Succeeded;
        return finished;
    }
    if (m_stop == StopCause::Cancelled) {
        finished.outcome = JobOutcome::Cancelled;
        finished.reason = "cancelled";
        return finished;
    }
    const ReleaseReason reason =
        m_failureReason.value_or(m_stop == StopCause::Moved ? ReleaseReason::Moved : ReleaseReason::Preempted);
    finished.outcome = JobOutcome::Failed;
    if (reason == ReleaseReason::PartFailed && m_attempt.earlierFailures + 1 >= MAX_FAILED_ATTEMPTS) {
        finished.reason = "parts failed on " + std::to_string(MAX_FAILED_ATTEMPTS) + " attempts";
        return finished;
    }
    if (m_mayHaveRun && m_attempt.spec.restart == RestartRule::Never) {
        finished.reason = std::string("ended by ") + toString(reason) + ", and the template forbids a restart";
        return finished;
    }
    Released released;
    released.epoch = m_attempt.epoch;
    released.job = m_attempt.spec.job;
    released.attempt = m_attempt.attempt;
    released.reason = reason;
    released.failedWorker = m_failedWorker;
    if (m_attempt.spec.restart == RestartRule::Checkpoint) {
        released.checkpoints = m_attempt.checkpoints;
    }
    return released;
}

Asio::awaitable<GangEvent> GangRunner::appendEnd()
{
    const JournalRecord record = endRecord();
    const AppendStatus status = co_await appendUntilSettled(record);
    if (status != AppendStatus::Applied) {
        co_return GangEvent::Superseded;
    }
    if (const auto *finished = std::get_if<Finished>(&record)) {
        constexpr std::array<Counter, 3> COUNTERS {Counter::JobsSucceeded, Counter::JobsFailed, Counter::JobsCancelled};
        m_metrics.count(COUNTERS[static_cast<std::size_t>(finished->outcome)]);
        logEvent(
            LogLevel::Info, "job-ended",
            {{"job", finished->job.value()}, {"outcome", toString(finished->outcome)}, {"reason", finished->reason}});
    } else {
        const auto &released = std::get<Released>(record);
        m_metrics.count(Counter::JobsPreempted);
        logEvent(LogLevel::Info, "job-released",
                 {{"job", released.job.value()}, {"reason", toString(released.reason)}});
    }
    co_return GangEvent::EndApplied;
}

} // namespace Papaya
