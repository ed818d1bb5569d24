#include "process/gangrunner.h"

#include "process/logging.h"

#include <algorithm>

// The start of a gang: the placement is recorded, the parts are prepared, the commit is recorded, the parts are run,
// and the start is recorded.

namespace Papaya
{

namespace
{

constexpr Millis PREPARE_TIMEOUT {1'000};
constexpr Millis RUN_TIMEOUT {800}; // shorter than SHORT_LEASE, which the parts have at that time

} // namespace

Asio::awaitable<GangEvent> GangRunner::appendPlaced()
{
    Placed record;
    record.epoch = m_attempt.epoch;
    record.job = m_attempt.spec.job;
    record.attempt = m_attempt.attempt;
    record.guaranteed = m_attempt.guaranteed;
    for (const PartHost &host : m_attempt.parts) {
        record.workers.push_back(host.worker);
    }
    // With an unknown outcome the record may still reach the ledger; the planner then adopts the job.
    const AppendStatus status = co_await m_journal.append(record, Clock::now() + APPEND_TIMEOUT);
    if (status != AppendStatus::Applied) {
        co_return GangEvent::Superseded;
    }
    m_metrics.count(Counter::JobsPlaced);
    co_return GangEvent::PlacedApplied;
}

Asio::awaitable<void> GangRunner::preparePart(std::size_t part, std::vector<CommandResult> &results)
{
    const PartHost &host = m_attempt.parts[part];
    TaskSpec spec;
    spec.id = taskOf(part);
    spec.lease = SHORT_LEASE;
    spec.shape = m_attempt.spec.shape;
    spec.templateName = m_attempt.spec.templateName;
    spec.parametersJson = m_attempt.spec.parametersJson;
    if (part < m_attempt.checkpoints.size()) {
        spec.checkpoint = m_attempt.checkpoints[part];
    }
    const TimePoint sent = Clock::now();
    try {
        // The worker may accept the task even if its reply is lost, so the lease is recorded before the call. It is
        // renewed only after the reply, since a renewal that overtakes the call would name a task unknown to the
        // worker.
        m_tasks.add(spec.id, host.worker, host.address, LeaseMode::None, sent, m_attempt.attempt > 1);
        results[part] = co_await m_client.prepare(host.address, m_attempt.epoch, spec, sent + PREPARE_TIMEOUT);
        if (results[part] == CommandResult::Done) {
            m_tasks.setLeaseMode(spec.id, LeaseMode::Short);
        }
    } catch (const HttpError &) {
        results[part] = CommandResult::Refused;
    }
}

Asio::awaitable<GangEvent> GangRunner::prepareParts()
{
    std::vector<CommandResult> results(m_attempt.parts.size(), CommandResult::Refused);
    const PartAction prepare = [&](std::size_t part) { return preparePart(part, results); };
    co_await forEachPart(prepare);
    if (std::count(results.begin(), results.end(), CommandResult::StaleEpoch) > 0) {
        m_owner.superseded();
        co_return GangEvent::Superseded;
    }
    if (m_stop) {
        co_return GangEvent::StopRequested;
    }
    for (std::size_t part = 0; part < results.size(); ++part) {
        if (results[part] != CommandResult::Done) {
            m_metrics.count(Counter::GangStartsAborted);
            markFailed(ReleaseReason::PrepareFailed, m_attempt.parts[part].worker);
            co_return GangEvent::Failed;
        }
    }
    co_return GangEvent::AllPrepared;
}

Asio::awaitable<GangEvent> GangRunner::appendCommitted()
{
    Committed record;
    record.epoch = m_attempt.epoch;
    record.job = m_attempt.spec.job;
    record.attempt = m_attempt.attempt;
    const AppendStatus status = co_await m_journal.append(record, Clock::now() + APPEND_TIMEOUT);
    if (status == AppendStatus::Void) {
        co_return GangEvent::Superseded;
    }
    if (m_stop) {
        co_return GangEvent::StopRequested;
    }
    if (status != AppendStatus::Applied) {
        markFailed(ReleaseReason::StartFailed);
        co_return GangEvent::Failed;
    }
    co_return GangEvent::CommitApplied;
}

Asio::awaitable<GangEvent> GangRunner::startParts()
{
    // From here on the short leases are not renewed, so that an interrupted start ends when they lapse.
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        m_tasks.setLeaseMode(taskOf(part), LeaseMode::None);
    }
    m_mayHaveRun = true;
    std::vector<std::optional<CommandResult>> results(m_attempt.parts.size());
    const PartAction run = [&](std::size_t part) { return commandPart(part, TaskCommand::Run, RUN_TIMEOUT, results); };
    co_await forEachPart(run);
    if (std::count(results.begin(), results.end(), CommandResult::StaleEpoch) > 0) {
        m_owner.superseded();
        co_return GangEvent::Superseded;
    }
    for (std::size_t part = 0; part < results.size(); ++part) {
        if (results[part] != CommandResult::Done) {
            m_metrics.count(Counter::GangStartsAborted);
            m_owner.partEnded(m_attempt.parts[part].worker, m_attempt.spec.job, false);
            markFailed(ReleaseReason::StartFailed, m_attempt.parts[part].worker);
            co_return GangEvent::Failed;
        }
    }
    for (std::size_t part = 0; part < m_attempt.parts.size(); ++part) {
        m_tasks.setLeaseMode(taskOf(part), LeaseMode::Long);
    }
    m_tasks.refresh(m_attempt.epoch);
    co_return GangEvent::AllRunning;
}

Asio::awaitable<GangEvent> GangRunner::appendStarted()
{
    Started record;
    record.epoch = m_attempt.epoch;
    record.job = m_attempt.spec.job;
    record.attempt = m_attempt.attempt;
    // The gang is running, and an outage of the log service does not stop it.
    const AppendStatus status = co_await appendUntilSettled(record);
    if (status != AppendStatus::Applied) {
        co_return GangEvent::Superseded;
    }
    m_metrics.count(Counter::JobsStarted);
    logEvent(LogLevel::Info, "job-started",
             {{"job", m_attempt.spec.job.value()}, {"attempt", std::uint64_t(m_attempt.attempt)}});
    co_return GangEvent::StartApplied;
}

} // namespace Papaya
