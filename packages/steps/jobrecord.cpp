#include "steps/jobrecord.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view JOB_PREFIX = "j/";
constexpr std::string_view CANCEL_PREFIX = "x/";
constexpr std::string_view UNIT_PREFIX = "u/";
constexpr std::string_view WAVE_PREFIX = "w/";
constexpr std::string_view SILENCE_PREFIX = "s/";
constexpr std::string_view PLANNER_KEY = "q";
constexpr std::string_view CONFIG_KEY = "c";
constexpr std::string_view EVACUATIONS_KEY = "e";
constexpr char FIELD_SEPARATOR = ' ';
constexpr char SPELL_MARK = 'n'; // precedes MinionSilence::spell
constexpr char ESCAPE = '%';     // precedes the two hexadecimal digits of a byte
constexpr std::string_view EMPTY_FIELD = "-";
constexpr std::string_view HEX_DIGITS = "0123456789ABCDEF";

enum StepFlag : std::uint32_t {
    Checkpointing = 1,
    Gang = 2,
    SameRack = 4,
    Speculative = 8,
    LongRunning = 16,
    Fills = 32,
};

std::uint32_t flagsOf(const StepSpec &step)
{
    std::uint32_t flags = 0;
    const auto add = [&flags](bool set, StepFlag flag) { flags |= set ? std::uint32_t(flag) : 0U; };
    add(step.checkpointing, Checkpointing);
    add(step.gang, Gang);
    add(step.sameRack, SameRack);
    add(step.speculative, Speculative);
    add(step.longRunning, LongRunning);
    add(step.fills, Fills);
    return flags;
}

Json stepToJson(const StepSpec &step)
{
    return Json::array({step.count, step.need.cores, step.need.memoryMb, step.need.gpus, step.estimate.count(),
                        step.dependencies, flagsOf(step), step.requiredLabel, step.dataRack.value(), step.maxPerMinion,
                        step.image, step.tailTarget.count(), step.maxUnavailable});
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.count = json.at(0).get<std::uint32_t>();
    step.need = {json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>(), json.at(3).get<std::int64_t>()};
    step.estimate = Millis(json.at(4).get<std::int64_t>());
    step.dependencies = json.at(5).get<std::vector<std::uint32_t>>();
    const auto flags = json.at(6).get<std::uint32_t>();
    step.checkpointing = (flags & Checkpointing) != 0;
    step.gang = (flags & Gang) != 0;
    step.sameRack = (flags & SameRack) != 0;
    step.speculative = (flags & Speculative) != 0;
    step.longRunning = (flags & LongRunning) != 0;
    step.fills = (flags & Fills) != 0;
    step.requiredLabel = json.at(7).get<std::string>();
    step.dataRack = RackName(json.at(8).get<std::string>());
    step.maxPerMinion = json.at(9).get<std::uint32_t>();
    step.image = json.at(10).get<std::string>();
    step.tailTarget = Millis(json.at(11).get<std::int64_t>());
    step.maxUnavailable = json.at(12).get<std::uint32_t>();
    return step;
}

std::string encodeJob(const StepJob &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const Timetable &times = job.spec.timetable;
    return toCbor(Json::array({job.queue.value(), job.service.value(), job.team.value(), job.submittedMs, job.priority,
                               job.attempts, job.stretch, job.targetMs, job.spec.payload, std::move(steps), times.runs,
                               times.firstRunMs, times.intervalMs}));
}

StepJob decodeJob(std::string_view id, const Json &json)
{
    StepJob job;
    job.id = JobId(std::string(id));
    job.queue = QueueName(json.at(0).get<std::string>());
    job.service = ServiceName(json.at(1).get<std::string>());
    job.team = TeamName(json.at(2).get<std::string>());
    job.submittedMs = json.at(3).get<std::int64_t>();
    job.priority = json.at(4).get<std::uint32_t>();
    job.attempts = json.at(5).get<std::uint32_t>();
    job.stretch = json.at(6).get<double>();
    job.targetMs = json.at(7).get<std::int64_t>();
    job.spec.payload = json.at(8).get<std::string>();
    for (const Json &step : json.at(9)) {
        job.spec.steps.push_back(stepFromJson(step));
    }
    job.spec.timetable = {json.at(10).get<std::uint32_t>(), json.at(11).get<std::int64_t>(),
                          json.at(12).get<std::int64_t>()};
    return job;
}

