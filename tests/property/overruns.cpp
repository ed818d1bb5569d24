#include "process/overrun.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

// Properties of the decisions on overcommitted workers, for random fleets and random resource use.

namespace Papaya
{

namespace
{

constexpr Resources CAPACITY {64, 128'000, 8};

std::vector<PartUsage> randomParts(std::size_t workers)
{
    std::vector<PartUsage> parts;
    const auto count = *rc::gen::inRange(1, 24);
    for (int i = 0; i < count; ++i) {
        PartUsage part;
        // Gangs of up to two parts.
        part.task = {JobId("j" + std::to_string(i / 2)), PartIndex(static_cast<std::uint32_t>(i % 2))};
        part.worker = *rc::gen::inRange<WorkerIndex>(0, static_cast<WorkerIndex>(workers));
        part.declared = {*rc::gen::inRange(1, 16), *rc::gen::inRange(1, 32'000), 1};
        part.used = {*rc::gen::inRange(0, 160), *rc::gen::inRange(0, 320'000), 1};
        part.rule = static_cast<StopRule>(*rc::gen::inRange(0, 3));
        part.throttled = *rc::gen::arbitrary<bool>();
        parts.push_back(part);
    }
    return parts;
}

bool stops(const OverrunDecision &decision, const JobId &job)
{
    return std::find(decision.stops.begin(), decision.stops.end(), job) != decision.stops.end();
}

bool throttles(const OverrunDecision &decision, const TaskId &task)
{
    return std::find(decision.throttles.begin(), decision.throttles.end(), task) != decision.throttles.end();
}

FleetModel makeFleet(std::size_t workers)
{
    FleetModel fleet;
    for (std::size_t i = 0; i < workers; ++i) {
        fleet.add(WorkerId("w" + std::to_string(i)), PlaceName("p"), RackName("r"), CAPACITY);
    }
    return fleet;
}

RC_GTEST_PROP(OverrunDecisions, LeaveNoWorkerShortOfMemoryWhileABorrowerThereCouldBeStopped, ())
{
    const auto workers = *rc::gen::inRange<std::size_t>(1, 4);
    const FleetModel fleet = makeFleet(workers);
    const std::vector<PartUsage> parts = randomParts(workers);
    const OverrunDecision decision = decideOverruns(fleet, parts);
    for (WorkerIndex worker = 0; worker < workers; ++worker) {
        std::int64_t memoryMb = 0;
        bool relievable = false;
        for (const PartUsage &part : parts) {
            if (part.worker == worker && !stops(decision, part.task.job)) {
                memoryMb += part.used.memoryMb;
                relievable |= part.rule == StopRule::Freely;
            }
        }
        RC_ASSERT(memoryMb <= CAPACITY.memoryMb || !relievable);
    }
}

RC_GTEST_PROP(OverrunDecisions, NeitherThrottleNorStopWithoutNeedOrAgainstAStopRule, ())
{
    const auto workers = *rc::gen::inRange<std::size_t>(1, 4);
    const FleetModel fleet = makeFleet(workers);
    const std::vector<PartUsage> parts = randomParts(workers);
    const OverrunDecision decision = decideOverruns(fleet, parts);
    std::vector<Resources> used(workers);
    for (const PartUsage &part : parts) {
        used[part.worker] += part.used;
    }
    for (const PartUsage &part : parts) {
        const bool withinDeclared =
            part.used.cores <= part.declared.cores && part.used.memoryMb <= part.declared.memoryMb;
        if (throttles(decision, part.task)) {
            RC_ASSERT(used[part.worker].cores > CAPACITY.cores);
            RC_ASSERT(part.used.cores > part.declared.cores && !part.throttled);
        }
        if (stops(decision, part.task.job) && part.rule == StopRule::IfOverrunning) {
            const bool hasOtherPart = std::any_of(parts.begin(), parts.end(), [&](const PartUsage &other) {
                return other.task.job == part.task.job && &other != &part;
            });
            RC_ASSERT(!withinDeclared || hasOtherPart);
        }
    }
    for (const JobId &job : decision.stops) {
        const bool needed = std::any_of(parts.begin(), parts.end(), [&](const PartUsage &part) {
            return part.task.job == job && part.rule != StopRule::Never && !CAPACITY.covers(used[part.worker]);
        });
        RC_ASSERT(needed);
    }
}

PartUsage part(const char *job, std::int64_t memoryMb, StopRule rule, std::uint32_t index = 0)
{
    PartUsage usage;
    usage.task = {JobId(job), PartIndex(index)};
    usage.declared = {1, 20'000, 1};
    usage.used = {1, memoryMb, 1};
    usage.rule = rule;
    return usage;
}

TEST(OverrunDecisions, CountAllPartsOfAStoppedGangAsFreed)
{
    const OverrunDecision decision = decideOverruns(
        makeFleet(1), {part("gang", 60'000, StopRule::Freely, 0), part("gang", 60'000, StopRule::Freely, 1),
                       part("single", 55'000, StopRule::Freely), part("honest", 20'000, StopRule::Freely)});
    EXPECT_EQ((std::vector<JobId> {JobId("gang")}), decision.stops);
}

TEST(OverrunDecisions, StopTheGangWithTheLargestExcessFirst)
{
    const FleetModel fleet = makeFleet(1);
    const OverrunDecision decision = decideOverruns(
        fleet, {part("honest", 20'000, StopRule::Freely), part("guaranteed", 60'000, StopRule::IfOverrunning),
                part("worst", 90'000, StopRule::Freely), part("bad", 40'000, StopRule::Freely)});
    EXPECT_EQ((std::vector<JobId> {JobId("worst")}), decision.stops);
    EXPECT_TRUE(decision.throttles.empty());
}

} // namespace

} // namespace Papaya
