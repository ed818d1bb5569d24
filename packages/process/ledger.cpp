#include "process/ledger.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t ENDED_KEPT_MS = 24LL * 3'600'000; // callers can ask for an outcome this long

constexpr LedgerVerdict COUNTS {true, ""};
constexpr LedgerVerdict STALE {false, "not from the planner of this epoch"};
constexpr LedgerVerdict NO_ATTEMPT {false, "not the attempt in progress"};

} // namespace

LedgerVerdict Ledger::apply(const JournalRecord &record, const RecordOrigin &origin)
{
    const LedgerVerdict verdict = std::visit([&](const auto &typed) { return on(typed, origin); }, record);
    m_revision += verdict.counts && !std::holds_alternative<PlannerBeat>(record) ? 1 : 0;
    return verdict;
}

const Job *Ledger::job(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Job *Ledger::jobByKey(const TeamName &team, const std::string &key) const
{
    const auto found = m_keys.find({team, key});
    return found == m_keys.end() ? nullptr : job(found->second);
}

std::size_t Ledger::waitingJobs(const TeamName &team) const
{
    const auto waits = [&](const auto &entry) {
        const Job &job = m_jobs.at(entry.second);
        return job.spec.team == team && !job.placed();
    };
    return static_cast<std::size_t>(std::count_if(m_active.begin(), m_active.end(), waits));
}

Standing Ledger::standing(const WorkerId &worker) const
{
    const auto found = m_standings.find(worker);
    return found == m_standings.end() ? Standing::Good : found->second;
}

bool Ledger::fromPlanner(Epoch epoch, const RecordOrigin &origin) const
{
    return epoch == m_planner.epoch && origin.writer == m_planner.holder && origin.incarnation == m_planner.incarnation;
}

Job *Ledger::attemptInProgress(Epoch epoch, const JobId &id, std::uint32_t attempt, const RecordOrigin &origin)
{
    if (!fromPlanner(epoch, origin)) {
        return nullptr;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.attempt != attempt
        || !found->second.placed()) {
        return nullptr;
    }
    return &found->second;
}

LedgerVerdict Ledger::on(const JobSubmitted &record, const RecordOrigin &origin)
{
    if (m_jobs.contains(record.job)) {
        return {false, "job id exists"};
    }
    if (!record.key.empty() && !m_keys.emplace(std::pair(record.team, record.key), record.job).second) {
        return {false, "idempotency key exists"};
    }
    Job job;
    job.spec = record;
    job.submittedMs = origin.timeMs;
    m_jobs.emplace(record.job, std::move(job));
    m_orders[record.job] = m_nextOrder;
    m_active.emplace(m_nextOrder++, record.job);
    return COUNTS;
}

LedgerVerdict Ledger::on(const CancelRequested &record, const RecordOrigin &origin)
{
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state)) {
        return {false, "no such job in progress"};
    }
    Job &job = found->second;
    job.cancelRequested = true;
    // A job that holds no workers ends here; for any other the planner stops the parts first.
    if (!job.placed()) {
        end(job, JobState::Cancelled, "cancelled before it ran", origin.timeMs);
    }
    return COUNTS;
}

LedgerVerdict Ledger::on(const PlannerClaim &record, const RecordOrigin &origin)
{
    if (record.epoch.value() != m_planner.epoch.value() + 1) {
        return {false, "another claim came first"};
    }
    m_planner = {record.epoch, origin.writer, origin.incarnation, record.address, origin.timeMs, false};
    return COUNTS;
}

LedgerVerdict Ledger::on(const PlannerBeat &record, const RecordOrigin &origin)
{
    if (!fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    m_planner.lastBeatMs = origin.timeMs;
    forgetEnded(origin.timeMs);
    return COUNTS;
}

LedgerVerdict Ledger::on(const PlannerResigned &record, const RecordOrigin &origin)
{
    if (!fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    m_planner.resigned = true;
    return COUNTS;
}

LedgerVerdict Ledger::on(const Placed &record, const RecordOrigin &origin)
{
    if (!fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.placed()) {
        return {false, "job does not wait"};
    }
    Job &job = found->second;
    if (record.attempt != job.attempt + 1 || record.workers.size() != job.spec.shape.parts) {
        return {false, "placement does not fit the job"};
    }
    job.attempt = record.attempt;
    job.workers = record.workers;
    job.guaranteed = record.guaranteed;
    job.committed = false;
    job.state = JobState::Preparing;
    job.reason.clear();
    return COUNTS;
}

LedgerVerdict Ledger::on(const Committed &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr || job->committed) {
        return NO_ATTEMPT;
    }
    job->committed = true;
    return COUNTS;
}

LedgerVerdict Ledger::on(const Started &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr || !job->committed) {
        return NO_ATTEMPT;
    }
    job->state = JobState::Running;
    job->startedMs = origin.timeMs;
    return COUNTS;
}