std::string encodeWave(const WaveProgress &wave)
{
    Json machines = Json::array();
    for (const auto &[machine, state] : wave.machines) {
        machines.push_back({machine.value(), std::string(1, static_cast<char>(state))});
    }
    return toCbor(Json::array({wave.firstSeenMs, std::move(machines)}));
}

/** @throws Json::exception or std::logic_error if @p number or @p json is malformed */
WaveProgress decodeWave(std::string_view number, const Json &json)
{
    WaveProgress wave;
    wave.number = WaveNumber(std::stoull(std::string(number)));
    wave.firstSeenMs = json.at(0).get<std::int64_t>();
    for (const Json &row : json.at(1)) {
        const auto state = row.at(1).get<std::string>();
        if (state.size() != 1 || std::string_view("pbdl").find(state[0]) == std::string_view::npos) {
            throw std::invalid_argument("unknown state of a machine in a wave record");
        }
        wave.machines[MachineId(row.at(0).get<std::string>())] = static_cast<UpkeepState>(state[0]);
    }
    return wave;
}

/** @return @p text without FIELD_SEPARATOR, so that it can be a field; "-" if it is empty. */
std::string toField(std::string_view text)
{
    if (text.empty()) {
        return std::string(EMPTY_FIELD);
    }
    std::string field;
    for (const char c : text) {
        const bool escaped = c == FIELD_SEPARATOR || c == ESCAPE || text == EMPTY_FIELD;
        field += escaped ? std::string {ESCAPE, HEX_DIGITS[static_cast<unsigned char>(c) >> 4],
                                        HEX_DIGITS[static_cast<unsigned char>(c) & 15]}
                         : std::string(1, c);
    }
    return field;
}

/** @return the text that toField() was called with; an ESCAPE without two digits stands for itself. */
std::string fromField(std::string_view field)
{
    if (field == EMPTY_FIELD) {
        return {};
    }
    std::string text;
    for (std::size_t i = 0; i < field.size(); ++i) {
        const std::size_t high = i + 2 < field.size() ? HEX_DIGITS.find(field[i + 1]) : std::string_view::npos;
        const std::size_t low = i + 2 < field.size() ? HEX_DIGITS.find(field[i + 2]) : std::string_view::npos;
        const bool escaped = field[i] == ESCAPE && high != std::string_view::npos && low != std::string_view::npos;
        text += escaped ? static_cast<char>(high << 4 | low) : field[i];
        i += escaped ? 2 : 0;
    }
    return text;
}

/**
 * Encodes a unit record as a line of fields: state, run, failures, last failed run, checkpoint, minions. Most records
 * are of units, so they use this compact form instead of CBOR. A lone ESCAPE, which toField() never returns, marks a
 * unit of which no run has begun; earlier versions read it as a minion of a unit that is not placed, and ignore it.
 */
std::string encodeStatus(const UnitStatus &status)
{
    std::string text(1, static_cast<char>(status.state));
    text += FIELD_SEPARATOR + std::to_string(status.run);
    text += FIELD_SEPARATOR + std::to_string(status.failures);
    text += FIELD_SEPARATOR + std::to_string(status.failedRun);
    text += FIELD_SEPARATOR + toField(status.checkpoint);
    for (const MinionId &minion : status.minions) {
        text += FIELD_SEPARATOR + toField(minion.value());
    }
    if (status.state == UnitState::Waiting && status.neverBegan) {
        text += std::string {FIELD_SEPARATOR, ESCAPE};
    }
    return text;
}

std::string_view takeField(std::string_view &text)
{
    const std::string_view field = text.substr(0, text.find(FIELD_SEPARATOR));
    text.remove_prefix(std::min(text.size(), field.size() + 1));
    return field;
}

