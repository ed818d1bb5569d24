#include "dispatch/jobspecreader.h"

#include "base/objectreader.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t MAX_AMOUNT = std::numeric_limits<std::int32_t>::max(); // of a resource
constexpr std::int64_t MAX_DAYS_MS = 365LL * 86'400'000;
constexpr std::int64_t MAX_RUNS = 100'000;
constexpr std::int64_t MAX_TIME_MS = 1LL << 52;
constexpr std::size_t ID_DIGITS = 16;

std::vector<std::uint32_t> readDependencies(ObjectReader &reader, std::size_t number)
{
    std::vector<std::uint32_t> earlier;
    if (const Json *list = reader.array("after")) {
        for (const Json &item : *list) {
            if (!item.is_number_unsigned() || item.get<std::uint64_t>() >= number) {
                reader.report("wrong-value", "must name earlier steps, counted from 0", "after");
                break;
            }
            earlier.push_back(item.get<std::uint32_t>());
        }
    }
    return earlier;
}

StepSpec readStep(const Json &json, std::size_t number, Errors &errors)
{
    StepSpec step;
    ObjectReader reader(json, "steps[" + std::to_string(number) + "]", errors);
    const auto readCount = [&reader](const char *key, std::uint32_t &value, std::int64_t low, std::int64_t high) {
        if (const auto read = reader.integer(key, low, high)) {
            value = static_cast<std::uint32_t>(*read);
        }
    };
    const auto readFlag = [&reader](const char *key, bool &value) { value = reader.boolean(key).value_or(false); };
    readCount("count", step.count, 1, MAX_TASKS);
    step.need.cores = reader.integer("milliCores", 0, MAX_AMOUNT).value_or(0);
    step.need.memoryMb = reader.integer("memoryMb", 0, MAX_AMOUNT).value_or(0);
    step.need.gpus = reader.integer("gpus", 0, MAX_AMOUNT).value_or(0);
    step.estimate = Millis(reader.integer("estimateMs", 0, MAX_DAYS_MS).value_or(0));
    step.dependencies = readDependencies(reader, number);
    readFlag("checkpointing", step.checkpointing);
    readFlag("gang", step.gang);
    readFlag("sameRack", step.sameRack);
    readFlag("speculative", step.speculative);
    readFlag("longRunning", step.longRunning);
    readFlag("fills", step.fills);
    step.requiredLabel = reader.text("requiredLabel").value_or("");
    step.dataRack = RackName(reader.text("dataRack").value_or(""));
    readCount("maxPerMinion", step.maxPerMinion, 0, MAX_TASKS);
    step.image = reader.text("image").value_or("");
    step.tailTarget = Millis(reader.integer("tailTargetMs", 0, MAX_DAYS_MS).value_or(0));
    readCount("maxUnavailable", step.maxUnavailable, 0, MAX_TASKS);
    reader.refuseUnknownKeys();
    return step;
}

Timetable readTimetable(ObjectReader &root, Errors &errors)
{
    Timetable timetable;
    if (const Json *json = root.object("timetable")) {
        ObjectReader reader(*json, "timetable", errors);
        timetable.runs =
            static_cast<std::uint32_t>(reader.integer("runs", 1, MAX_RUNS, Presence::Required).value_or(1));
        timetable.firstRunMs = reader.integer("firstRunMs", 0, MAX_TIME_MS, Presence::Required).value_or(0);
        timetable.intervalMs = reader.integer("intervalMs", 0, MAX_DAYS_MS).value_or(0);
        reader.refuseUnknownKeys();
    }
    return timetable;
}

} // namespace

bool isJobId(std::string_view text)
{
    return text.size() == ID_DIGITS && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

Result<JobRequest> readJobRequest(const Json &json)
{
    Errors errors;
    JobRequest request;
    ObjectReader root(json, "", errors);
    if (const auto id = root.text("id")) {
        request.id = JobId(*id);
        if (!isJobId(*id)) {
            root.report("wrong-value", "must be 16 hexadecimal digits", "id");
        }
    }
    request.queue = QueueName(root.text("queue", Presence::Required).value_or(""));
    request.spec.payload = root.text("payload").value_or("");
    if (request.spec.payload.size() > MAX_PAYLOAD_BYTES) {
        root.report("wrong-value", "is longer than " + std::to_string(MAX_PAYLOAD_BYTES) + " bytes", "payload");
    }
    if (const Json *steps = root.array("steps", Presence::Required)) {
        if (steps->empty() || steps->size() > MAX_STEPS) {
            root.report("wrong-value", "must have 1 to " + std::to_string(MAX_STEPS) + " steps", "steps");
        }
        for (std::size_t i = 0; i < steps->size() && i < MAX_STEPS; ++i) {
            request.spec.steps.push_back(readStep((*steps)[i], i, errors));
        }
    }
    request.spec.timetable = readTimetable(root, errors);
    root.refuseUnknownKeys();
    if (const char *fault = errors.empty() ? faultOf(request.spec) : nullptr) {
        root.report("wrong-value", fault, "steps");
    }
    if (!errors.empty()) {
        return errors;
    }
    return request;
}

} // namespace Papaya
