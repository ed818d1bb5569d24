#include "soakjobs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace Papaya::Testing
{

namespace
{

using Json = nlohmann::json;

/** A job in the making. */
struct Draft {
    SoakJob job;
    Json taskSpec = Json::object();
    Json steps = Json::array();
    Json times = Json::object();

    /** Adds a step. @param extraFields merged into its JSON */
    void add(const StepShape &step, const Json &extraFields = Json::object())
    {
        Json json = {{"count", step.count},         {"cpu", step.need.cores},
                     {"memMb", step.need.memoryMb}, {"gpu", step.need.gpus},
                     {"estimateMs", 500},           {"gang", step.gang},
                     {"longRunning", step.lasts},   {"antiAffinity", step.antiAffinity},
                     {"dependsOn", step.dependsOn}, {"requires", step.label}};
        json.update(extraFields);
        steps.push_back(json);
        job.shape.steps.push_back(step);
    }
};

constexpr std::array<const char *, 3> QUEUES {"urgent", "plan", "batch"};
constexpr std::array<const char *, 3> TENANTS {"a", "b", "c"};
constexpr std::uint32_t ALWAYS = 1'000; // runs that fail

} // namespace

std::uint32_t JobShape::units() const
{
    return occurrences * std::accumulate(steps.begin(), steps.end(), 0U, [](std::uint32_t sum, const StepShape &step) {
               return sum + step.units();
           });
}

bool JobShape::lasts() const
{
    return std::any_of(steps.begin(), steps.end(), [](const StepShape &step) { return step.lasts; });
}

std::uint32_t JobMaker::number(std::uint32_t low, std::uint32_t high)
{
    return low + static_cast<std::uint32_t>(m_random() % (high - low + 1));
}

bool JobMaker::oneIn(std::uint32_t count)
{
    return m_random() % count == 0;
}

std::string JobMaker::rack()
{
    return "r" + std::to_string(number(0, m_racks - 1));
}

SoakJob JobMaker::next(std::int64_t nowMs)
{
    Draft draft;
    JobShape &shape = draft.job.shape;
    shape.queue = QUEUES[number(0, 2)];
    shape.tenant = TENANTS[number(0, 2)];
    draft.taskSpec["workMs"] = number(20, 1'500);
    const Json saves = {{"checkpointing", oneIn(2)}};
    StepShape step {number(1, 6), {1'000, 1'000, 1}};
    const auto gang = [&](const char *kind, std::uint32_t members, std::int64_t gpus, const Json &fields) {
        shape.kind = kind;
        step.count = members;
        step.need.gpus = gpus;
        step.gang = true;
        draft.taskSpec["gang"] = members;
        draft.add(step, fields);
    };
    switch (number(0, 16)) {
    case 0:
    case 1:
        shape.kind = "plain";
        step.need.gpus = number(0, 2);
        draft.add(step, saves);
        break;
    case 2:
        gang("gang", number(2, 6), 1, saves);
        break;
    case 3:
        gang("large gang", number(1, std::max(1U, m_minions / 3)), 8, saves);
        break;
    case 4:
        gang("rack gang", number(2, 5), 2, {{"sameRack", true}});
        break;
    case 5:
    case 6: {
        shape.kind = "chain";
        step.gang = oneIn(4);
        step.count = number(1, 4);
        if (step.gang) {
            draft.taskSpec["gang"] = step.count;
        }
        const std::uint32_t steps = number(2, 4);
        for (std::uint32_t s = 0; s < steps; ++s) {
            step.dependsOn = s == 0 || oneIn(4) ? std::vector<std::uint32_t>() : std::vector {number(0, s - 1)};
            draft.add(step, saves);
        }
        break;
    }
    case 7:
        shape.kind = "spread";
        step.antiAffinity = number(1, 2);
        step.count = number(2, m_minions);
        draft.taskSpec["workMs"] = number(20, 600);
        draft.add(step, saves);
        break;
    case 8:
        shape.kind = "wide";
        step.antiAffinity = 1;
        step.count = m_minions + number(1, m_minions);
        draft.taskSpec["workMs"] = number(20, 300);
        draft.add(step, saves);
        break;
    case 9:
        shape.kind = "labelled";
        step.label = oneIn(3) ? "a" : rack();
        draft.add(step, saves);
        break;
    case 10:
        shape.kind = "near data";
        draft.add(step, {{"affinity", rack()}});
        break;
    case 11:
    case 12:
        shape.kind = "timed";
        step.count = number(1, 2);
        draft.taskSpec["workMs"] = number(20, 600);
        shape.occurrences = number(2, 4);
        shape.firstRunMs = nowMs + number(0, 4'000);
        shape.intervalMs = number(300, 2'500);
        draft.times = {
            {"runCount", shape.occurrences}, {"firstRunMs", shape.firstRunMs}, {"intervalMs", shape.intervalMs}};
        draft.add(step);
        break;
    case 13:
        shape.kind = "lasting";
        step.count = number(1, 2);
        step.lasts = true;
        draft.taskSpec["lasts"] = true;
        draft.taskSpec["fails"] = oneIn(3) ? number(1, 3) : 0;
        if (oneIn(2)) {
            draft.job.cancelAfter = Millis(number(3'000, 15'000));
        }
        draft.add(step);
        break;
    case 14:
        shape.kind = "failing once";
        step.count = number(1, 3);
        draft.taskSpec["fails"] = 1;
        draft.add(step, saves);
        break;
    case 15:
        shape.kind = "failing";
        shape.fate = JobFate::Fails;
        step.count = number(1, 2);
        draft.taskSpec["fails"] = ALWAYS;
        draft.add(step);
        break;
    default:
        shape.kind = "cancelled";
        draft.job.cancelAfter = Millis(number(0, 3'000));
        draft.add(step, saves);
        break;
    }
    Json body = {{"taskSpec", draft.taskSpec.dump()}, {"steps", draft.steps}};
    body.update(draft.times);
    draft.job.body = body.dump();
    return draft.job;
}

SoakJob JobMaker::nextLarge()
{
    Draft draft;
    JobShape &shape = draft.job.shape;
    shape.kind = "large";
    shape.queue = QUEUES[number(0, 2)];
    shape.tenant = TENANTS[number(0, 2)];
    draft.taskSpec["workMs"] = number(100, 600);
    if (oneIn(3)) {
        draft.job.cancelAfter = Millis(number(300, 3'000));
    }
    draft.add({number(600, 1'500), {1, 2, 0}});
    draft.job.body = Json({{"taskSpec", draft.taskSpec.dump()}, {"steps", draft.steps}}).dump();
    return draft.job;
}

} // namespace Papaya::Testing
