#include "process/journalrecord.h"

#include "base/objectreader.h"

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t MAX_DURATION_MS = 365LL * 24 * 3'600'000;

const std::vector<std::string_view> TYPE_NAMES {"submitted", "cancel",  "claim",    "beat",     "resigned", "placed",
                                                "committed", "started", "released", "finished", "fitness",  "standing"};
const std::vector<std::string_view> RELEASE_REASON_NAMES {"prepare-failed", "start-failed", "part-lost",
                                                          "part-failed",    "preempted",    "moved"};
const std::vector<std::string_view> OUTCOME_NAMES {"succeeded", "failed", "cancelled"};
const std::vector<std::string_view> STANDING_NAMES {"good", "quarantined", "draining"};

template<typename E>
std::int64_t toInteger(E value)
{
    return static_cast<std::int64_t>(value);
}

/** Serializes the fields of each record type; toJsonValue() adds the type under the key "t". */
class RecordWriter
{
public:
    Json operator()(const JobSubmitted &r) const
    {
        return {{"job", r.job.value()},
                {"team", r.team.value()},
                {"caller", r.caller.value()},
                {"template", r.templateName.value()},
                {"parameters", r.parametersJson},
                {"urgency", toInteger(r.urgency)},
                {"restart", toInteger(r.restart)},
                {"shape", toJsonValue(r.shape)},
                {"runMs", r.run.count()},
                {"deadlineMs", r.deadline.count()},
                {"key", r.key},
                {"digest", r.bodyDigest}};
    }
    Json operator()(const CancelRequested &r) const
    {
        return {{"job", r.job.value()}};
    }
    Json operator()(const PlannerClaim &r) const
    {
        return {{"epoch", r.epoch.value()}, {"address", r.address}};
    }
    Json operator()(const PlannerHeartbeat &r) const
    {
        return {{"epoch", r.epoch.value()}};
    }
    Json operator()(const PlannerResigned &r) const
    {
        return {{"epoch", r.epoch.value()}};
    }
    Json operator()(const Placed &r) const
    {
        Json workers = Json::array();
        for (const WorkerId &worker : r.workers) {
            workers.push_back(worker.value());
        }
        Json value = attemptFields(r);
        value["workers"] = std::move(workers);
        value["guaranteed"] = r.guaranteed;
        return value;
    }
    Json operator()(const Committed &r) const
    {
        return attemptFields(r);
    }
    Json operator()(const Started &r) const
    {
        return attemptFields(r);
    }
    Json operator()(const Released &r) const
    {
        Json value = attemptFields(r);
        value["reason"] = RELEASE_REASON_NAMES[static_cast<std::size_t>(r.reason)];
        value["checkpoints"] = r.checkpoints;
        value["culprit"] = r.failedWorker.value();
        return value;
    }
    Json operator()(const Finished &r) const
    {
        Json value = attemptFields(r);
        value["outcome"] = OUTCOME_NAMES[static_cast<std::size_t>(r.outcome)];
        value["reason"] = r.reason;
        return value;
    }
    Json operator()(const Feasibility &r) const
    {
        return {{"epoch", r.epoch.value()}, {"job", r.job.value()}, {"fits", r.fits}, {"reason", r.reason}};
    }
    Json operator()(const WorkerStanding &r) const
    {
        return {{"epoch", r.epoch.value()},
                {"worker", r.worker.value()},
                {"standing", STANDING_NAMES[static_cast<std::size_t>(r.standing)]}};
    }

private:
    template<typename R>
    static Json attemptFields(const R &r)
    {
        return {{"epoch", r.epoch.value()}, {"job", r.job.value()}, {"attempt", r.attempt}};
    }
};

/** Reads the fields of a record and collects errors. */
class Fields
{
public:
    Fields(const Json &value, Errors &errors)
        : m_reader(value, "", errors)
        , m_errors(errors)
    {
    }

    ObjectReader &reader()
    {
        return m_reader;
    }
    /** @return the text; an empty one stands for an absent optional id. */
    std::string text(const char *key)
    {
        return m_reader.text(key, Presence::Required).value_or("");
    }
    JobId job()
    {
        return JobId(text("job"));
    }
    Epoch epoch()
    {
        return Epoch(
            static_cast<std::uint64_t>(m_reader.integer("epoch", 0, INT64_MAX, Presence::Required).value_or(0)));
    }
    std::uint32_t attempt()
    {
        return static_cast<std::uint32_t>(m_reader.integer("attempt", 0, INT32_MAX, Presence::Required).value_or(0));
    }
    template<typename E>
    E enumByName(const char *key, const std::vector<std::string_view> &names)
    {
        return static_cast<E>(m_reader.oneOf(key, names, Presence::Required).value_or(0));
    }
    template<typename E>
    E enumByIndex(const char *key, std::int64_t count)
    {
        return static_cast<E>(m_reader.integer(key, 0, count - 1, Presence::Required).value_or(0));
    }
    Millis millis(const char *key)
    {
        return Millis(m_reader.integer(key, 0, MAX_DURATION_MS, Presence::Required).value_or(0));
    }
    std::vector<std::string> strings(const char *key)
    {
        std::vector<std::string> list;
        const Json *array = m_reader.array(key, Presence::Required);
        for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
            if ((*array)[i].is_string()) {
                list.push_back((*array)[i].get<std::string>());
            } else {
                m_reader.report("wrong-type", "must contain only strings", key);
            }
        }
        return list;
    }
    Shape shape()
    {
        const Json *value = m_reader.object("shape", Presence::Required);
        return value == nullptr ? Shape {} : readShape(*value, "shape", m_errors).value_or(Shape {});
    }

