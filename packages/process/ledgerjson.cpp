#include "process/ledger.h"

#include "base/codec.h"
#include "base/digest.h"
#include "base/objectreader.h"

// Serializes the complete ledger as JSON, for snapshots and digests. Each job is stored as a CBOR byte string, because
// a document with the fields of all jobs takes ten times the memory.

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

const std::vector<std::string_view> STATE_NAMES {"queued",    "preparing", "running",   "preempted",
                                                 "succeeded", "failed",    "cancelled", "unschedulable"};

template<typename Id>
Json toStrings(const std::vector<Id> &ids)
{
    Json list = Json::array();
    for (const Id &id : ids) {
        list.push_back(id.value());
    }
    return list;
}

Json jobToJson(const Job &job, std::uint64_t order)
{
    std::vector<WorkerId> failedWorkers(job.failedWorkers.begin(), job.failedWorkers.end());
    return {{"spec", toJsonValue(JournalRecord(job.spec))},
            {"order", order},
            {"state", toString(job.state)},
            {"submittedMs", job.submittedMs},
            {"startedMs", job.startedMs},
            {"endedMs", job.endedMs},
            {"attempt", job.attempt},
            {"workers", toStrings(job.workers)},
            {"committed", job.committed},
            {"guaranteed", job.guaranteed},
            {"cancelRequested", job.cancelRequested},
            {"checkpoints", job.checkpoints},
            {"culprits", toStrings(failedWorkers)},
            {"failures", job.failures},
            {"preemptions", job.preemptions},
            {"reason", job.reason}};
}

template<typename Id>
std::vector<Id> readStrings(ObjectReader &reader, const char *key)
{
    std::vector<Id> ids;
    const Json *list = reader.array(key, Presence::Required);
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
        if ((*list)[i].is_string()) {
            ids.push_back(Id((*list)[i].get<std::string>()));
        } else {
            reader.report("wrong-type", "must contain only strings", key);
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
            errors.push_back({"malformed", "must be a record of type 'submitted'", reader.pathOf("spec")});
        }
    }
    job.state = static_cast<JobState>(reader.oneOf("state", STATE_NAMES, Presence::Required).value_or(0));
    job.submittedMs = readTime(reader, "submittedMs");
    job.startedMs = readTime(reader, "startedMs");
    job.endedMs = readTime(reader, "endedMs");
    job.attempt = readCount(reader, "attempt");
    job.workers = readStrings<WorkerId>(reader, "workers");
    job.committed = reader.boolean("committed", Presence::Required).value_or(false);
    job.guaranteed = reader.boolean("guaranteed", Presence::Required).value_or(false);
    job.cancelRequested = reader.boolean("cancelRequested", Presence::Required).value_or(false);
    job.checkpoints = readStrings<std::string>(reader, "checkpoints");
    for (WorkerId &failedWorker : readStrings<WorkerId>(reader, "culprits")) {
        job.failedWorkers.insert(std::move(failedWorker));
    }
    job.failures = readCount(reader, "failures");
    job.preemptions = readCount(reader, "preemptions");
    job.reason = reader.text("reason", Presence::Required).value_or("");
    return job;
}

Result<Json> parseJob(const Json &element, const std::string &path)
{
    if (!element.is_binary()) {
        return Error {"wrong-type", "must be a byte string", path};
    }
    const auto &bytes = element.get_binary();
    return parseCbor({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

PlannerRole readPlanner(const Json &value, Errors &errors)
{
    ObjectReader reader(value, "planner", errors);
    PlannerRole role;
    role.epoch = Epoch(static_cast<std::uint64_t>(readTime(reader, "epoch")));
    role.holder = InstanceId(reader.text("holder", Presence::Required).value_or(""));
    role.incarnation = Incarnation(static_cast<std::uint64_t>(readTime(reader, "incarnation")));
    role.address = reader.text("address", Presence::Required).value_or("");
    role.lastHeartbeatMs = readTime(reader, "lastBeatMs");
    role.resigned = reader.boolean("resigned", Presence::Required).value_or(false);
    return role;
}

} // namespace

const char *toString(JobState state)
{
    return STATE_NAMES[static_cast<std::size_t>(state)].data();
}

Json Ledger::toJsonValue() const
{
    Json jobs = Json::array();
    for (const auto &[id, job] : m_jobs) {
        const std::string bytes = toCbor(jobToJson(job, m_submissionNumbers.at(id)));
        jobs.push_back(Json::binary({bytes.begin(), bytes.end()}));
    }
    Json standings = Json::object();
    for (const auto &[worker, standing] : m_standings) {
        standings[worker.value()] = toString(standing);
    }
    return {{"jobs", std::move(jobs)},
            {"standings", std::move(standings)},
            {"nextOrder", m_nextSubmissionNumber},
            {"planner",
             {{"epoch", m_planner.epoch.value()},
              {"holder", m_planner.holder.value()},
              {"incarnation", m_planner.incarnation.value()},
              {"address", m_planner.address},
              {"lastBeatMs", m_planner.lastHeartbeatMs},
              {"resigned", m_planner.resigned}}}};
}

Result<Ledger> Ledger::fromJson(const Json &value)
{
    Errors errors;
    Ledger ledger;
    ObjectReader reader(value, "", errors);
    const Json *jobs = reader.array("jobs", Presence::Required);
    for (std::size_t i = 0; jobs != nullptr && i < jobs->size(); ++i) {
        const std::string path = "jobs[" + std::to_string(i) + "]";
        const auto document = parseJob((*jobs)[i], path);
        if (!document) {
            return document.errors();
        }
        ObjectReader fields(*document, path, errors);
        Job job = readJob(fields, errors);
        const auto order = static_cast<std::uint64_t>(readTime(fields, "order"));
        const JobId id = job.spec.job;
        ledger.m_submissionNumbers[id] = order;
        if (isFinal(job.state)) {
            ledger.m_ended.emplace(job.endedMs, id);
        } else {
            ledger.m_active.emplace(order, id);
        }
        if (!job.spec.key.empty()) {
            ledger.m_jobsByKey.emplace(std::pair(job.spec.team, job.spec.key), id);
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
    ledger.m_nextSubmissionNumber = static_cast<std::uint64_t>(readTime(reader, "nextOrder"));
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
