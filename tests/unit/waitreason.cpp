#include "steps/waitreason.h"
#include "base/codec.h"
#include "dispatch/jobspecreader.h"
#include "dispatch/stepmetrics.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

// Tests what callers and operators see: why a unit waits, the errors in a job request, and the metrics.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 50'000;

/** Two minions and one job of two steps, of which the second depends on the first. */
struct WaitScenario {
    WaitScenario()
    {
        QueueConfig queue;
        queue.name = QueueName("plan");
        queue.service = ServiceName("desk");
        config.queues = {queue};
        for (int i = 0; i < 2; ++i) {
            MinionView minion;
            minion.id = MinionId("m" + std::to_string(i));
            minion.service = queue.service;
            minion.capacity = minion.free = {8'000, 16'000, 4};
            minions.push_back(minion);
        }
        job.id = JobId("job");
        job.queue = queue.name;
        job.service = queue.service;
        StepSpec step;
        step.count = 3;
        step.gang = true;
        step.need = {1'000, 1'000, 2};
        StepSpec second;
        second.dependencies = {0};
        job.spec.steps = {step, second};
    }

    WaitExplanation explain(const UnitKey &unit = {JobId("job"), 0, 0, UnitKey::GANG})
    {
        if (jobTable.find(job.id) == nullptr) {
            jobTable.apply(StepJobSubmitted {job});
        }
        return explainWait({jobTable, config, times, tickets, minions, {}, heldBack, {}, NOW, NOW}, unit);
    }

    StepJob job;
    JobTable jobTable;
    DeploymentConfig config;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
    std::set<UnitKey> heldBack;
};

TEST(WaitReasons, NameTheConditionThatKeepsAUnitFromStarting)
{
    EXPECT_EQ(WaitReason::NextPass, WaitScenario().explain().reason);
    WaitScenario full;
    full.minions[0].free = {};
    EXPECT_EQ(WaitReason::NoCapacity, full.explain().reason);
    EXPECT_EQ("there is room for 2 of 3 tasks of 1000 millicores, 1000 MB and 2 GPUs on 2 minions",
              full.explain().detail);
    WaitScenario large;
    large.job.spec.steps[0].need.gpus = 9;
    EXPECT_EQ(WaitReason::TooLarge, large.explain().reason);
    WaitScenario withoutLabel;
    withoutLabel.job.spec.steps[0].requiredLabel = "fast";
    EXPECT_EQ(WaitReason::NoMinion, withoutLabel.explain().reason);
    WaitScenario unusable;
    unusable.minions[0].usable = unusable.minions[1].usable = false;
    EXPECT_EQ(WaitReason::NoMinion, unusable.explain().reason);
    WaitScenario unadmitted;
    unadmitted.config.queues[0].oracle = OracleTerms {};
    EXPECT_EQ(WaitReason::NoTicket, unadmitted.explain().reason);
    WaitScenario held;
    held.heldBack.insert({JobId("job"), 0, 0, UnitKey::GANG});
    EXPECT_EQ(WaitReason::HeldBack, held.explain().reason);
    WaitScenario notDue;
    notDue.job.spec.timetable = {2, NOW + 10, 100};
    EXPECT_EQ(WaitReason::NotDue, notDue.explain().reason);
    const WaitExplanation second = WaitScenario().explain({JobId("job"), 0, 1, 0});
    EXPECT_EQ(WaitReason::Dependencies, second.reason);
    EXPECT_EQ("step 0 has 0 of 1 units done", second.detail);
    WaitScenario cancelled;
    cancelled.jobTable.apply(StepJobSubmitted {cancelled.job});
    cancelled.jobTable.apply(StepJobCancelled {cancelled.job.id});
    EXPECT_EQ(WaitReason::JobEnded, cancelled.explain().reason);
}

