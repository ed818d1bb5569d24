#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <set>
#include <thread>

// Tests the planner of jobs of steps when its node is killed, frozen, cut off from minions or stopped. Most checks use
// the runs that the minion stand-ins recorded.

namespace Papaya::Testing
{

namespace
{

using Standins::PlatformMinionFaults;
using Standins::StoreFaults;
using Standins::TaskRun;

TEST(StepPlanner, ThatIsKilledIsReplacedAndItsRunsContinue)
{
    Deployment deployment({3, 3});
    deployment.start();
    const std::string id = deployment.newId();
    const Json work = {{"workMs", 3'000}, {"gang", 3}};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(3, {}, {{"gang", true}})}, work).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 3));
    const std::size_t leader = *deployment.leader();
    deployment.nodes[leader]->kill();
    const std::size_t other = (leader + 1) % 3;
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(10'000), other));
    EXPECT_EQ(3U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepPlanner, ThatIsKilledDuringAStartLosesNoJobAndDuplicatesNoTask)
{
    for (const int afterMs : {0, 4, 8, 12, 20, 40}) {
        Deployment deployment({2, 3});
        deployment.start();
        const std::size_t leader = *deployment.leader();
        const std::size_t other = 1 - leader;
        const std::string id = deployment.newId();
        const Json steps = {Deployment::step(3, {}, {{"gang", true}}), Deployment::step(4)};
        ASSERT_EQ(200, deployment.submit(other, "plan", id, steps, {{"workMs", 400}}).status);
        std::this_thread::sleep_for(Millis(afterMs)); // puts the kill at another step of the start in each round
        deployment.nodes[leader]->kill();
        EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(12'000), other)) << afterMs;
        EXPECT_TRUE(deployment.runs.doubled().empty()) << afterMs;
    }
}

TEST(StepPlanner, ThatIsKilledBetweenAMembersFailureAndTheEndOfItsGangStillCountsTheAttempt)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    // Each member needs all accelerators of a minion. The queue allows two attempts.
    const Json steps = {Deployment::step(3, {1'000, 1'000, 8}, {{"gang", true}})};
    ASSERT_EQ(200, deployment.submit(other, "plan", id, steps, {{"workMs", 20'000}, {"gang", 3}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 3));
    PlatformMinionFaults failing;
    failing.failAll = true;
    PlatformMinionFaults unresponsive;
    unresponsive.unresponsive = true;
    deployment.minion(deployment.runs.of(id)[1].minion).setFaults(unresponsive); // delays the end of the gang
    auto &first = deployment.minion(deployment.runs.of(id)[0].minion);
    first.setFaults(failing);
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.runs.of(id)[0].how == "failed" && first.unacknowledgedEnds() == 0; }));
    deployment.nodes[leader]->kill();
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }));
    for (auto &minion : deployment.minions) {
        minion->setFaults({});
    }
    const auto secondRun = [&] {
        const auto runs = deployment.runs.of(id);
        return std::count_if(runs.begin(), runs.end(),
                             [](const TaskRun &run) { return run.run == 2 && run.endedMs == 0; })
               == 3;
    };
    ASSERT_TRUE(Cluster::eventually(secondRun));
    for (auto &minion : deployment.minions) {
        minion->setFaults(failing);
    }
    ASSERT_TRUE(deployment.waitForState("plan", id, "failed", Millis(15'000), other));
    std::set<std::uint32_t> failed;
    for (const TaskRun &run : deployment.runs.of(id)) {
        if (run.how == "failed") {
            failed.insert(run.run);
        }
    }
    EXPECT_EQ(2U, failed.size());
}

TEST(StepPlanner, ThatIsFrozenIsReplacedAndChangesNothingWhenResumed)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", id, {Deployment::step(6)}, {{"workMs", 2'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 6));
    deployment.nodes[leader]->signal(SIGSTOP);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }));
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", second, {Deployment::step(3)}, {{"workMs", 500}}).status);
    ASSERT_TRUE(deployment.waitForState("plan", second, "completed", Millis(8'000), other));
    deployment.nodes[leader]->signal(SIGCONT);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(8'000), other));
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(8'000), leader));
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ(other, *deployment.leader());
}

TEST(StepPlanner, IsNotReplacedByAClaimThatIsAppendedLate)
{
    // Either node may make the claim that is appended late, so its epoch is the higher one in about half of the rounds.
    for (int round = 0; round < 4; ++round) {
        Deployment deployment({2, 1});
        StoreFaults late;
        late.lateAppends = 1;
        late.lateMs = 900;
        deployment.store.setFaults(late);
        deployment.start();
        const std::size_t leader = *deployment.leader();
        std::this_thread::sleep_for(Millis(1'200)); // the delayed claim is appended meanwhile
        EXPECT_EQ(leader, deployment.leader().value_or(9));
        const std::string log = deployment.log(leader);
        EXPECT_EQ(std::string::npos, log.find("event=leadership-lost"));
        EXPECT_EQ(std::string::npos, log.find("event=planner-lost"));
    }
}

// Guards against two planners with one epoch: the store answers the second of two equal claims as a repeat of the
// first.
TEST(StepPlanner, DoesNotBeginOnAClaimThatAnotherNodeHasMadeWithTheSameEpoch)
{
    Deployment deployment({1, 1});
    StoreFaults faults;
    faults.stolenClaims = 1;
    deployment.store.setFaults(faults);
    deployment.configure();
    deployment.startNode(0);
    const auto logged = [&](const std::string &text) { return deployment.log(0).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("planner-begun"); }));
    const std::string log = deployment.log(0);
    EXPECT_LT(log.find("planner-claim-failed"), log.find("planner-begun"));
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1)).status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

TEST(StepPlanner, ThatCannotReachAMinionWaitsUntilItsPredecessorsLeasesHaveExpired)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", id, {Deployment::step(1)}, {{"workMs", 4'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    PlatformMinionFaults unresponsive;
    unresponsive.unresponsive = true;
    unresponsive.hang = true;
    deployment.minion(deployment.runs.of(id).front().minion).setFaults(unresponsive);
    deployment.nodes[leader]->kill();
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(30'000), other));
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ(2U, deployment.runs.of(id).size());
}

// Guards against each of several short-lived planners waiting anew for the leases of a minion that none has reached.
TEST(StepPlanner, ThatIsReplacedSoonPassesOnHowLongAMinionHasBeenSilent)
{
    Deployment deployment({3, 3});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 4'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    PlatformMinionFaults unresponsive;
    unresponsive.unresponsive = true;
    unresponsive.hang = true;
    deployment.minion(deployment.runs.of(id).front().minion).setFaults(unresponsive);
    const std::int64_t begun = Standins::nowMs();
    std::set<std::size_t> dead;
    for (int i = 0; i < 2; ++i) {
        const std::size_t leader = *deployment.leader();
        deployment.nodes[leader]->kill();
        dead.insert(leader);
        ASSERT_TRUE(Cluster::eventually([&] { return !dead.contains(deployment.leader().value_or(leader)); }));
        std::this_thread::sleep_for(Millis(i == 0 ? 7'000 : 0)); // the second planner lives for that long
    }
    const auto second = [&] { return deployment.runs.of(id).size() == 2; };
    ASSERT_TRUE(Cluster::eventually(second, Millis(20'000)));
    // The first take-over and the wait that follows it, and 3 s more. A wait that began anew would take 7 s longer.
    EXPECT_LT(deployment.runs.of(id).back().startedMs - begun, 1'500 + 13'650 + 3'000);
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against a successor waiting for the lease of a member of which its predecessor knew that it had ended.
TEST(StepPlanner, DoesNotWaitForAMemberThatItsPredecessorKnewToHaveEnded)
{
    Deployment deployment({2, 5});
    for (auto &minion : deployment.minions) {
        minion->age(60'000); // a young instance may have a longer lease
        minion->list();
    }
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(2, {1'000, 1'000, 8}, {{"gang", true}})}; // a minion for each member
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps, {{"workMs", 20'000}, {"gang", 2}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 2));
    const auto first = deployment.runs.of(id);
    deployment.minion(first[0].minion).powerOff();
    PlatformMinionFaults failing;
    failing.failAll = true;
    auto &survivor = deployment.minion(first[1].minion);
    const std::string unit = "u/" + id + ".0.0.g";
    const std::string placed = deployment.store.newest("keyed.journal", unit);
    ASSERT_FALSE(placed.empty());
    survivor.setFaults(failing);
    const auto endIsRecorded = [&] {
        const std::string record = deployment.store.newest("keyed.journal", unit);
        return record != placed && record.find(survivor.id()) == std::string::npos;
    };
    ASSERT_TRUE(Cluster::eventually([&] { return survivor.unacknowledgedEnds() == 0 && endIsRecorded(); }));
    const auto silenceIsRecorded = [&] {
        return !deployment.store.newest("keyed.journal", "s/" + first[0].minion).empty();
    };
    ASSERT_TRUE(Cluster::eventually(silenceIsRecorded));
    survivor.powerOff();
    const std::int64_t calmSinceMs = Standins::nowMs();
    deployment.nodes[leader]->kill();
    const auto secondRun = [&] { return deployment.runs.of(id).size() == 4; };
    ASSERT_TRUE(Cluster::eventually(secondRun, Millis(20'000)));
    EXPECT_LT(deployment.runs.of(id)[2].startedMs - calmSinceMs, 7'000);
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against a lease being granted while a successor may count the minion as silent.
TEST(StepPlanner, RenewsTheLeasesOfAMinionThatItReachesLate)
{
    Deployment deployment({2, 2});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 9'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    const std::string name = deployment.runs.of(id).front().minion;
    PlatformMinionFaults unresponsive;
    unresponsive.unresponsive = true;
    deployment.minion(name).setFaults(unresponsive);
    deployment.nodes[leader]->kill();
    const auto isRecorded = [&] { return !deployment.store.newest("keyed.journal", "s/" + name).empty(); };
    ASSERT_TRUE(Cluster::eventually(isRecorded));
    deployment.minion(name).setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return !isRecorded(); }));
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(15'000), 1 - leader));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
}

TEST(StepPlanner, ThatIsKilledIsReplacedByTheStrongestNodeAlsoWhileTheJournalIsWrittenToAllTheTime)
{
    for (int round = 0; round < 5; ++round) {
        DeploymentOptions options {8, 1};
        options.cores = {0.5, 0.5, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12};
        Deployment deployment(options);
        deployment.start();
        const std::size_t leader = *deployment.leader();
        ASSERT_LT(leader, 2U);
        std::atomic<bool> writing = true;
        std::thread writer([&] {
            while (writing) {
                deployment.store.put("keyed.journal", "c", "an older configuration");
                std::this_thread::sleep_for(Millis(4));
            }
        });
        deployment.nodes[leader]->kill();
        EXPECT_TRUE(Cluster::eventually([&] { return deployment.leader() != leader; }));
        EXPECT_EQ(1 - leader, *deployment.leader()) << "round " << round;
        writing = false;
        writer.join();
    }
}

TEST(StepPlanner, IsClaimedOnceWhenManyNodesStartTogether)
{
    for (int round = 0; round < 5; ++round) {
        Deployment deployment({12, 1});
        StoreFaults slow;
        slow.delayMs = 12;
        deployment.store.setFaults(slow);
        deployment.start();
        const std::string id = deployment.newId();
        ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1)).status);
        ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
        std::size_t begun = 0;
        for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
            begun += deployment.log(i).find("planner-begun") != std::string::npos ? 1 : 0;
        }
        EXPECT_EQ(1U, begun) << "round " << round;
    }
}

TEST(StepPlanner, ResignsOnSigtermAndAcceptsJobsWhileItDrains)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(leader, "plan", id, {Deployment::step(3)}, {{"workMs", 1'500}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 3));
    deployment.nodes[leader]->signal(SIGTERM);
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }, Millis(1'500)));
    // The node still accepts jobs until the load balancer has seen that it is not ready.
    EXPECT_EQ(200, deployment.submit(leader, "plan", deployment.newId(), {Deployment::step(1)}).status);
    EXPECT_FALSE(deployment.ready(leader));
    EXPECT_EQ(0, deployment.nodes[leader]->waitForExit(Millis(4'000)).value_or(-1));
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(8'000), other));
    EXPECT_EQ(3U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

} // namespace

} // namespace Papaya::Testing
