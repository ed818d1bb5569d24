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
    EXPECT_EQ(2U, metrics.value(StepEvent::Stop, "preempted"));
    const std::string text = metrics.toPrometheus({{"leading", 1}});
    EXPECT_NE(std::string::npos, text.find("papayahall_stops_total{reason=\"preempted\"} 2\n"));
    EXPECT_NE(std::string::npos, text.find("papayahall_job_seconds_sum{stage=\"stored\"} 0.25\n"));
    EXPECT_NE(std::string::npos, text.find("papayahall_leading 1\n"));
}

} // namespace

} // namespace Papaya