LedgerVerdict Ledger::on(const Released &record, const RecordOrigin &origin)
{
    Job *job = attemptInProgress(record.epoch, record.job, record.attempt, origin);
    if (job == nullptr) {
        return NO_ATTEMPT;
    }
    const bool hasCheckpoint = std::any_of(record.checkpoints.begin(), record.checkpoints.end(),
                                           [](const std::string &checkpoint) { return !checkpoint.empty(); });
    if (hasCheckpoint) {
        job->checkpoints = record.checkpoints;
    }
    if (!record.culprit.value().empty()) {
        job->culprits.insert(record.culprit);
    }
    if (record.reason == ReleaseReason::PartFailed) {
        ++job->failures;
    }
    const bool hadRun = job->state == JobState::Running;
    if (hadRun) {
        ++job->preemptions;
    }
    job->workers.clear();
    job->committed = false;
    job->guaranteed = false;
    job->state = hadRun ? JobState::Preempted : JobState::Queued;
    job->reason = toString(record.reason);
    if (job->cancelRequested) {
        end(*job, JobState::Cancelled, "cancelled", origin.timeMs);
    }
    return COUNTS;
}

LedgerVerdict Ledger::on(const Finished &record, const RecordOrigin &origin)
{
    if (!fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.attempt != record.attempt) {
        return NO_ATTEMPT;
    }
    constexpr std::array<JobState, 3> STATES {JobState::Succeeded, JobState::Failed, JobState::Cancelled};
    end(found->second, STATES[static_cast<std::size_t>(record.outcome)], record.reason, origin.timeMs);
    return COUNTS;
}

LedgerVerdict Ledger::on(const Fitness &record, const RecordOrigin &origin)
{
    if (!fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    const auto found = m_jobs.find(record.job);
    if (found == m_jobs.end() || isFinal(found->second.state) || found->second.placed()) {
        return {false, "job does not wait"};
    }
    Job &job = found->second;
    const JobState waiting = job.preemptions > 0 ? JobState::Preempted : JobState::Queued;
    job.state = record.fits ? waiting : JobState::Unschedulable;
    job.reason = record.reason;
    return COUNTS;
}

LedgerVerdict Ledger::on(const WorkerStanding &record, const RecordOrigin &origin)
{
    // Operators drain workers and take them back through any instance; only the planner puts one in quarantine.
    const bool byOperator = record.epoch == Epoch(0) && record.standing != Standing::Quarantined;
    if (!byOperator && !fromPlanner(record.epoch, origin)) {
        return STALE;
    }
    if (!byOperator && standing(record.worker) == Standing::Draining) {
        return {false, "an operator is draining the worker"};
    }
    if (record.standing == Standing::Good) {
        m_standings.erase(record.worker);
    } else {
        m_standings[record.worker] = record.standing;
    }
    return COUNTS;
}

void Ledger::end(Job &job, JobState state, std::string reason, std::int64_t timeMs)
{
    job.state = state;
    job.reason = std::move(reason);
    job.endedMs = timeMs;
    job.workers.clear();
    job.committed = false;
    m_active.erase({m_orders.at(job.spec.job), job.spec.job});
    m_ended.emplace(timeMs, job.spec.job);
}

void Ledger::forgetEnded(std::int64_t nowMs)
{
    while (!m_ended.empty() && m_ended.begin()->first < nowMs - ENDED_KEPT_MS) {
        const JobId id = m_ended.begin()->second;
        const Job &job = m_jobs.at(id);
        if (!job.spec.key.empty()) {
            m_keys.erase({job.spec.team, job.spec.key});
        }
        m_jobs.erase(id);
        m_orders.erase(id);
        m_ended.erase(m_ended.begin());
    }
}

} // namespace Papaya