private:
    ObjectReader m_reader;
    Errors &m_errors;
};

JobSubmitted readSubmitted(Fields &f)
{
    JobSubmitted r;
    r.job = f.job();
    r.team = TeamName(f.text("team"));
    r.caller = CallerName(f.text("caller"));
    r.templateName = TemplateName(f.text("template"));
    r.parametersJson = f.text("parameters");
    r.urgency = f.enumByIndex<Urgency>("urgency", URGENCY_COUNT);
    r.restart = f.enumByIndex<RestartRule>("restart", 3);
    r.shape = f.shape();
    r.run = f.millis("runMs");
    r.deadline = f.millis("deadlineMs");
    r.key = f.text("key");
    r.bodyDigest = f.text("digest");
    return r;
}

template<typename R>
R readAttemptRecord(Fields &f)
{
    R r;
    r.epoch = f.epoch();
    r.job = f.job();
    r.attempt = f.attempt();
    return r;
}

Placed readPlaced(Fields &f)
{
    auto r = readAttemptRecord<Placed>(f);
    for (std::string &worker : f.strings("workers")) {
        r.workers.emplace_back(std::move(worker));
    }
    r.guaranteed = f.reader().boolean("guaranteed", Presence::Required).value_or(false);
    return r;
}

Released readReleased(Fields &f)
{
    auto r = readAttemptRecord<Released>(f);
    r.reason = f.enumByName<ReleaseReason>("reason", RELEASE_REASON_NAMES);
    r.checkpoints = f.strings("checkpoints");
    r.failedWorker = WorkerId(f.text("culprit"));
    return r;
}

Finished readFinished(Fields &f)
{
    auto r = readAttemptRecord<Finished>(f);
    r.outcome = f.enumByName<JobOutcome>("outcome", OUTCOME_NAMES);
    r.reason = f.text("reason");
    return r;
}

Feasibility readFeasibility(Fields &f)
{
    Feasibility r;
    r.epoch = f.epoch();
    r.job = f.job();
    r.fits = f.reader().boolean("fits", Presence::Required).value_or(true);
    r.reason = f.text("reason");
    return r;
}

WorkerStanding readStanding(Fields &f)
{
    WorkerStanding r;
    r.epoch = f.epoch();
    r.worker = WorkerId(f.text("worker"));
    r.standing = f.enumByName<Standing>("standing", STANDING_NAMES);
    return r;
}

JournalRecord readRecord(std::size_t type, Fields &f)
{
    switch (type) {
    case 0:
        return readSubmitted(f);
    case 1:
        return CancelRequested {f.job()};
    case 2:
        return PlannerClaim {f.epoch(), f.text("address")};
    case 3:
        return PlannerHeartbeat {f.epoch()};
    case 4:
        return PlannerResigned {f.epoch()};
    case 5:
        return readPlaced(f);
    case 6:
        return readAttemptRecord<Committed>(f);
    case 7:
        return readAttemptRecord<Started>(f);
    case 8:
        return readReleased(f);
    case 9:
        return readFinished(f);
    case 10:
        return readFeasibility(f);
    default:
        return readStanding(f);
    }
}

} // namespace

Json toJsonValue(const JournalRecord &record)
{
    Json value = std::visit(RecordWriter {}, record);
    value["t"] = TYPE_NAMES[record.index()];
    return value;
}

Result<JournalRecord> parseJournalRecord(const Json &value)
{
    Errors errors;
    Fields fields(value, errors);
    const auto type = fields.reader().oneOf("t", TYPE_NAMES, Presence::Required);
    if (!type) {
        return errors;
    }
    JournalRecord record = readRecord(*type, fields);
    if (!errors.empty()) {
        return errors;
    }
    return record;
}

const char *toString(ReleaseReason reason)
{
    return RELEASE_REASON_NAMES[static_cast<std::size_t>(reason)].data();
}

const char *toString(JobOutcome outcome)
{
    return OUTCOME_NAMES[static_cast<std::size_t>(outcome)].data();
}

const char *toString(Standing standing)
{
    return STANDING_NAMES[static_cast<std::size_t>(standing)].data();
}

} // namespace Papaya