TEST(WaitReasons, NameARackWaitWhileTheFleetIsBusy)
{
    WaitScenario scenario;
    StepSpec &step = scenario.job.spec.steps[0];
    step.count = 2;
    step.sameRack = true;
    scenario.minions[0].rack = RackName("r0");
    scenario.minions[1].rack = RackName("r1");
    scenario.minions[0].free = scenario.minions[1].free = {1'500, 16'000, 4};
    EXPECT_EQ(WaitReason::RackWait, scenario.explain().reason);
    scenario.minions[0].free = scenario.minions[0].capacity;
    EXPECT_EQ(WaitReason::NextPass, scenario.explain().reason);
}

TEST(WaitReasons, NameTheLimitOfTasksOnOneMinion)
{
    WaitScenario scenario;
    scenario.job.spec.steps[0].maxPerMinion = 1;
    const WaitExplanation why = scenario.explain();
    EXPECT_EQ(WaitReason::SpreadLimit, why.reason);
    EXPECT_EQ("there is room for 4 of 3 tasks, but with at most 1 on one minion for 2", why.detail);
}

TEST(WaitReasons, NameProbationIfTheUnitWouldFitWithoutIt)
{
    WaitScenario scenario;
    scenario.minions[1].usable = false;
    scenario.minions[1].obstacle = ON_PROBATION;
    const WaitExplanation why = scenario.explain();
    EXPECT_EQ(WaitReason::Probation, why.reason);
    EXPECT_EQ("there is room for 2 of 3 tasks, and for 2 on minions where runs have just failed", why.detail);
    scenario.minions[0] = scenario.minions[1];
    EXPECT_EQ(WaitReason::Probation, scenario.explain().reason);
    scenario.minions[1].obstacle = RESERVED_FOR_UPKEEP;
    EXPECT_EQ(WaitReason::Upkeep, scenario.explain().reason);
}

TEST(WaitReasons, CountMinionsWithRoomThatAreNotUsable)
{
    WaitScenario scenario;
    scenario.minions[1].usable = false;
    scenario.minions[1].obstacle = "silent";
    const WaitExplanation why = scenario.explain();
    EXPECT_EQ(WaitReason::NoCapacity, why.reason);
    EXPECT_EQ("there is room for 2 of 3 tasks of 1000 millicores, 1000 MB and 2 GPUs on 1 minions; not usable with "
              "room: 1 silent",
              why.detail);
}

TEST(JobRequests, ReportEveryErrorWithItsPath)
{
    const auto json = parseJson(R"({"id": "xyz", "steps": [{"count": 0, "gpu": 1}, {"after": [1]}], "timetable": {}})");
    const auto request = readJobRequest(*json);
    ASSERT_FALSE(request);
    std::set<std::string> paths;
    for (const Error &error : request.errors()) {
        paths.insert(error.path);
    }
    const std::set<std::string> expected {
        "id", "queue", "steps[0].count", "steps[0].gpu", "steps[1].after", "timetable.runs", "timetable.firstRunMs"};
    EXPECT_EQ(expected, paths);
}

TEST(StepMetricsText, CountsByReasonAndSumsLatencies)
{
    StepMetrics metrics;
    metrics.count(StepEvent::Stop, "preempted");
    metrics.count(StepEvent::Stop, "preempted");
    metrics.record(JobStage::Stored, 250);
    metrics.setWaiting({{"no-room", 3}});
    EXPECT_EQ(2U, metrics.value(StepEvent::Stop, "preempted"));
    const std::string text = metrics.toPrometheus({{"leading", 1}});
    EXPECT_NE(std::string::npos, text.find("papayahall_stops_total{reason=\"preempted\"} 2\n"));
    EXPECT_NE(std::string::npos, text.find("papayahall_job_seconds_sum{stage=\"stored\"} 0.25\n"));
    EXPECT_NE(std::string::npos, text.find("papayahall_leading 1\n"));
    EXPECT_NE(std::string::npos, text.find("papayahall_jobs_waiting{reason=\"no-room\"} 3\n"));
}

} // namespace

} // namespace Papaya
