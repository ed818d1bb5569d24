#include "process/ledger.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t ENDED_JOB_RETENTION_MS = 24LL * 3'600'000; // callers can query the outcome this long

constexpr ApplyResult ACCEPTED {true, ""};
constexpr ApplyResult NOT_CURRENT_PLANNER {false, "not written by the current planner in its epoch"};
constexpr ApplyResult NOT_CURRENT_ATTEMPT {false,
                                           "not the current attempt of the job, or not written by the current planner"};

} // namespace

ApplyResult Ledger::apply(const JournalRecord &record, const RecordOrigin &origin)
{
    const ApplyResult result = std::visit([&](const auto &typed) { return applyRecord(typed, origin); }, record);
    m_revision += result.accepted && !std::holds_alternative<PlannerHeartbeat>(record) ? 1 : 0;
    return result;
}

const Job *Ledger::job(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Job *Ledger::jobByKey(const TeamName &team, const std::string &key) const
{
    const auto found = m_jobsByKey.find({team, key});
    return found == m_jobsByKey.end() ? nullptr : job(found->second);
}

std::size_t Ledger::waitingJobs(const TeamName &team) const
{
    const auto isWaiting = [&](const auto &entry) {
        const Job &job = m_jobs.at(entry.second);
        return job.spec.team == team && !job.placed();
    };
    return static_cast<std::size_t>(std::count_if(m_active.begin(), m_active.end(), isWaiting));
}

Standing Ledger::standing(const WorkerId &worker) const
{
    const auto found = m_standings.find(worker);
    return found == m_standings.end() ? Standing::Good : found->second;
}

bool Ledger::isFromPlanner(Epoch epoch, const RecordOrigin &origin) const
{
    return epoch == m_planner.epoch && origin.writer == m_planner.holder && origin.incarnation == m_planner.incarnation;
}

Job *Ledger::attemptInProgress(Epoch epoch, const JobId &id, std::uint32_t attempt, const RecordOrigin &origin)
{
    if (!isFromPlanner(epoch, origin)) {
        return nullptr;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.attempt != attempt
        || !found->second.placed()) {
        return nullptr;
    }
    return &found->second;
}

ApplyResult Ledger::applyRecord(const JobSubmitted &record, const RecordOrigin &origin)
{
    if (m_jobs.contains(record.job)) {
        return {false, "a job with this id exists"};
    }
    if (!record.key.empty() && !m_jobsByKey.emplace(std::pair(record.team, record.key), record.job).second) {
        return {false, "the team has a job with this idempotency key"};
    }
    Job job;
    job.spec = record;
    job.submittedMs = origin.timeMs;
    m_jobs.emplace(record.job, std::move(job));
    m_submissionNumbers[record.job] = m_nextSubmissionNumber;
    m_active.emplace(m_nextSubmissionNumber++, record.job);
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const CancelRequested &record, const RecordOrigin &origin)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state)) {
        return {false, "job is unknown or has ended"};
    }
    Job &job = found->second;
    job.cancelRequested = true;
    // A job without workers ends at once. If it is placed, the planner stops its parts first.
    if (!job.placed()) {
        endJob(job, JobState::Cancelled, "cancelled before it ran", origin.timeMs);
    }
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const PlannerClaim &record, const RecordOrigin &origin)
{
    if (record.epoch.value() != m_planner.epoch.value() + 1) {
        return {false, "claimed epoch does not follow the current one"};
    }
    m_planner = {record.epoch, origin.writer, origin.incarnation, record.address, origin.timeMs, false};
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const PlannerHeartbeat &record, const RecordOrigin &origin)
{
    if (!isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    m_planner.lastHeartbeatMs = origin.timeMs;
    evictEndedJobs(origin.timeMs);
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const PlannerResigned &record, const RecordOrigin &origin)
{
    if (!isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    m_planner.resigned = true;
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Placed &record, const RecordOrigin &origin)
{
    if (!isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.placed()) {
        return {false, "job is not waiting for workers"};
    }
    Job &job = found->second;
    if (record.attempt != job.attempt + 1 || record.workers.size() != job.spec.shape.parts) {
        return {false, "attempt is not the job's next, or number of workers differs from its number of parts"};
    }
    job.attempt = record.attempt;
    job.workers = record.workers;
    job.guaranteed = record.guaranteed;
    job.committed = false;
    job.state = JobState::Preparing;
    job.reason.clear();
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Committed &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr || job->committed) {
        return NOT_CURRENT_ATTEMPT;
    }
    job->committed = true;
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Started &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr || !job->committed) {
        return NOT_CURRENT_ATTEMPT;
    }
    job->state = JobState::Running;
    job->startedMs = origin.timeMs;
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Released &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr) {
        return NOT_CURRENT_ATTEMPT;
    }
    const bool hasCheckpoint = std::any_of(record.checkpoints.begin(), record.checkpoints.end(),
                                           [](const std::string &checkpoint) { return !checkpoint.empty(); });
    if (hasCheckpoint) {
        job->checkpoints = record.checkpoints;
    }
    if (!record.failedWorker.value().empty()) {
        job->failedWorkers.insert(record.failedWorker);
    }
    if (record.reason == ReleaseReason::PartFailed) {
        ++job->failures;
    }
    const bool wasRunning = job->state == JobState::Running;
    if (wasRunning) {
        ++job->preemptions;
    }
    job->workers.clear();
    job->committed = false;
    job->guaranteed = false;
    job->state = wasRunning ? JobState::Preempted : JobState::Queued;
    job->reason = toString(record.reason);
    if (job->cancelRequested) {
        endJob(*job, JobState::Cancelled, "cancelled", origin.timeMs);
    }
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Finished &record, const RecordOrigin &origin)
{
    if (!isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.attempt != record.attempt) {
        return NOT_CURRENT_ATTEMPT;
    }
    constexpr std::array<JobState, 3> STATE_OF_OUTCOME {JobState::Succeeded, JobState::Failed, JobState::Cancelled};
    endJob(found->second, STATE_OF_OUTCOME[static_cast<std::size_t>(record.outcome)], record.reason, origin.timeMs);
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const Feasibility &record, const RecordOrigin &origin)
{
    if (!isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.placed()) {
        return {false, "job is not waiting for workers"};
    }
    Job &job = found->second;
    const JobState waitingState = job.preemptions > 0 ? JobState::Preempted : JobState::Queued;
    job.state = record.fits ? waitingState : JobState::Unschedulable;
    job.reason = record.reason;
    return ACCEPTED;
}