bool takeNumber(std::string_view &text, std::uint32_t &number)
{
    const std::string_view field = takeField(text);
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), number);
    return error == std::errc() && end == field.data() + field.size();
}

bool decodeStatus(std::string_view text, UnitStatus &status)
{
    const std::string_view state = takeField(text);
    if (state.size() != 1 || std::string_view("wpdf").find(state[0]) == std::string_view::npos) {
        return false;
    }
    status.state = static_cast<UnitState>(state[0]);
    if (!takeNumber(text, status.run) || !takeNumber(text, status.failures) || !takeNumber(text, status.failedRun)) {
        return false;
    }
    status.checkpoint = fromField(takeField(text));
    while (!text.empty()) {
        if (text.size() == 1 && text.front() == ESCAPE) {
            status.neverBegan = true;
            break;
        }
        status.minions.emplace_back(fromField(takeField(text)));
    }
    return true;
}

Error malformed(std::string_view key)
{
    return {"malformed", "record does not match the format of this version", std::string(key)};
}

struct Encoder {
    StoredRecord operator()(const StepJobSubmitted &record) const
    {
        return {std::string(JOB_PREFIX) + record.job.id.value(), encodeJob(record.job)};
    }
    StoredRecord operator()(const StepJobCancelled &record) const
    {
        return {std::string(CANCEL_PREFIX) + record.job.value(), "cancelled"};
    }
    StoredRecord operator()(const StepJobForgotten &record) const
    {
        return {std::string(JOB_PREFIX) + record.job.value(), ""};
    }
    StoredRecord operator()(const StepJobPartForgotten &record) const
    {
        return {std::string(CANCEL_PREFIX) + record.job.value(), ""};
    }
    StoredRecord operator()(const UnitChanged &record) const
    {
        return {std::string(UNIT_PREFIX) + record.unit.toString(), encodeStatus(record.status)};
    }
    StoredRecord operator()(const WaveProgress &record) const
    {
        return {std::string(WAVE_PREFIX) + std::to_string(record.number.value()), encodeWave(record)};
    }
    StoredRecord operator()(const MinionSilence &record) const
    {
        std::string value = record.since ? std::to_string(record.since->value()) : std::string();
        if (record.since && record.spell > 0) {
            // Earlier versions cannot tell one spell from the next, so they must not be able to read the record.
            value = SPELL_MARK + std::to_string(record.spell) + FIELD_SEPARATOR + value;
        }
        if (record.since && record.startTimeMs > 0) {
            value += FIELD_SEPARATOR + std::to_string(record.startTimeMs);
        }
        return {std::string(SILENCE_PREFIX) + record.minion.value(), std::move(value)};
    }
    StoredRecord operator()(const ConfigCopied &record) const
    {
        return {std::string(CONFIG_KEY), record.document};
    }
    StoredRecord operator()(const EvacuationsCopied &record) const
    {
        Json places = Json::array();
        for (const PlaceName &place : record.places) {
            places.push_back(place.value());
        }
        return {std::string(EVACUATIONS_KEY), toCbor(places)};
    }
    StoredRecord operator()(const PlannerAnnouncement &record) const
    {
        Json row = Json::array({record.epoch.value(), record.node, record.resigned, record.milliCores, record.peers});
        if (record.earlier) {
            Json earlier = Json::array();
            for (const EarlierPlanner &planner : *record.earlier) {
                earlier.push_back({planner.epoch.value(), planner.node, planner.peers, planner.renewsForMs});
            }
            row.push_back(std::move(earlier));
        }
        return {std::string(PLANNER_KEY), toCbor(row)};
    }
};

PlannerAnnouncement announcementOf(const Json &row)
{
    constexpr std::size_t EARLIER = 5; // column of the earlier planners
    PlannerAnnouncement announced {Epoch(row.at(0).get<std::uint64_t>()), row.at(1).get<std::string>(),
                                   row.at(2).get<bool>(), row.size() > 3 ? row.at(3).get<std::uint32_t>() : 0,
                                   row.size() > 4 ? row.at(4).get<std::string>() : ""};
    if (row.size() > EARLIER) {
        announced.earlier.emplace();
        for (const Json &planner : row.at(EARLIER)) {
            announced.earlier->push_back({Epoch(planner.at(0).get<std::uint64_t>()), planner.at(1).get<std::string>(),
                                          planner.at(2).get<std::string>(), planner.at(3).get<std::int64_t>()});
        }
    }
    return announced;
}

} // namespace

