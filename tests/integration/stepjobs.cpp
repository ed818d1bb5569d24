#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

// Tests jobs of steps on the users' platform. Most checks use the runs that the minion stand-ins recorded.

namespace Papaya::Testing
{

namespace
{

using Standins::PlatformMinionFaults;
using Standins::TaskRun;

TEST(StepJobs, RunStepsInOrderAndEachTaskOnce)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(4), Deployment::step(3, {}, {{"dependsOn", {0}}})};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps).status);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(3'000), 1));
    EXPECT_EQ(7U, deployment.doneRuns(id));
    EXPECT_EQ(7U, deployment.runs.of(id).size());
    std::int64_t firstEnd = 0;
    for (const TaskRun &run : deployment.runs.of(id + ".0.0.")) {
        firstEnd = std::max(firstEnd, run.endedMs);
    }
    for (const TaskRun &run : deployment.runs.of(id + ".0.1.")) {
        EXPECT_GE(run.startedMs, firstEnd) << run.task;
    }
    // A minion lists the end of a run until the planner has acknowledged it.
    EXPECT_TRUE(Cluster::eventually([&] {
        return std::all_of(deployment.minions.begin(), deployment.minions.end(),
                           [](const auto &minion) { return minion->unacknowledgedEnds() == 0; });
    }));
}

// Guards against a job that counts as started from its first placement although every start is refused.
TEST(StepJobs, CountAsWaitingWhileTheirStartsAreRefused)
{
    Deployment deployment({1, 1});
    deployment.start();
    deployment.minions.front()->setFaults({.refuseStarts = 1'000});
    ASSERT_EQ(200, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.log(0).find("start-refused") != std::string::npos; }));
    const auto waits = [&] { return deployment.call(0, "GET", "plan", "").body == R"({"waitingCount":1})"; };
    EXPECT_TRUE(Cluster::eventually(waits, Millis(3'000)));
    deployment.minions.front()->setFaults({});
    EXPECT_TRUE(Cluster::eventually(
        [&] { return deployment.call(0, "GET", "plan", "").body == R"({"waitingCount":0})"; }, Millis(8'000)));
}

TEST(StepJobs, WithMoreTasksThanMinionsMayRunAtOnceCompleteThemAll)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(7, {}, {{"antiAffinity", 1}})}).status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(7U, deployment.runs.of(id).size());
}

TEST(StepJobs, WithAScheduleStartEachOccurrenceInTimeAndNeverEarly)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const std::int64_t first = Standins::nowMs() + 600;
    const Json times = {{"runCount", 3}, {"firstRunMs", first}, {"intervalMs", 300}};
    ASSERT_EQ(200, deployment.submit(0, "batch", id, {Deployment::step(1)}, {{"workMs", 50}}, times).status);
    ASSERT_TRUE(deployment.waitForState("batch", id, "completed"));
    const auto runs = deployment.runs.of(id);
    ASSERT_EQ(3U, runs.size());
    for (const TaskRun &run : runs) {
        const int occurrence = std::stoi(run.task.substr(id.size() + 1));
        EXPECT_GE(run.startedMs, first + 300 * occurrence) << run.task;
        EXPECT_LE(run.startedMs, first + 300 * occurrence + 600) << run.task;
    }
}

TEST(StepJobs, SubmittedRepeatedlyToSeveralNodesRunOnce)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(200, deployment.submit(static_cast<std::size_t>(i % 2), "plan", id, {Deployment::step(2)}).status);
    }
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(200, deployment.submit(1, "plan", id, {Deployment::step(2)}).status);
    EXPECT_EQ(2U, deployment.runs.of(id).size());
}

TEST(StepJobs, WithUnknownQueuesOrKeysOrBadBodiesAreRejected)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    EXPECT_EQ(404, deployment.submit(0, "nowhere", id, {Deployment::step(1)}).status);
    EXPECT_EQ(401, deployment.call(0, "POST", "plan", id, "{}", "key-x").status);
    EXPECT_EQ(400, deployment.call(0, "POST", "plan", id, "{").status);
    EXPECT_EQ(400, deployment.call(0, "POST", "plan", id, R"({"steps":[{"count":0}]})").status);
    EXPECT_EQ(400, deployment.call(0, "POST", "plan", id, R"({"steps":[{"count":1,"dependsOn":[0]}]})").status);
    EXPECT_EQ(400, deployment.call(0, "POST", "plan", id, R"({"steps":"many"})").status);
    EXPECT_EQ(400, deployment.call(0, "POST", "plan", "no-id", R"({"steps":[{"count":1}]})").status);
    EXPECT_EQ(410, deployment.call(0, "GET", "plan", id).status);
    EXPECT_TRUE(deployment.runs.of(id).empty());
}

