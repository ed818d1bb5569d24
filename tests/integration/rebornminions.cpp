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

/** @return true if the log of node 0 has @p text, at once or within @p limit. */
bool isLogged(Deployment &deployment, const std::string &text, Millis limit = Millis(8'000), std::size_t node = 0)
{
    return Cluster::eventually([&] { return deployment.log(node).find(text) != std::string::npos; }, limit);
}

/** Makes a minion fit for every task of a test, or for none. */
void setRoom(Standins::PlatformMinionStandin &minion, bool fits)
{
    minion.setCapacity(fits ? 64'000 : 0, fits ? 131'072 : 0, fits ? 8 : 0);
    minion.list();
}

/** Two minions, of which only the first has room for tasks until a test changes that. */
struct TwoMinions {
    explicit TwoMinions(const DeploymentOptions &options)
        : deployment(options)
        , late(*deployment.minions[0])
        , other(*deployment.minions[1])
    {
        setRoom(other, false);
        deployment.start();
    }

    /**
     * Submits a job whose start order the first minion carries out @p lateMs later, on whichever of its instances runs
     * then.
     * @return the job
     */
    std::string submitWithLateStart(std::int64_t lateMs, std::int64_t workMs)
    {
        PlatformMinionFaults faults;
        faults.lateStarts = LATE_ORDERS;
        faults.lateMs = lateMs;
        late.setFaults(faults);
        std::string id = deployment.newId();
        EXPECT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", workMs}}).status);
        return id;
    }

    /**
     * Submits a job whose start order the first minion carries out 7 s later. The planner stops that run, and the task
     * runs on the other minion.
     * @return the job
     */
    std::string runElsewhere()
    {
        std::string id = submitWithLateStart(7'000, 9'000);
        EXPECT_TRUE(isLogged(deployment, "reason=start-in-doubt"));
        late.setFaults({});
        setRoom(late, false);
        setRoom(other, true);
        EXPECT_TRUE(deployment.waitForRunCount(id, 1));
        return id;
    }

    bool waitForLateOrders() const
    {
        return Cluster::eventually([&] { return late.lateOrdersCarriedOut() == LATE_ORDERS; }, Millis(12'000));
    }

    /** Waits until the late orders have been carried out, and checks that they began no run. */
    void expectOneRun(const std::string &id)
    {
        EXPECT_TRUE(waitForLateOrders());
        EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(14'000)));
        EXPECT_EQ(1U, deployment.runs.of(id).size());
        EXPECT_TRUE(deployment.runs.doubled().empty());
    }

    /** Cuts the first minion off, and checks that its task @p id runs elsewhere only once its lease has expired. */
    void expectNoOverlapOnceCutOff(const std::string &id, Millis limit)
    {
        deployment.minionProxies[0]->setSilent(true);
        setRoom(other, true);
        ASSERT_TRUE(Cluster::eventually([&] { return deployment.runs.of(id).size() == 2; }, limit));
        EXPECT_TRUE(deployment.runs.doubled().empty());
    }

    static constexpr std::size_t LATE_ORDERS = 2; // a start order without an answer is sent twice

    Deployment deployment;
    Standins::PlatformMinionStandin &late;
    Standins::PlatformMinionStandin &other;
};

DeploymentOptions withMinionProxies(std::size_t nodes, std::size_t minions)
{
    DeploymentOptions options {nodes, minions};
    options.minionProxies = true;
    return options;
}

// Guards against a second run of a task by a late start order: the minion has confirmed that it will not run, but its
// new instance has forgotten the stop.
TEST(RebornMinion, RefusesAStartThatWasSentToItsFormerInstance)
{
    TwoMinions minions({1, 2});
    runShortJobs(minions.deployment, 1);
    const std::string id = minions.runElsewhere();
    minions.late.restart();
    ASSERT_TRUE(Cluster::eventually([&] { return minions.late.highestFence() > 0; }, Millis(2'000)));
    minions.expectOneRun(id);
}

// Guards against the same second run if a report shows the restart: the poll that it answers carried the former fence.
TEST(RebornMinion, RefusesAStartThatWasSentToItsFormerInstanceIfAReportShowsTheRestart)
{
    TwoMinions minions({1, 2});
    const std::string polled = minions.deployment.newId();
    ASSERT_EQ(200, minions.deployment.submit(0, "plan", polled, Deployment::step(1), {{"workMs", 9'000}}).status);
    ASSERT_TRUE(minions.deployment.waitForRunCount(polled, 1));
    const std::string id = minions.runElsewhere();
    minions.late.restartUnlisted();
    ASSERT_TRUE(isLogged(minions.deployment, "minion-reborn"));
    minions.expectOneRun(id);
}

// Guards against the same second run if nothing else makes the planner poll the minion, and its entry comes later.
TEST(RebornMinion, RefusesAStartThatWasSentToItsFormerInstanceIfItIsIdle)
{
    TwoMinions minions({1, 2});
    runShortJobs(minions.deployment, 1);
    const std::string id = minions.runElsewhere();
    // The poll that was in flight when the run was stopped must not be the one that shows the restart.
    const std::size_t polls = minions.late.pollsAnswered();
    ASSERT_TRUE(Cluster::eventually([&] { return minions.late.pollsAnswered() > polls; }));
    minions.late.restartUnlisted();
    minions.expectOneRun(id);
}

// Guards against a lease that lasts longer than the planner takes into account: an order to the former instance, whose
// end of the lease is a time on the former clock, must not extend the lease of the new one.
TEST(RebornMinion, TakesNoLeaseFromAnOrderToItsFormerInstance)
{
    TwoMinions minions(withMinionProxies(1, 2));
    Deployment &deployment = minions.deployment;
    runShortJobs(deployment, 1);
    const std::string first = minions.submitWithLateStart(4'000, 9'000);
    ASSERT_TRUE(isLogged(deployment, "reason=start-in-doubt"));
    minions.late.setFaults({});
    minions.late.restart();
    ASSERT_TRUE(isLogged(deployment, "minion-reborn"));
    ASSERT_EQ(200, deployment.call(0, "DELETE", "plan", first).status);
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(1), {{"workMs", 30'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(second, 1));
    ASSERT_TRUE(minions.waitForLateOrders());
    minions.expectNoOverlapOnceCutOff(second, Millis(16'000));
}

// Guards against the same longer lease if the order reaches the new instance before a successor of its sender does.
TEST(RebornMinion, MayHaveALongLeaseWhenASuccessorReachesIt)
{
    TwoMinions minions(withMinionProxies(2, 2));
    Deployment &deployment = minions.deployment;
    runShortJobs(deployment, 1);
    const std::size_t former = deployment.leader().value_or(0);
    const std::size_t successor = 1 - former;
    const std::string id = minions.submitWithLateStart(600, 30'000);
    ASSERT_TRUE(isLogged(deployment, "unit-ordered unit=" + id, Millis(8'000), former));
    deployment.nodes[former]->kill();
    minions.late.restart();
    ASSERT_TRUE(isLogged(deployment, "planner-begun", Millis(8'000), successor));
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    ASSERT_TRUE(Cluster::eventually([&] { return minions.late.highestFence() > 0; }));
    minions.expectNoOverlapOnceCutOff(id, Millis(20'000));
}

// Guards against a second run of a task that is done: a long poll to the former instance of a minion reaches the new
// one, and makes it forget each end as it appears.
TEST(RebornMinion, GetsNoWorkWhileAPollOfItsFormerInstanceMayHideEnds)
{
    Deployment deployment({1, 1});
    deployment.start();
    runShortJobs(deployment, 3);
    Standins::PlatformMinionStandin &minion = *deployment.minions.front();
    const std::string lasting = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", lasting, Deployment::step(1), {{"workMs", 6'000}}).status);
    const std::string ending = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", ending, Deployment::step(1), {{"workMs", 600}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(ending, 1));
    ASSERT_TRUE(Cluster::eventually([&] { return minion.pollsHeld() == 1; }));
    PlatformMinionFaults slow;
    slow.slowPolls = 1;
    slow.lateMs = 150;
    minion.setFaults(slow);
    // The poll that acknowledges the end is on its way when the minion restarts.
    ASSERT_TRUE(Cluster::eventually([&] { return minion.pollsDelayed() == 1; }));
    minion.restartUnlisted();
    ASSERT_TRUE(Cluster::eventually([&] { return minion.pollsHeld() == 1; }));
    const std::string after = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", after, Deployment::step(2), {{"workMs", 100}}).status);
    minion.list();
    EXPECT_TRUE(deployment.waitForState("plan", after, "completed"));
    EXPECT_EQ(2U, deployment.runs.of(after).size());
    EXPECT_TRUE(deployment.waitForState("plan", lasting, "completed", Millis(12'000)));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against a minion that gets no work any more because it was silent when its last poll loop ended: only an
// answer to a poll shows that it can be reached again.
TEST(CutOffMinion, GetsWorkAgainOnceItsEntryIsBack)
{
    Deployment deployment(withMinionProxies(1, 1));
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 1'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    deployment.minionProxies[0]->setSilent(true);
    deployment.store.put("keyed.servers", deployment.minions[0]->id(), "");
    ASSERT_TRUE(isLogged(deployment, "lease-lapsed unit=" + id, Millis(12'000)));
    const std::size_t lapsedAt = deployment.log(0).find("lease-lapsed unit=" + id);
    const auto pollsNoMore = [&] { return deployment.log(0).find(" polls=0 ", lapsedAt) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(pollsNoMore)); // in a second
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
