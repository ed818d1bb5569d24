#include "process/ledger.h"

#include "base/codec.h"
#include "base/digest.h"
#include "base/objectreader.h"

#include <algorithm>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t ENDED_KEPT_MS = 24LL * 3'600'000; // callers can ask for an outcome this long

constexpr LedgerVerdict COUNTS {true, ""};
constexpr LedgerVerdict STALE {false, "not from the planner of this epoch"};
constexpr LedgerVerdict NO_ATTEMPT {false, "not the attempt in progress"};

const std::vector<std::string_view> STATE_NAMES {"queued",    "preparing", "running",   "preempted",
                                                 "succeeded", "failed",    "cancelled", "unschedulable"};

template<typename Id>
Json toTexts(const std::vector<Id> &ids)
{
    Json list = Json::array();
    for (const Id &id : ids) {
        list.push_back(id.value());
    }
    return list;
}

} // namespace

const char *toString(JobState state)
{
    return STATE_NAMES[static_cast<std::size_t>(state)].data();
}

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
    m_entries[record.job].order = m_nextOrder;
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
    m_active.erase({m_entries.at(job.spec.job).order, job.spec.job});
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
        m_entries.erase(id);
        m_ended.erase(m_ended.begin());
    }
}

namespace
{

Json jobToJson(const Job &job, std::uint64_t order)
{
    std::vector<WorkerId> culprits(job.culprits.begin(), job.culprits.end());
    return {{"spec", toJsonValue(JournalRecord(job.spec))},
            {"order", order},
            {"state", toString(job.state)},
            {"submittedMs", job.submittedMs},
            {"startedMs", job.startedMs},
            {"endedMs", job.endedMs},
            {"attempt", job.attempt},
            {"workers", toTexts(job.workers)},
            {"committed", job.committed},
            {"guaranteed", job.guaranteed},
            {"cancelRequested", job.cancelRequested},
            {"checkpoints", job.checkpoints},
            {"culprits", toTexts(culprits)},
            {"failures", job.failures},
            {"preemptions", job.preemptions},
            {"reason", job.reason}};
}

template<typename Id>
std::vector<Id> readTexts(ObjectReader &reader, const char *key)
{
    std::vector<Id> ids;
    const Json *list = reader.array(key, Presence::Required);
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
        if ((*list)[i].is_string()) {
            ids.push_back(Id((*list)[i].get<std::string>()));
        } else {
            reader.report("wrong-type", "must hold strings", key);
        }
    }
    return ids;
}

std::uint32_t readCount(ObjectReader &reader, const char *key)
{
    return static_cast<std::uint32_t>(reader.integer(key, 0, INT32_MAX, Presence::Required).value_or(0));
}

std::int64_t readTime(ObjectReader &reader, const char *key)
{
    return reader.integer(key, 0, INT64_MAX, Presence::Required).value_or(0);
}

Job readJob(ObjectReader &reader, Errors &errors)
{
    Job job;
    if (const Json *spec = reader.object("spec", Presence::Required)) {
        auto record = parseJournalRecord(*spec);
        if (record && std::holds_alternative<JobSubmitted>(*record)) {
            job.spec = std::get<JobSubmitted>(std::move(*record));
        } else {
            errors.push_back({"malformed", "is not a submission", reader.pathOf("spec")});
        }
    }
    job.state = static_cast<JobState>(reader.oneOf("state", STATE_NAMES, Presence::Required).value_or(0));
    job.submittedMs = readTime(reader, "submittedMs");
    job.startedMs = readTime(reader, "startedMs");
    job.endedMs = readTime(reader, "endedMs");
    job.attempt = readCount(reader, "attempt");
    job.workers = readTexts<WorkerId>(reader, "workers");
    job.committed = reader.boolean("committed", Presence::Required).value_or(false);
    job.guaranteed = reader.boolean("guaranteed", Presence::Required).value_or(false);
    job.cancelRequested = reader.boolean("cancelRequested", Presence::Required).value_or(false);
    job.checkpoints = readTexts<std::string>(reader, "checkpoints");
    for (WorkerId &culprit : readTexts<WorkerId>(reader, "culprits")) {
        job.culprits.insert(std::move(culprit));
    }
    job.failures = readCount(reader, "failures");
    job.preemptions = readCount(reader, "preemptions");
    job.reason = reader.text("reason", Presence::Required).value_or("");
    return job;
}

PlannerRole readPlanner(const Json &value, Errors &errors)
{
    ObjectReader reader(value, "planner", errors);
    PlannerRole role;
    role.epoch = Epoch(static_cast<std::uint64_t>(readTime(reader, "epoch")));
    role.holder = InstanceId(reader.text("holder", Presence::Required).value_or(""));
    role.incarnation = Incarnation(static_cast<std::uint64_t>(readTime(reader, "incarnation")));
    role.address = reader.text("address", Presence::Required).value_or("");
    role.lastBeatMs = readTime(reader, "lastBeatMs");
    role.resigned = reader.boolean("resigned", Presence::Required).value_or(false);
    return role;
}

} // namespace

Json Ledger::toJsonValue() const
{
    Json jobs = Json::array();
    for (const auto &[id, job] : m_jobs) {
        jobs.push_back(jobToJson(job, m_entries.at(id).order));
    }
    Json standings = Json::object();
    for (const auto &[worker, standing] : m_standings) {
        standings[worker.value()] = toString(standing);
    }
    return {{"jobs", std::move(jobs)},
            {"standings", std::move(standings)},
            {"nextOrder", m_nextOrder},
            {"planner",
             {{"epoch", m_planner.epoch.value()},
              {"holder", m_planner.holder.value()},
              {"incarnation", m_planner.incarnation.value()},
              {"address", m_planner.address},
              {"lastBeatMs", m_planner.lastBeatMs},
              {"resigned", m_planner.resigned}}}};
}

Result<Ledger> Ledger::fromJson(const Json &value)
{
    Errors errors;
    Ledger ledger;
    ObjectReader reader(value, "", errors);
    const Json *jobs = reader.array("jobs", Presence::Required);
    for (std::size_t i = 0; jobs != nullptr && i < jobs->size(); ++i) {
        ObjectReader fields((*jobs)[i], "jobs[" + std::to_string(i) + "]", errors);
        Job job = readJob(fields, errors);
        const auto order = static_cast<std::uint64_t>(readTime(fields, "order"));
        const JobId id = job.spec.job;
        ledger.m_entries[id].order = order;
        if (isFinal(job.state)) {
            ledger.m_ended.emplace(job.endedMs, id);
        } else {
            ledger.m_active.emplace(order, id);
        }
        if (!job.spec.key.empty()) {
            ledger.m_keys.emplace(std::pair(job.spec.team, job.spec.key), id);
        }
        ledger.m_jobs.emplace(id, std::move(job));
    }
    if (const Json *standings = reader.object("standings", Presence::Required)) {
        ObjectReader fields(*standings, "standings", errors);
        for (const auto &[worker, standing] : standings->items()) {
            const auto index = fields.oneOf(worker.c_str(), {"good", "quarantined", "draining"}, Presence::Required);
            ledger.m_standings[WorkerId(worker)] = static_cast<Standing>(index.value_or(0));
        }
    }
    ledger.m_nextOrder = static_cast<std::uint64_t>(readTime(reader, "nextOrder"));
    if (const Json *planner = reader.object("planner", Presence::Required)) {
        ledger.m_planner = readPlanner(*planner, errors);
    }
    if (!errors.empty()) {
        return errors;
    }
    return ledger;
}

std::string Ledger::digest() const
{
    return sha256Hex(toCbor(toJsonValue()));
}

} // namespace Papaya