// One submission that no node can hold must not reach the journal, which every node applies.
TEST(StepJobs, ThatAreTooLargeOrNeedLessThanNothingAreRejectedAndHarmNoNode)
{
    DeploymentOptions options;
    options.nodes = 1;
    Deployment deployment(options);
    deployment.start();
    const Json step = Deployment::step(1);
    const Json endless = {{"runCount", 4'000'000'000U}, {"firstRunMs", 4'000'000'000'000}, {"intervalMs", 1'000}};
    EXPECT_EQ(400, deployment.submit(0, "plan", deployment.newId(), {step}, {{"workMs", 100}}, endless).status);
    Json wide = Json::array();
    for (int i = 0; i < 1'000; ++i) {
        wide.push_back(Deployment::step(10'000));
    }
    EXPECT_EQ(400, deployment.submit(0, "plan", deployment.newId(), wide).status);
    const Json freeing = Deployment::step(1, {1'000, 1'000, 0}, {{"gpu", -8}});
    EXPECT_EQ(400, deployment.submit(0, "plan", deployment.newId(), {freeing}).status);
    const std::string after = deployment.newId();
    EXPECT_EQ(200, deployment.submit(0, "plan", after, {step}).status);
    EXPECT_TRUE(deployment.waitForState("plan", after, "completed"));
}

TEST(StepJobs, WhenCancelledStopTheirTasksAndGangs)
{
    Deployment deployment;
    deployment.start();
    for (const bool gang : {false, true}) {
        const std::string id = deployment.newId();
        const Json work = {{"workMs", 30'000}, {"gang", gang ? 3 : 1}};
        ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(3, {}, {{"gang", gang}})}, work).status);
        ASSERT_TRUE(deployment.waitForRunCount(id, 3));
        EXPECT_EQ(200, deployment.call(1, "DELETE", "plan", id).status);
        EXPECT_TRUE(deployment.waitForRunCount(id, 0)) << (gang ? "gang" : "tasks");
        EXPECT_TRUE(deployment.waitForState("plan", id, "cancelled"));
    }
}

TEST(StepJobs, ThatFailEveryAttemptAreReportedAsFailed)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 50}, {"fails", 9}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", id, "failed"));
    EXPECT_EQ(2U, deployment.runs.of(id).size());
    const std::string other = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", other, {Deployment::step(1)}, {{"workMs", 50}, {"fails", 1}}).status);
    EXPECT_TRUE(deployment.waitForState("plan", other, "completed"));
}

TEST(StepJobs, ThatEndedLongerAgoThanTheRetentionPeriodAreDeletedFromNodesAndJournal)
{
    DeploymentOptions options;
    options.keepEndedMs = 700;
    Deployment deployment(options);
    deployment.start();
    const std::string ended = deployment.newId();
    const std::string open = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", ended, {Deployment::step(2)}).status);
    ASSERT_EQ(200, deployment.submit(0, "plan", open, {Deployment::step(1)}, {{"workMs", 20'000}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", ended, "completed"));
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(Cluster::eventually([&] { return deployment.call(i, "GET", "plan", ended).status == 410; }));
        EXPECT_EQ("running", deployment.state(i, "plan", open));
    }
    for (const char *key : {"j/", "x/", "u/"}) {
        EXPECT_EQ("", deployment.store.newest("keyed.journal", key + ended));
    }
    EXPECT_EQ("", deployment.store.newest("keyed.journal", "u/" + ended + ".0.0.1"));
    EXPECT_NE("", deployment.store.newest("keyed.journal", "j/" + open));
}

TEST(StepJobs, OnAnUnreachableMinionRunAgainElsewhereOnceItsLeaseHasExpired)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 2'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    PlatformMinionFaults unresponsive;
    unresponsive.unresponsive = true;
    unresponsive.hang = true;
    deployment.minion(deployment.runs.of(id).front().minion).setFaults(unresponsive);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(16'000)));
    EXPECT_EQ(2U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against a start in doubt that no poll settles, as each stop order sets back the time from which a poll counts
// while the minion's long polls last.
TEST(StepJobs, WhoseStartIsInDoubtRunAgainWhileTheirMinionRunsOtherTasks)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string other = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", other, Deployment::step(1), {{"workMs", 30'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(other, 1));
    Standins::PlatformMinionFaults late;
    late.lateStarts = 2; // a start order without an answer is sent twice
    late.lateMs = 20'000;
    deployment.minions.front()->setFaults(late);
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1)).status);
    // Two orders time out after 0.7 s each; after that, a job may have nothing running for 3 s.
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(1'400 + 3'000)));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
}

