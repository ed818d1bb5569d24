#include "deployment.h"

#include <gtest/gtest.h>

#include <thread>

// Tests that a node shows callers only what the store has acknowledged. What a planner has decided but not stored is
// unknown to a successor, which may run the task again.

namespace Papaya::Testing
{

namespace
{

using Standins::StoreFaults;

const char *const COMPLETED = "completed";

/** Submits a job of one task and waits until the task runs. @return the id of the job */
std::string startJob(Deployment &deployment, std::size_t node, int workMs)
{
    std::string id = deployment.newId();
    EXPECT_EQ(200, deployment.submit(node, "plan", id, Deployment::step(1), {{"workMs", workMs}}).status);
    EXPECT_TRUE(deployment.waitForRunCount(id, 1));
    return id;
}

bool taskHasEnded(const Deployment &deployment, const std::string &id)
{
    return deployment.runs.of(id).front().endedMs != 0;
}

// Guards against showing a job as completed before the end of its last task is in the journal.
TEST(StoredStates, OfAJobIsCompletedOnlyOnceItsLastEndIsStored)
{
    Deployment deployment({1, 1});
    deployment.start();
    const std::string id = startJob(deployment, 0, 600);
    StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    deployment.store.setFaults(faults);
    ASSERT_TRUE(Cluster::eventually([&] { return taskHasEnded(deployment, id); }));
    EXPECT_FALSE(deployment.waitForState("plan", id, COMPLETED, Millis(1'000)));
    EXPECT_EQ("running", deployment.state(0, "plan", id));
    const Answer shown = deployment.callOperatorApi(0, "GET", "/v1/jobs/" + id);
    EXPECT_EQ("running", shown.json().value("state", ""));
    EXPECT_EQ(1, shown.json().value("unitsLeft", 0));
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitForState("plan", id, COMPLETED));
}

// Guards against a node that has lost the lead, and cannot read the journal, showing what it never stored.
TEST(StoredStates, AreWhatAFormerPlannerShowsWhileItIsCutOff)
{
    DeploymentOptions options {2, 2};
    options.storeProxies = true;
    Deployment deployment(options);
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = startJob(deployment, other, 900);
    Standins::PlatformMinionStandin &minion = deployment.minion(deployment.runs.of(id).front().minion);
    deployment.storeProxies[leader]->setSilent(true);
    ASSERT_TRUE(Cluster::eventually([&] { return taskHasEnded(deployment, id); }));
    // The end is read by the planner that is cut off, and by no other.
    ASSERT_TRUE(
        Cluster::eventually([&] { return deployment.log(leader).find("run-ended task=" + id) != std::string::npos; }));
    EXPECT_NE(COMPLETED, deployment.state(leader, "plan", id));
    minion.powerOff();
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }));
    EXPECT_FALSE(deployment.waitForState("plan", id, COMPLETED, Millis(1'500), leader));
    deployment.storeProxies[leader]->setSilent(false);
    EXPECT_TRUE(deployment.waitForState("plan", id, COMPLETED, Millis(25'000), other));
    EXPECT_TRUE(deployment.waitForState("plan", id, COMPLETED, Millis(5'000), leader));
}

// Guards against a node that leads forgetting an ended job before the store has acknowledged that.
TEST(StoredStates, OfEndedJobsAreKeptUntilTheirDeletionIsStored)
{
    DeploymentOptions options {1, 1};
    options.keepEndedMs = 1'500;
    Deployment deployment(options);
    deployment.start();
    const std::string id = startJob(deployment, 0, 50);
    ASSERT_TRUE(deployment.waitForState("plan", id, COMPLETED));
    StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    deployment.store.setFaults(faults);
    EXPECT_FALSE(
        Cluster::eventually([&] { return deployment.call(0, "GET", "plan", id).status == 410; }, Millis(3'500)));
    deployment.store.setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.call(0, "GET", "plan", id).status == 410; }));
}

} // namespace

} // namespace Papaya::Testing
