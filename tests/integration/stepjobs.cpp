#include "deployment.h"

#include <gtest/gtest.h>

#include <csignal>

#include <algorithm>
#include <set>

// Jobs of steps on the users' platform. The judge is what the minions saw.

namespace Papaya::Testing
{

namespace
{

using Standins::PlatformMinionFaults;
using Standins::StoreFaults;
using Standins::TaskRun;

bool running(Deployment &deployment, const std::string &id, std::size_t count)
{
    return Cluster::eventually([&] {
        const auto runs = deployment.runs.of(id);
        return static_cast<std::size_t>(
                   std::count_if(runs.begin(), runs.end(), [](const TaskRun &run) { return run.endedMs == 0; }))
               == count;
    });
}

std::size_t doneRuns(Deployment &deployment, const std::string &id)
{
    const auto runs = deployment.runs.of(id);
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [](const TaskRun &run) { return run.how == "done"; }));
}

TEST(StepJobs, RunStepsInOrderAndEachTaskOnce)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(4), Deployment::step(3, {}, {{"dependsOn", {0}}})};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps).status);
    ASSERT_TRUE(deployment.becomes("plan", id, "completed"));
    EXPECT_TRUE(deployment.becomes("plan", id, "completed", Millis(3'000), 1));
    EXPECT_EQ(7U, doneRuns(deployment, id));
    EXPECT_EQ(7U, deployment.runs.of(id).size());
    std::int64_t firstEnd = 0;
    for (const TaskRun &run : deployment.runs.of(id + ".0.0.")) {
        firstEnd = std::max(firstEnd, run.endedMs);
    }
    for (const TaskRun &run : deployment.runs.of(id + ".0.1.")) {
        EXPECT_GE(run.startedMs, firstEnd) << run.task;
    }
    // Every end is acknowledged in the end.
    EXPECT_TRUE(Cluster::eventually([&] {
        return std::all_of(deployment.minions.begin(), deployment.minions.end(),
                           [](const auto &minion) { return minion->endsListed() == 0; });
    }));
}

TEST(StepJobs, OfScheduledTimesStartNoOccurrenceEarly)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const std::int64_t first = Standins::nowMs() + 600;
    const Json times = {{"runCount", 3}, {"firstRunMs", first}, {"intervalMs", 300}};
    ASSERT_EQ(200, deployment.submit(0, "batch", id, {Deployment::step(1)}, {{"workMs", 50}}, times).status);
    ASSERT_TRUE(deployment.becomes("batch", id, "completed"));
    const auto runs = deployment.runs.of(id);
    ASSERT_EQ(3U, runs.size());
    for (const TaskRun &run : runs) {
        const int occurrence = std::stoi(run.task.substr(id.size() + 1));
        EXPECT_GE(run.startedMs, first + 300 * occurrence) << run.task;
        EXPECT_LE(run.startedMs, first + 300 * occurrence + 600) << run.task;
    }
}

TEST(StepJobs, AreKnownOnceHoweverOftenTheyAreHandedIn)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(200, deployment.submit(static_cast<std::size_t>(i % 2), "plan", id, {Deployment::step(2)}).status);
    }
    ASSERT_TRUE(deployment.becomes("plan", id, "completed"));
    EXPECT_EQ(200, deployment.submit(1, "plan", id, {Deployment::step(2)}).status);
    EXPECT_EQ(2U, deployment.runs.of(id).size());
}

TEST(StepJobs, AreRefusedForUnknownQueuesAndKeysAndBadBodies)
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

TEST(StepJobs, CancelledStopEvenAsAGang)
{
    Deployment deployment;
    deployment.start();
    for (const bool gang : {false, true}) {
        const std::string id = deployment.newId();
        const Json work = {{"workMs", 30'000}, {"gang", gang ? 3 : 1}};
        ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(3, {}, {{"gang", gang}})}, work).status);
        ASSERT_TRUE(running(deployment, id, 3));
        EXPECT_EQ(200, deployment.call(1, "DELETE", "plan", id).status);
        EXPECT_TRUE(running(deployment, id, 0)) << (gang ? "gang" : "tasks");
        EXPECT_TRUE(deployment.becomes("plan", id, "cancelled"));
    }
}