TEST(StepJobs, WhoseStartCallsTakeEffectLateCompleteEachTaskOnce)
{
    Deployment deployment;
    deployment.start();
    PlatformMinionFaults late;
    late.lateStarts = 2;
    late.lateMs = 1'800;
    for (auto &minion : deployment.minions) {
        minion->setFaults(late);
    }
    std::vector<std::string> ids;
    for (int i = 0; i < 6; ++i) {
        ids.push_back(deployment.newId());
        ASSERT_EQ(200, deployment.submit(0, "plan", ids.back(), {Deployment::step(2)}, {{"workMs", 300}}).status);
    }
    for (const std::string &id : ids) {
        EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(15'000)));
        EXPECT_EQ(2U, deployment.doneRuns(id));
    }
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, OnAMinionThatRestartsUnderTheSameIdRunAgain)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(2)}, {{"workMs", 1'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 2));
    deployment.minion(deployment.runs.of(id).front().minion).restart();
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(10'000)));
    EXPECT_EQ(2U, deployment.doneRuns(id));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Load pattern: urgent tasks that are placed on a minion that hangs while it reports itself as healthy.
TEST(StepJobs, ThatNeverBeginOnAHangingMinionRunElsewhereWithinSeconds)
{
    Deployment deployment;
    deployment.start();
    PlatformMinionFaults hangs;
    hangs.hang = true;
    deployment.minion("i-0").setFaults(hangs);
    const std::string id = deployment.newId(); // a task for each minion
    ASSERT_EQ(200, deployment.submit(0, "urgent", id, {Deployment::step(3, {1'000, 1'000, 8})}).status);
    EXPECT_TRUE(deployment.waitForState("urgent", id, "completed", Millis(3'000)));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// A planner that was paused reads reports that waited for it. They are no evidence that the runs stood still meanwhile.
TEST(StepJobs, KeepRunningWhileTheirPlannerIsPausedForLessThanALease)
{
    DeploymentOptions options;
    options.nodes = 1;
    Deployment deployment(options);
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(3)}, {{"workMs", 4'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 3));
    deployment.nodes[0]->signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(1'900)); // the pause itself, below the lease
    deployment.nodes[0]->signal(SIGCONT);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(3U, deployment.runs.of(id).size());
}

TEST(StepJobs, OnADrainingMinionResumeElsewhereFromTheirCheckpoints)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(1, {}, {{"checkpointing", true}, {"estimateMs", 6'000}})};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps, {{"workMs", 6'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    const std::string first = deployment.runs.of(id).front().minion;
    deployment.minion(first).drain(2'500);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.runs.of(id).size() == 2; }));
    const TaskRun moved = deployment.runs.of(id).back();
    EXPECT_NE(first, moved.minion);
    EXPECT_NE("", moved.checkpoint);
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, OfLowPriorityArePreemptedOnlyAsFarAsAnUrgentJobNeeds)
{
    Deployment deployment;
    deployment.start();
    const std::string batch = deployment.newId();
    const Json longWork = {{"workMs", 60'000}};
    ASSERT_EQ(200, deployment.submit(0, "batch", batch, {Deployment::step(24, {1'000, 1'000, 1})}, longWork).status);
    ASSERT_TRUE(deployment.waitForRunCount(batch, 24));
    const std::string urgent = deployment.newId();
    const std::int64_t accepted = Standins::nowMs();
    ASSERT_EQ(
        200, deployment.submit(0, "urgent", urgent, {Deployment::step(1, {1'000, 1'000, 8}, {{"gang", true}})}).status);
    ASSERT_TRUE(deployment.waitForState("urgent", urgent, "completed"));
    EXPECT_LE(deployment.runs.of(urgent).front().startedMs - accepted, 2'700);
    // Only as many batch tasks were preempted as the urgent job needs, and they run again after it.
    EXPECT_TRUE(deployment.waitForRunCount(batch, 24));
    const auto runs = deployment.runs.of(batch);
    EXPECT_EQ(8, std::count_if(runs.begin(), runs.end(), [](const TaskRun &run) { return run.how == "stopped"; }));
}

} // namespace

} // namespace Papaya::Testing