ApplyResult Ledger::applyRecord(const WorkerStanding &record, const RecordOrigin &origin)
{
    // Any instance may record that an operator drains or undrains a worker; only the planner may quarantine one.
    const bool byOperator = record.epoch == Epoch(0) && record.standing != Standing::Quarantined;
    if (!byOperator && !isFromPlanner(record.epoch, origin)) {
        return NOT_CURRENT_PLANNER;
    }
    if (!byOperator && standing(record.worker) == Standing::Draining) {
        return {false, "an operator is draining the worker"};
    }
    if (record.standing == Standing::Good) {
        m_standings.erase(record.worker);
    } else {
        m_standings[record.worker] = record.standing;
    }
    return ACCEPTED;
}

void Ledger::endJob(Job &job, JobState state, std::string reason, std::int64_t timeMs)
{
    job.state = state;
    job.reason = std::move(reason);
    job.endedMs = timeMs;
    job.workers.clear();
    job.committed = false;
    m_active.erase({m_submissionNumbers.at(job.spec.job), job.spec.job});
    m_ended.emplace(timeMs, job.spec.job);
}

void Ledger::evictEndedJobs(std::int64_t nowMs)
{
    while (!m_ended.empty() && m_ended.begin()->first < nowMs - ENDED_JOB_RETENTION_MS) {
        const JobId id = m_ended.begin()->second;
        const Job &job = m_jobs.at(id);
        if (!job.spec.key.empty()) {
            m_jobsByKey.erase({job.spec.team, job.spec.key});
        }
        m_jobs.erase(id);
        m_submissionNumbers.erase(id);
        m_ended.erase(m_ended.begin());
    }
}

} // namespace Papaya
