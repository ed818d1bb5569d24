#include "deployment.h"

#include <gtest/gtest.h>

// Tests how long a planner that takes over waits for a minion that its predecessor has no longer reached, and that it
// waits long enough if the minion got leases again.

namespace Papaya::Testing
{

namespace
{

using Standins::nowMs;
using Standins::PlatformMinionFaults;

/** Two nodes and two minions; one of the minions runs the only task of a job. */
struct SilentMinion {
    void start()
    {
        for (auto &minion : deployment.minions) {
            minion->age(60'000); // a young instance may have a longer lease
            minion->list();
        }
        deployment.start();
        job = deployment.newId();
        ASSERT_EQ(200, deployment.submit(0, "plan", job, Deployment::step(1), {{"workMs", 30'000}}).status);
        ASSERT_TRUE(deployment.waitForRunCount(job, 1));
        name = deployment.runs.of(job).front().minion;
        leader = *deployment.leader();
    }

    /** Makes the minion answer no call, or answer again; its task goes on. */
    void setSilent(bool silent)
    {
        PlatformMinionFaults faults;
        faults.unresponsive = silent;
        deployment.minion(name).setFaults(faults);
    }

    /** Makes the minion silent and kills the planner, once planners before it can have renewed no lease for a while. */
    void loseWithPlanner()
    {
        std::this_thread::sleep_for(Millis(8'000));
        setSilent(true);
        deployment.nodes[leader]->kill();
    }

    bool isRecorded() const
    {
        return !deployment.store.newest("keyed.journal", "s/" + name).empty();
    }

    /** Waits for the second run. @return when it started; 0 on a time-out */
    std::int64_t secondStartMs()
    {
        const auto again = [&] { return deployment.runs.of(job).size() == 2; };
        return Cluster::eventually(again, Millis(25'000)) ? deployment.runs.of(job).back().startedMs : 0;
    }

    explicit SilentMinion(std::size_t nodes = 2)
        : deployment({nodes, 2})
    {
    }

    Deployment deployment;
    std::string job;
    std::string name; ///< of the minion with the task
    std::size_t leader = 0;
};

// Guards against waiting, after a take-over, for leases that the predecessor had long ceased to grant.
TEST(SilentMinion, IsWaitedForFromWhenItsLeasesWereNoLongerRenewed)
{
    SilentMinion minion;
    minion.start();
    minion.setSilent(true);
    const bool recorded = Cluster::eventually([&] { return minion.isRecorded(); }, Millis(5'000));
    const std::int64_t killedMs = nowMs();
    minion.deployment.nodes[minion.leader]->kill();
    const std::int64_t startedMs = minion.secondStartMs();
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - killedMs, 5'650 + 1'500); // one lease on the slowest clock, and some time to begin the run
    EXPECT_TRUE(recorded);
    EXPECT_TRUE(minion.deployment.runs.doubled().empty());
}

// Guards against waiting for leases that a predecessor might have renewed for some time, although its node says that
// its process has ended.
TEST(SilentMinion, IsWaitedForForOneLeaseOnceTheNodeOfThePredecessorRunsAgain)
{
    SilentMinion minion;
    minion.start();
    std::this_thread::sleep_for(Millis(8'000)); // a planner before the predecessor could renew leases for as long
    minion.setSilent(true);
    minion.deployment.nodes[minion.leader]->kill();
    const std::int64_t killedMs = nowMs();
    std::this_thread::sleep_for(Millis(1'500));
    minion.deployment.startNode(minion.leader);
    const std::int64_t startedMs = minion.secondStartMs();
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - killedMs, 1'500 + 5'650 + 2'000); // until the restart, one lease, and some time to begin
    EXPECT_TRUE(minion.deployment.runs.doubled().empty());
    EXPECT_EQ("lapsed", minion.deployment.runs.of(minion.job).front().how);
}

// Guards against a wait for leases that one of two planners which ended in series might have renewed for some time,
// although the nodes of both say that their processes have ended.
TEST(SilentMinion, IsWaitedForForOneLeaseOnceTheNodesOfTwoPredecessorsInSeriesRunAgain)
{
    SilentMinion minion(3);
    minion.start();
    Deployment &deployment = minion.deployment;
    minion.loseWithPlanner();
    const auto hasSuccessor = [&] { return deployment.leader() && *deployment.leader() != minion.leader; };
    ASSERT_TRUE(Cluster::eventually(hasSuccessor, Millis(5'000)));
    const std::size_t second = *deployment.leader();
    deployment.nodes[second]->kill();
    const std::int64_t killedMs = nowMs();
    std::this_thread::sleep_for(Millis(1'500));
    deployment.startNode(minion.leader);
    deployment.startNode(second);
    const std::int64_t startedMs = minion.secondStartMs();
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - killedMs, 1'500 + 5'650 + 2'000); // until the restart, one lease, and some time to begin
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ("lapsed", deployment.runs.of(minion.job).front().how);
}

// Guards against a wait for leases of a minion whose entry has been removed: a planner that took over after that knew
// neither how long the minion had been up nor that no planner since the first one had reached it.
TEST(SilentMinion, WhoseEntryIsRemovedIsWaitedForForOneLeaseAlsoByALaterPlanner)
{
    SilentMinion minion(3);
    minion.start();
    Deployment &deployment = minion.deployment;
    minion.loseWithPlanner();
    ASSERT_TRUE(Cluster::eventually([&] { return minion.isRecorded(); }, Millis(6'000)));
    deployment.store.put("keyed.servers", minion.name, "");
    deployment.startNode(minion.leader);
    const std::int64_t againMs = nowMs();
    const std::size_t second = *deployment.leader();
    ASSERT_NE(minion.leader, second);
    deployment.nodes[second]->kill(); // and does not come back
    const std::int64_t startedMs = minion.secondStartMs();
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - againMs, 5'650 + 2'000); // one lease, and some time to begin
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ("lapsed", deployment.runs.of(minion.job).front().how);
}

// Guards against a second run of a task whose minion was silent for a while, got leases again, and cannot be reached by
// the planner that takes over.
TEST(SilentMinion, ThatGotLeasesAgainIsWaitedForFromTheTakeOver)
{
    SilentMinion minion;
    minion.start();
    Standins::PlatformMinionStandin &standin = minion.deployment.minion(minion.name);
    minion.setSilent(true);
    ASSERT_TRUE(Cluster::eventually([&] { return minion.isRecorded(); }, Millis(5'000)));
    minion.setSilent(false);
    ASSERT_TRUE(Cluster::eventually([&] { return !minion.isRecorded(); }));
    const std::size_t polls = standin.pollsAnswered();
    ASSERT_TRUE(
        Cluster::eventually([&] { return standin.pollsAnswered() > polls + 1; })); // the second renews the lease
    minion.setSilent(true);
    minion.deployment.nodes[minion.leader]->kill();
    ASSERT_GT(minion.secondStartMs(), 0);
    EXPECT_TRUE(minion.deployment.runs.doubled().empty());
    EXPECT_EQ("lapsed", minion.deployment.runs.of(minion.job).front().how);
}

// A minion lists 500 ends at a time, and none is acknowledged while a start order is unanswered. Guards against tasks
// whose ends are beyond the first 500 being taken for lost and started again.
TEST(SilentMinion, ThatListsOnlyTheFirstEndsHasNoDoneTaskStartedAgain)
{
    constexpr std::uint32_t TASKS = 600;
    constexpr std::int64_t WORK_MS = 4'000;
    DeploymentOptions options;
    options.minions = 1;
    Deployment deployment(options);
    deployment.start();
    const std::string job = deployment.newId();
    ASSERT_EQ(
        200, deployment.submit(0, "batch", job, {Deployment::step(TASKS, {50, 100, 0})}, {{"workMs", WORK_MS}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(job, TASKS));
    // The start order must be unanswered while the tasks end.
    const std::int64_t endMs = deployment.runs.of(job).front().startedMs + WORK_MS;
    std::this_thread::sleep_for(Millis(endMs - 150 - nowMs()));
    Standins::PlatformMinionFaults faults;
    faults.lateStarts = 1;
    faults.lateMs = 4'500;
    deployment.minions.front()->setFaults(faults);
    const std::string late = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "batch", late, {Deployment::step(1, {50, 100, 0})}).status);
    EXPECT_TRUE(deployment.waitForState("batch", job, "completed", Millis(20'000)));
    EXPECT_EQ(TASKS, deployment.runs.of(job).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

} // namespace

} // namespace Papaya::Testing
