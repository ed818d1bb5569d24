#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>

// Tests minions that restart under their ids or are cut off. A minion registers its new entry some time after it has
// begun to take orders, so the planner may send orders to a new instance that it takes for the former one.

namespace Papaya::Testing
{

namespace
{

using Standins::PlatformMinionFaults;

/** Runs a few short jobs, so that the planner has polled every minion and acknowledged ends. */
void runShortJobs(Deployment &deployment, int jobs)
{
    for (int i = 0; i < jobs; ++i) {
        const std::string id = deployment.newId();
        ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(2), {{"workMs", 20}}).status);
        ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    }
    ASSERT_TRUE(Cluster::eventually([&] {
        return std::all_of(deployment.minions.begin(), deployment.minions.end(),
                           [](const auto &minion) { return minion->unacknowledgedEnds() == 0; });
    }));
}

// Guards against a second run of a task that the new instance of a minion had accepted before it was registered.
TEST(RebornMinion, KeepsARunThatItHasAcceptedBeforeItIsListed)
{
    Deployment deployment({1, 2});
    deployment.start();
    runShortJobs(deployment, 2);
    for (auto &minion : deployment.minions) {
        minion->restartUnlisted();
    }
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(2), {{"workMs", 1'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 2));
    for (auto &minion : deployment.minions) {
        minion->list();
    }
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(2U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against the same second run if the new entry is read before the first report.
TEST(RebornMinion, KeepsARunThatItHasAcceptedIfItsEntryIsReadBeforeAReport)
{
    Deployment deployment({1, 2});
    deployment.start();
    runShortJobs(deployment, 2);
    PlatformMinionFaults silent;
    silent.silentPolls = true;
    for (auto &minion : deployment.minions) {
        minion->restartUnlisted();
        minion->setFaults(silent);
    }
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 3'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    for (auto &minion : deployment.minions) {
        minion->list();
    }
    const auto reborn = [&] { return deployment.log(0).find("minion-reborn") != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(reborn));
    for (auto &minion : deployment.minions) {
        minion->setFaults({});
    }
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against the acknowledgement of ends of a new instance by the number of an end of the former one: the new
// instance would forget ends that were never read, and their tasks would run again.
TEST(RebornMinion, IsNotAskedToForgetEndsThatWereNotRead)
{
    Deployment deployment({1, 1});
    deployment.start();
    runShortJobs(deployment, 3);
    PlatformMinionFaults late;
    late.lateStarts = 1;
    late.lateMs = 1;
    deployment.minions[0]->setFaults(late); // the task has ended before the planner polls the minion
    deployment.minions[0]->restartUnlisted();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 30}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against placing work by the entry of a former instance; the new one may be of another kind.
TEST(RebornMinion, GetsNoFurtherWorkUntilItsNewEntryIsRead)
{
    Deployment deployment({1, 1});
    deployment.start();
    runShortJobs(deployment, 2);
    deployment.minions[0]->restartUnlisted();
    const std::string first = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", first, Deployment::step(1), {{"workMs", 100}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", first, "completed"));
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(1), {{"workMs", 20}}).status);
    EXPECT_FALSE(Cluster::eventually([&] { return !deployment.runs.of(second).empty(); }, Millis(1'200)));
    deployment.minions[0]->list();
    EXPECT_TRUE(deployment.waitForState("plan", second, "completed"));
}

// Guards against a minion that gets no work any more because it was silent when its last poll loop ended: only an
// answer to a poll shows that it can be reached again.
TEST(CutOffMinion, GetsWorkAgainOnceItsEntryIsBack)
{
    DeploymentOptions options {1, 1};
    options.minionProxies = true;
    Deployment deployment(options);
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 1'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    deployment.minionProxies[0]->setSilent(true);
    deployment.store.put("keyed.servers", deployment.minions[0]->id(), "");
    const auto lapsed = [&] { return deployment.log(0).find("lease-lapsed unit=" + id) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(lapsed, Millis(12'000)));
    std::this_thread::sleep_for(Millis(2'000)); // longer than a poll, so that the loop has ended
    deployment.minionProxies[0]->setSilent(false);
    deployment.minionProxies[0]->cutOpen();
    deployment.minions[0]->list();
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against taking an answer that the protocol does not define for a refusal without effect.
TEST(LostRun, OfAStartWithAnUndefinedAnswerIsNotStartedElsewhere)
{
    Deployment deployment({1, 2});
    deployment.start();
    runShortJobs(deployment, 1);
    PlatformMinionFaults garbled;
    garbled.garbledStarts = 1;
    for (auto &minion : deployment.minions) {
        minion->setFaults(garbled);
    }
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 600}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against acknowledging, and then ignoring, the end of a run that was taken as lost: its task would be done
// twice.
TEST(LostRun, ThatTurnsOutToBeDoneEndsItsTask)
{
    DeploymentOptions options {1, 2};
    options.minionProxies = true;
    Deployment deployment(options);
    deployment.minions[1]->setCapacity(0, 0, 0);
    deployment.minions[1]->list();
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 1'200}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    deployment.minionProxies[0]->setSilent(true);
    const auto lapsed = [&] { return deployment.log(0).find("lease-lapsed unit=" + id) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(lapsed, Millis(12'000)));
    deployment.minionProxies[0]->setSilent(false);
    deployment.minionProxies[0]->cutOpen();
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
}

} // namespace

} // namespace Papaya::Testing