TEST(StepJobs, ThatFailEveryAttemptAreShownAsFailed)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 50}, {"fails", 9}}).status);
    ASSERT_TRUE(deployment.becomes("plan", id, "failed"));
    EXPECT_EQ(2U, deployment.runs.of(id).size());
    const std::string other = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", other, {Deployment::step(1)}, {{"workMs", 50}, {"fails", 1}}).status);
    EXPECT_TRUE(deployment.becomes("plan", other, "completed"));
}

TEST(StepJobs, ThatEndedLongAgoAreForgottenEverywhere)
{
    DeploymentOptions options;
    options.keepEndedMs = 700;
    Deployment deployment(options);
    deployment.start();
    const std::string ended = deployment.newId();
    const std::string open = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", ended, {Deployment::step(2)}).status);
    ASSERT_EQ(200, deployment.submit(0, "plan", open, {Deployment::step(1)}, {{"workMs", 20'000}}).status);
    ASSERT_TRUE(deployment.becomes("plan", ended, "completed"));
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

TEST(StepJobs, OfASilentMinionRunAgainElsewhereOnceItsLeaseHasLapsed)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 2'500}}).status);
    ASSERT_TRUE(running(deployment, id, 1));
    PlatformMinionFaults deaf;
    deaf.deaf = true;
    deaf.hang = true;
    deployment.minion(deployment.runs.of(id).front().minion).setFaults(deaf);
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(16'000)));
    EXPECT_EQ(2U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, WhoseStartsAreCarriedOutLateRunOnce)
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
        EXPECT_TRUE(deployment.becomes("plan", id, "completed", Millis(15'000)));
        EXPECT_EQ(2U, doneRuns(deployment, id));
    }
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, OfAMinionThatStartsAgainUnderItsIdRunAgain)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(2)}, {{"workMs", 1'500}}).status);
    ASSERT_TRUE(running(deployment, id, 2));
    deployment.minion(deployment.runs.of(id).front().minion).reborn();
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(10'000)));
    EXPECT_EQ(2U, doneRuns(deployment, id));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, OfADrainingMinionMoveFromTheirCheckpoints)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(1, {}, {{"checkpointing", true}, {"estimateMs", 6'000}})};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps, {{"workMs", 6'000}}).status);
    ASSERT_TRUE(running(deployment, id, 1));
    const std::string first = deployment.runs.of(id).front().minion;
    deployment.minion(first).drain(2'500);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.runs.of(id).size() == 2; }));
    const TaskRun moved = deployment.runs.of(id).back();
    EXPECT_NE(first, moved.minion);
    EXPECT_NE("", moved.checkpoint);
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepJobs, OfLessUrgencyMakeWayForUrgentOnes)
{
    Deployment deployment;
    deployment.start();
    const std::string batch = deployment.newId();
    const Json long1 = {{"workMs", 60'000}};
    ASSERT_EQ(200, deployment.submit(0, "batch", batch, {Deployment::step(24, {1'000, 1'000, 1})}, long1).status);
    ASSERT_TRUE(running(deployment, batch, 24));
    const std::string urgent = deployment.newId();
    const std::int64_t accepted = Standins::nowMs();
    ASSERT_EQ(
        200, deployment.submit(0, "urgent", urgent, {Deployment::step(1, {1'000, 1'000, 8}, {{"gang", true}})}).status);
    ASSERT_TRUE(deployment.becomes("urgent", urgent, "completed"));
    EXPECT_LE(deployment.runs.of(urgent).front().startedMs - accepted, 2'700);
    // No more was stopped than the urgent job needs.
    EXPECT_TRUE(running(deployment, batch, 24));
    const auto runs = deployment.runs.of(batch);
    EXPECT_EQ(8, std::count_if(runs.begin(), runs.end(), [](const TaskRun &run) { return run.how == "stopped"; }));
}

// --- The planner ---

TEST(StepPlanner, KilledIsReplacedAndItsRunsAreTakenOver)
{
    Deployment deployment({3, 3});
    deployment.start();
    const std::string id = deployment.newId();
    const Json work = {{"workMs", 3'000}, {"gang", 3}};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(3, {}, {{"gang", true}})}, work).status);
    ASSERT_TRUE(running(deployment, id, 3));
    const std::size_t leader = *deployment.leader();
    deployment.nodes[leader]->kill();
    const std::size_t other = (leader + 1) % 3;
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(10'000), other));
    EXPECT_EQ(3U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepPlanner, KilledAtAnyMomentOfAStartLeavesNothingDoubledOrLost)
{
    for (const int afterMs : {0, 4, 8, 12, 20, 40}) {
        Deployment deployment({2, 3});
        deployment.start();
        const std::size_t leader = *deployment.leader();
        const std::size_t other = 1 - leader;
        const std::string id = deployment.newId();
        const Json steps = {Deployment::step(3, {}, {{"gang", true}}), Deployment::step(4)};
        ASSERT_EQ(200, deployment.submit(other, "plan", id, steps, {{"workMs", 400}}).status);
        std::this_thread::sleep_for(Millis(afterMs)); // the moment is what is tested
        deployment.nodes[leader]->kill();
        EXPECT_TRUE(deployment.becomes("plan", id, "completed", Millis(12'000), other)) << afterMs;
        EXPECT_TRUE(deployment.runs.doubled().empty()) << afterMs;
    }
}

TEST(StepPlanner, KilledBetweenAMembersFailureAndTheEndOfItsGangForgetsNoAttempt)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    // One member to a minion; the job may fail twice.
    const Json steps = {Deployment::step(3, {1'000, 1'000, 8}, {{"gang", true}})};
    ASSERT_EQ(200, deployment.submit(other, "plan", id, steps, {{"workMs", 20'000}, {"gang", 3}}).status);
    ASSERT_TRUE(running(deployment, id, 3));
    PlatformMinionFaults failing;
    failing.failAll = true;
    PlatformMinionFaults deaf;
    deaf.deaf = true;
    deployment.minion(deployment.runs.of(id)[1].minion).setFaults(deaf); // it holds the gang's end up
    auto &first = deployment.minion(deployment.runs.of(id)[0].minion);
    first.setFaults(failing);
    ASSERT_TRUE(
        Cluster::eventually([&] { return deployment.runs.of(id)[0].how == "failed" && first.endsListed() == 0; }));
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
    ASSERT_TRUE(deployment.becomes("plan", id, "failed", Millis(15'000), other));
    std::set<std::uint32_t> failed;
    for (const TaskRun &run : deployment.runs.of(id)) {
        if (run.how == "failed") {
            failed.insert(run.run);
        }
    }
    EXPECT_EQ(2U, failed.size());
}

TEST(StepPlanner, FrozenIsReplacedAndChangesNothingWhenItWakes)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", id, {Deployment::step(6)}, {{"workMs", 2'500}}).status);
    ASSERT_TRUE(running(deployment, id, 6));
    deployment.nodes[leader]->signal(SIGSTOP);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }));
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", second, {Deployment::step(3)}, {{"workMs", 500}}).status);
    ASSERT_TRUE(deployment.becomes("plan", second, "completed", Millis(8'000), other));
    deployment.nodes[leader]->signal(SIGCONT);
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(8'000), other));
    EXPECT_TRUE(deployment.becomes("plan", id, "completed", Millis(8'000), leader));
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ(other, *deployment.leader());
}

TEST(StepPlanner, IsNotReplacedByAClaimThatIsCarriedOutLate)
{
    // The late claim has the higher epoch in about half of the rounds.
    for (int round = 0; round < 4; ++round) {
        Deployment deployment({2, 1});
        StoreFaults late;
        late.lateAppends = 1;
        late.lateMs = 900;
        deployment.store.setFaults(late);
        deployment.start();
        const std::size_t leader = *deployment.leader();
        std::this_thread::sleep_for(Millis(1'200)); // the late claim is carried out meanwhile
        EXPECT_EQ(leader, deployment.leader().value_or(9));
        const std::string log = deployment.log(leader);
        EXPECT_EQ(std::string::npos, log.find("event=leadership-lost"));
        EXPECT_EQ(std::string::npos, log.find("event=planner-lost"));
    }
}

TEST(StepPlanner, ThatCannotReachAMinionWaitsOutItsPredecessorsLeases)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", id, {Deployment::step(1)}, {{"workMs", 4'000}}).status);
    ASSERT_TRUE(running(deployment, id, 1));
    PlatformMinionFaults deaf;
    deaf.deaf = true;
    deaf.hang = true;
    deployment.minion(deployment.runs.of(id).front().minion).setFaults(deaf);
    deployment.nodes[leader]->kill();
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(30'000), other));
    EXPECT_TRUE(deployment.runs.doubled().empty());
    EXPECT_EQ(2U, deployment.runs.of(id).size());
}

TEST(StepPlanner, ResignsOnSigtermAndCutsNoRequest)
{
    Deployment deployment({2, 3});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t other = 1 - leader;
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(leader, "plan", id, {Deployment::step(3)}, {{"workMs", 1'500}}).status);
    ASSERT_TRUE(running(deployment, id, 3));
    deployment.nodes[leader]->signal(SIGTERM);
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }, Millis(1'500)));
    // It goes on taking work until the balancer has looked elsewhere.
    EXPECT_EQ(200, deployment.submit(leader, "plan", deployment.newId(), {Deployment::step(1)}).status);
    EXPECT_FALSE(deployment.ready(leader));
    EXPECT_EQ(0, deployment.nodes[leader]->waitForEnd(Millis(4'000)).value_or(-1));
    ASSERT_TRUE(deployment.becomes("plan", id, "completed", Millis(8'000), other));
    EXPECT_EQ(3U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// --- The store ---

TEST(StepStore, OutForAWhileLosesNothingAndRefusesTruly)
{
    Deployment deployment;
    deployment.start();
    const std::string before = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", before, {Deployment::step(3)}, {{"workMs", 1'000}}).status);
    ASSERT_TRUE(running(deployment, before, 3));
    StoreFaults busy;
    busy.busy = true;
    deployment.store.setFaults(busy);
    const std::string refused = deployment.newId();
    EXPECT_EQ(503, deployment.submit(0, "plan", refused, {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    ASSERT_TRUE(deployment.becomes("plan", before, "completed"));
    EXPECT_EQ(3U, deployment.runs.of(before).size());
    EXPECT_TRUE(deployment.runs.of(refused).empty());
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.ready(1); }));
}

TEST(StepStore, ThatIsSilentGivesNoFalseRefusal)
{
    Deployment deployment;
    deployment.start();
    StoreFaults silent;
    silent.silent = true;
    deployment.store.setFaults(silent);
    EXPECT_EQ(504, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    const std::string after = deployment.newId();
    EXPECT_TRUE(
        Cluster::eventually([&] { return deployment.submit(0, "plan", after, {Deployment::step(1)}).status == 200; }));
    EXPECT_TRUE(deployment.becomes("plan", after, "completed"));
}

TEST(StepStore, ThatLosesAnAnswerAndThenIsBusyIsNoReasonToRefuse)
{
    Deployment deployment;
    deployment.start();
    // The connection of the lost answer has been used before, so that a call could hide that it was sent twice.
    ASSERT_EQ(200, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    StoreFaults faults;
    faults.loseAnswers = 1;
    faults.busyAfterLoss = true;
    deployment.store.setFaults(faults);
    const std::string id = deployment.newId();
    EXPECT_EQ(504, deployment.submit(0, "plan", id, {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.becomes("plan", id, "completed"));
}

TEST(StepStore, ThatLosesAnswersOrActsLateDoublesNothing)
{
    Deployment deployment;
    deployment.start();
    std::vector<std::string> ids;
    for (int i = 0; i < 12; ++i) {
        StoreFaults faults;
        faults.loseAnswers = i % 3 == 0 ? 2 : 0;
        faults.lateAppends = i % 3 == 1 ? 2 : 0;
        faults.lateMs = 700;
        deployment.store.setFaults(faults);
        ids.push_back(deployment.newId());
        const int status =
            deployment.submit(static_cast<std::size_t>(i % 2), "plan", ids.back(), {Deployment::step(2)}).status;
        EXPECT_TRUE(status == 200 || status == 504) << status;
    }
    deployment.store.setFaults({});
    for (const std::string &id : ids) {
        EXPECT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(2)}).status);
        EXPECT_TRUE(deployment.becomes("plan", id, "completed", Millis(10'000)));
        EXPECT_EQ(2U, doneRuns(deployment, id));
    }
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepStore, WhoseHistoryIsGoneStillHoldsAllJobs)
{
    Deployment deployment;
    deployment.start();
    const std::string done = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", done, {Deployment::step(2)}).status);
    ASSERT_TRUE(deployment.becomes("plan", done, "completed"));
    const std::string open = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", open, {Deployment::step(2)}, {{"workMs", 3'000}}).status);
    ASSERT_TRUE(running(deployment, open, 2));
    for (const char *topic : {"keyed.journal", "keyed.op", "keyed.servers"}) {
        deployment.store.compact(topic);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        deployment.nodes[i]->kill();
        deployment.startNode(i);
    }
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.ready(1); }));
    EXPECT_EQ("completed", deployment.state(0, "plan", done));
    EXPECT_TRUE(deployment.becomes("plan", open, "completed", Millis(15'000)));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepStore, OutAtTheStartIsWaitedFor)
{
    Deployment deployment({1, 1});
    StoreFaults busy;
    busy.busy = true;
    deployment.store.setFaults(busy);
    deployment.configure();
    deployment.startNode(0);
    ASSERT_TRUE(
        Cluster::eventually([&] { return deployment.log(0).find("event=store-read-lost") != std::string::npos; }));
    EXPECT_FALSE(deployment.ready(0));
    EXPECT_EQ(503, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.ready(0); }));
}

// --- Configuration, entries, signals ---

TEST(StepNodes, TakeANewVersionWithinSecondsAndNeverGoBack)
{
    Deployment deployment;
    deployment.start();
    const std::string old = deployment.store.newest("keyed.op", "config");
    deployment.configure([](Json &config) {
        Json route = config["routes"][0];
        route["name"] = route["pathPrefix"] = "/new/";
        config["routes"].push_back(route);
        config["tenants"][1]["apiKeys"] = Json::array();
    });
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(
            Cluster::eventually([&] { return deployment.call(i, "GET", "new", "").status == 200; }, Millis(2'000)));
        EXPECT_EQ(401, deployment.call(i, "GET", "plan", "", "", "key-b").status);
    }
    deployment.store.put("keyed.op", "config", old);
    deployment.store.put("keyed.op", "config", "{broken");
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}).status);
    ASSERT_TRUE(deployment.becomes("plan", id, "completed"));
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(
            Cluster::eventually([&] { return deployment.log(i).find("event=config-ignored") != std::string::npos; }));
        EXPECT_EQ(200, deployment.call(i, "GET", "new", "").status);
    }
}

TEST(StepNodes, PassOverEntriesOfOtherWriters)
{
    Deployment deployment({1, 2});
    deployment.store.put("keyed.servers", "i-bad-1", "not json");
    deployment.store.put("keyed.servers", "i-bad-2", R"({"service":"desk","address":7,"state":"ready"})");
    deployment.store.put(
        "keyed.servers", "i-bad-3",
        R"({"service":"desk","address":"127.0.0.1:1","zone":"z","state":"asleep","capacity":{},"labels":[]})");
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(4)}).status);
    EXPECT_TRUE(deployment.becomes("plan", id, "completed"));
}

TEST(StepNodes, ReadTheirSettingsAgainOnSighup)
{
    Deployment deployment({1, 1});
    deployment.start();
    deployment.nodes[0]->signal(SIGHUP);
    EXPECT_TRUE(
        Cluster::eventually([&] { return deployment.log(0).find("event=settings-reloaded") != std::string::npos; }));
    EXPECT_TRUE(deployment.ready(0));
}

} // namespace

} // namespace Papaya::Testing