StoredRecord encodeRecord(const JobRecord &record)
{
    return std::visit(Encoder {}, record);
}

ForgettingRecords encodeForgetting(const JobId &job, const std::vector<UnitKey> &units)
{
    ForgettingRecords records;
    records.cancellation = encodeRecord(StepJobCancelled {job});
    records.units.reserve(units.size());
    for (const UnitKey &unit : units) {
        records.units.push_back({std::string(UNIT_PREFIX) + unit.toString(), ""});
    }
    // The record of the job is deleted last, so that no node is left with records of its units only.
    records.job = {encodeRecord(StepJobPartForgotten {job}), encodeRecord(StepJobForgotten {job})};
    return records;
}

Result<JobRecord> decodeRecord(std::string_view key, std::string_view value)
{
    try {
        if (key.starts_with(SILENCE_PREFIX)) {
            MinionSilence record {MinionId(std::string(key.substr(SILENCE_PREFIX.size()))), std::nullopt};
            if (!value.empty()) {
                if (value.front() == SPELL_MARK) {
                    value.remove_prefix(1);
                    record.spell = static_cast<std::uint32_t>(std::stoul(std::string(takeField(value))));
                }
                record.since = Epoch(std::stoull(std::string(takeField(value))));
                record.startTimeMs = value.empty() ? 0 : std::stoll(std::string(value));
            }
            return JobRecord(std::move(record));
        }
        if (value.empty() && key.size() > JOB_PREFIX.size() && key != PLANNER_KEY) {
            const std::string_view name = key.substr(JOB_PREFIX.size());
            JobId job(std::string(name.substr(0, name.find('.'))));
            return key.starts_with(JOB_PREFIX) ? JobRecord(StepJobForgotten {std::move(job)})
                                               : JobRecord(StepJobPartForgotten {std::move(job)});
        }
        if (key.starts_with(UNIT_PREFIX)) {
            UnitChanged record;
            const bool isValid =
                UnitKey::parse(key.substr(UNIT_PREFIX.size()), record.unit) && decodeStatus(value, record.status);
            return isValid ? Result<JobRecord>(JobRecord(std::move(record))) : Result<JobRecord>(malformed(key));
        }
        if (key.starts_with(CANCEL_PREFIX)) {
            return JobRecord(StepJobCancelled {JobId(std::string(key.substr(CANCEL_PREFIX.size())))});
        }
        if (key == CONFIG_KEY) {
            return JobRecord(ConfigCopied {std::string(value)});
        }
        const auto json = parseCbor(value);
        if (!json) {
            return malformed(key);
        }
        if (key.starts_with(JOB_PREFIX)) {
            StepJob job = decodeJob(key.substr(JOB_PREFIX.size()), *json);
            return faultOf(job.spec) == nullptr ? Result<JobRecord>(JobRecord(StepJobSubmitted {std::move(job)}))
                                                : Result<JobRecord>(malformed(key));
        }
        if (key.starts_with(WAVE_PREFIX)) {
            return JobRecord(decodeWave(key.substr(WAVE_PREFIX.size()), *json));
        }
        if (key == EVACUATIONS_KEY) {
            EvacuationsCopied record;
            for (const Json &place : *json) {
                record.places.emplace_back(place.get<std::string>());
            }
            return JobRecord(std::move(record));
        }
        if (key == PLANNER_KEY) {
            return JobRecord(announcementOf(*json));
        }
    } catch (const Json::exception &) {
        return malformed(key);
    } catch (const std::logic_error &) { // a number or a state that cannot be parsed
        return malformed(key);
    }
    return malformed(key);
}

} // namespace Papaya
