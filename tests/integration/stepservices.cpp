#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <thread>

// Tests filling (best-effort) tasks beside services, queues with an admission oracle, and maintenance waves.

namespace Papaya::Testing
{

namespace
{

using Standins::MachineOrder;
using Standins::nowMs;
using Standins::TaskRun;

constexpr std::int64_t OVER_TARGET_LIMIT_MS = 4'000; // longest time that tail latency may exceed its target
constexpr std::int64_t MIN_HOLDER_CHANGE_MS = 3'000; // least time between orders of two holders for the same machine
constexpr std::int64_t SERVICE_TARGET_MS = 100;      // tail latency target of the services

Json service(std::uint32_t count, std::uint32_t mayMiss)
{
    return Deployment::step(count, {},
                            {{"longRunning", true},
                             {"targetMs", SERVICE_TARGET_MS},
                             {"mayMiss", mayMiss},
                             {"antiAffinity", 1},
                             {"image", "web"}});
}

TEST(FillingTasks, AreSlowedDownUntilTheServiceBesideThemMeetsItsTarget)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string serving = deployment.newId();
    const std::string filling = deployment.newId();
    const Json spec = {{"lasts", true}, {"tailMs", 40}, {"disturbedMs", 100}};
    ASSERT_EQ(200, deployment.submit(0, "urgent", serving, {service(1, 0)}, spec).status);
    ASSERT_TRUE(deployment.waitForRunCount(serving, 1));
    const Json fill = Deployment::step(1, {}, {{"fills", true}});
    ASSERT_EQ(200, deployment.submit(0, "batch", filling, {fill}, {{"workMs", 600'000}, {"fills", true}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(filling, 1));
    auto &minion = *deployment.minions.front();
    EXPECT_GT(minion.tailOf(serving + ".0.0.0"), SERVICE_TARGET_MS);
    EXPECT_TRUE(Cluster::eventually([&] { return minion.tailOf(serving + ".0.0.0") <= SERVICE_TARGET_MS; },
                                    Millis(OVER_TARGET_LIMIT_MS)));
    // The filling task keeps running at a reduced share, and gets its full share back when the service has ended.
    EXPECT_GT(minion.paceOf(filling + ".0.0.0").value_or(0), 0);
    ASSERT_EQ(200, deployment.call(0, "DELETE", "urgent", serving).status);
    EXPECT_TRUE(Cluster::eventually([&] { return minion.paceOf(filling + ".0.0.0") == 100; }, Millis(20'000)));
}

TEST(FillingTasks, AreSlowedDownByANewPlannerThatDoesNotKnowTheirShares)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string serving = deployment.newId();
    const std::string filling = deployment.newId();
    const Json spec = {{"lasts", true}, {"tailMs", 60}, {"disturbedMs", 400}};
    ASSERT_EQ(200, deployment.submit(0, "urgent", serving, {service(1, 0)}, spec).status);
    const Json fill = Deployment::step(1, {}, {{"fills", true}});
    ASSERT_TRUE(deployment.waitForRunCount(serving, 1));
    const std::size_t first = deployment.leader().value();
    ASSERT_EQ(200, deployment.submit(0, "batch", filling, {fill}, {{"workMs", 600'000}, {"fills", true}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(filling, 1));
    deployment.nodes[first]->kill();
    auto &minion = *deployment.minions.front();
    EXPECT_TRUE(Cluster::eventually([&] { return minion.tailOf(serving + ".0.0.0") <= SERVICE_TARGET_MS; },
                                    Millis(3'000 + OVER_TARGET_LIMIT_MS)));
}

// One share for all filling tasks on a minion would keep those slow that do no harm.
TEST(FillingTasks, KeepTheirFullShareIfOnlyAnotherImageDisturbsTheService)
{
    Deployment deployment({1, 1});
    deployment.start();
    const std::string serving = deployment.newId();
    const Json spec = {{"lasts", true}, {"tailMs", 40}, {"disturbedMs", 160}};
    ASSERT_EQ(200, deployment.submit(0, "urgent", serving, {service(1, 0)}, spec).status);
    ASSERT_TRUE(deployment.waitForRunCount(serving, 1));
    std::map<std::string, std::string> fills; // task by image
    for (const char *image : {"loud", "calm-1", "calm-2"}) {
        const std::string id = deployment.newId();
        fills[image] = id + ".0.0.0";
        const Json fill = Deployment::step(1, {}, {{"fills", true}, {"image", image}});
        const Json work = {
            {"workMs", 600'000}, {"fills", true}, {"cores", 6'000}, {"calm", std::string(image) != "loud"}};
        ASSERT_EQ(200, deployment.submit(0, "batch", id, {fill}, work).status);
        ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    }
    const auto &minion = *deployment.minions.front();
    const auto pace = [&](const char *image) { return minion.paceOf(fills.at(image)).value_or(0); };
    EXPECT_TRUE(Cluster::eventually(
        [&] { return pace("calm-1") == 100 && pace("calm-2") == 100 && pace("loud") <= 50; }, Millis(60'000)));
    EXPECT_NE(std::string::npos, deployment.log(0).find("interference-found disturbed=web by=loud"));
}

TEST(AdvisedQueue, RunsTasksOnlyOnMinionsThatTheOracleAdmits)
{
    Deployment deployment({2, 4});
    deployment.start();
    deployment.oracle.admit({"i-2", "i-3"});
    deployment.addAdvisedQueue(3'000);
    const std::string id = deployment.newId();
    ASSERT_TRUE(
        Cluster::eventually([&] { return deployment.submit(0, "advised", id, {Deployment::step(6)}).status == 200; }));
    ASSERT_TRUE(deployment.waitForState("advised", id, "completed"));
    EXPECT_EQ(6U, deployment.doneRuns(id));
    for (const TaskRun &run : deployment.runs.of(id)) {
        EXPECT_TRUE(run.minion == "i-2" || run.minion == "i-3") << run.minion;
    }
    EXPECT_EQ(1U, deployment.oracle.calls());
    for (const auto &minion : deployment.minions) {
        EXPECT_EQ(0U, minion->ticketsRefused()) << minion->id();
    }
}

TEST(AdvisedQueue, QueriesTheOracleAgainOnceTicketsHaveExpired)
{
    Deployment deployment({2, 2});
    deployment.start();
    deployment.oracle.admit({"i-1"});
    deployment.addAdvisedQueue(700);
    const std::string id = deployment.newId();
    // One task fits at a time, and a ticket is valid for about two of them.
    const Json steps = {Deployment::step(6, {60'000, 1'000, 0})};
    ASSERT_TRUE(Cluster::eventually([&] {
        return deployment.submit(0, "advised", id, steps, {{"workMs", 250}}).status == 200;
    }));
    ASSERT_TRUE(deployment.waitForState("advised", id, "completed", Millis(15'000)));
    EXPECT_EQ(6U, deployment.doneRuns(id));
    EXPECT_EQ(6U, deployment.runs.of(id).size());
    EXPECT_GE(deployment.oracle.calls(), 2U);
}

TEST(AdvisedQueue, WaitsForAnUnavailableOracleAndDelaysNoOtherQueue)
{
    Deployment deployment({2, 2});
    deployment.start();
    deployment.oracle.admit({"i-0", "i-1"});
    deployment.addAdvisedQueue(3'000);
    deployment.oracle.setFaults(false, true);
    const std::string advised = deployment.newId();
    const std::string plain = deployment.newId();
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.submit(0, "advised", advised, {Deployment::step(2)}).status == 200; }));
    ASSERT_EQ(200, deployment.submit(0, "batch", plain, {Deployment::step(2)}, {{"advised", false}}).status);
    ASSERT_TRUE(deployment.waitForState("batch", plain, "completed"));
    EXPECT_TRUE(deployment.runs.of(advised).empty());
    deployment.oracle.setFaults(true, false);
    const auto refusals = [&] {
        const std::string text = deployment.log(0) + deployment.log(1);
        return text.find("answered=no") != std::string::npos;
    };
    EXPECT_TRUE(Cluster::eventually(refusals));
    EXPECT_TRUE(deployment.runs.of(advised).empty());
    deployment.oracle.setFaults(false, false);
    EXPECT_TRUE(deployment.waitForState("advised", advised, "completed"));
}

// Guards against small jobs that wait until the oracle has answered the first queries of all gangs before them.
TEST(AdvisedQueue, KeepsNoSmallJobWaitingBehindTheFirstQueriesOfManyGangs)
{
    constexpr int GANGS = 60;
    constexpr int SMALL_JOBS = 5;
    constexpr std::int64_t MAX_WAIT_MS = 3'000; // a job may have nothing running for no longer
    Deployment deployment({2, 4});
    deployment.start();
    deployment.oracle.admit({"i-0", "i-1", "i-2", "i-3"});
    deployment.oracle.setDecisionTime(Millis(150));
    deployment.addAdvisedQueue(3'000);
    const Json gang = Deployment::step(3, {}, {{"gang", true}, {"estimateMs", 3'600'000}}); // in time for hours
    for (int i = 0; i < GANGS; ++i) {
        const std::string id = deployment.newId();
        deployment.oracle.refuse(id);
        ASSERT_TRUE(Cluster::eventually([&] { return deployment.submit(0, "advised", id, {gang}).status == 200; }));
    }
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.oracle.calls() >= 10; }));
    for (int i = 0; i < SMALL_JOBS; ++i) {
        const std::string small = deployment.newId();
        const std::int64_t submittedMs = nowMs();
        ASSERT_EQ(200, deployment.submit(0, "advised", small, {Deployment::step(1)}).status);
        ASSERT_TRUE(Cluster::eventually([&] { return !deployment.runs.of(small).empty(); }, Millis(20'000)));
        EXPECT_LT(deployment.runs.of(small).front().startedMs - submittedMs, MAX_WAIT_MS);
    }
    EXPECT_LT(deployment.oracle.calls(), std::size_t(GANGS)) << "the gangs have been queried before the small jobs";
}

/** Writes the operator's record that requests @p wave for all machines of @p deployment. */
void requestWave(Deployment &deployment, int wave, std::int64_t withinS, int maximum)
{
    Json machines = Json::array();
    for (const auto &minion : deployment.minions) {
        machines.push_back("m-" + minion->id());
    }
    const Json record = {{"wave", wave}, {"machines", machines}, {"withinS", withinS}, {"maximum", maximum}};
    deployment.store.put("keyed.op", "wave/" + std::to_string(wave), record.dump());
}

bool waveCompletes(Deployment &deployment, int wave, Millis limit)
{
    return Cluster::eventually(
        [&] {
            const std::string status = deployment.store.newest("keyed.status", "wave/" + std::to_string(wave));
            return status == R"({"state":"completed"})";
        },
        limit);
}

/**
 * Checks what must hold for every wave: at most @p maximum machines are down at a time, each machine goes down once,
 * and holders of a machine change only after the minimum time and with a higher fence.
 */
void expectValidOrders(const std::vector<MachineOrder> &orders, std::size_t machines, std::size_t maximum)
{
    std::size_t begun = 0;
    std::map<std::string, MachineOrder> last;
    for (const MachineOrder &order : orders) {
        begun += order.begun ? 1 : 0;
        EXPECT_TRUE(!order.begun || order.alsoDown < maximum) << order.machine;
        const auto earlier = last.find(order.machine);
        if (earlier != last.end() && earlier->second.holder != order.holder) {
            EXPECT_GE(order.atMs - earlier->second.atMs, MIN_HOLDER_CHANGE_MS) << order.machine;
            EXPECT_GT(order.fence, earlier->second.fence) << order.machine;
        }
        last[order.machine] = order;
    }
    EXPECT_EQ(machines, begun);
}

TEST(MaintenanceWaves, TakeEachMachineDownOnceAndLoseNoWork)
{
    Deployment deployment({2, 4});
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(8, {30'000, 1'000, 0}, {{"checkpointing", true}})};
    ASSERT_EQ(200, deployment.submit(0, "batch", id, steps, {{"workMs", 6'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 8));
    requestWave(deployment, 4, 14, 1);
    ASSERT_TRUE(waveCompletes(deployment, 4, Millis(30'000)));
    expectValidOrders(deployment.machines.orders(), 4, 1);
    EXPECT_TRUE(deployment.waitForState("batch", id, "completed", Millis(20'000)));
    EXPECT_TRUE(deployment.runs.doubled().empty());
    // Tasks that the wave interrupts are stopped with a checkpoint; none is still running when its machine goes down.
    for (const TaskRun &run : deployment.runs.of(id)) {
        EXPECT_NE("gone", run.how) << run.task;
    }
}

TEST(MaintenanceWaves, StopNoMoreTasksOfAServiceThanItMayMiss)
{
    Deployment deployment({2, 4});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "urgent", id, {service(3, 1)}, {{"lasts", true}, {"tailMs", 10}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 3));
    requestWave(deployment, 9, 20, 3);
    ASSERT_TRUE(waveCompletes(deployment, 9, Millis(30'000)));
    expectValidOrders(deployment.machines.orders(), 4, 3);
    const std::vector<TaskRun> runs = deployment.runs.of(id);
    for (const TaskRun &ended : runs) {
        if (ended.endedMs == 0) {
            continue;
        }
        const auto others = std::count_if(runs.begin(), runs.end(), [&](const TaskRun &run) {
            const bool overlaps = run.startedMs < ended.endedMs && (run.endedMs == 0 || run.endedMs > ended.endedMs);
            return overlaps && run.task != ended.task;
        });
        EXPECT_GE(others, 2) << ended.task << " on " << ended.minion;
    }
}

// Guards against a wave that counts a task on a silent minion as available until its lease has expired.
TEST(MaintenanceWaves, StopNoTaskWhileAnotherIsOnASilentMinion)
{
    Deployment deployment({1, 3});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "urgent", id, {service(2, 1)}, {{"lasts", true}, {"tailMs", 10}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 2));
    std::this_thread::sleep_for(Millis(4'500)); // a new planner orders no upkeep for 4 s
    const std::string silent = deployment.runs.of(id)[0].minion;
    const std::string other = deployment.runs.of(id)[1].minion;
    deployment.minion(silent).setFaults({.unresponsive = true});
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.log(0).find("minion-silent minion=" + silent) != std::string::npos; }));
    const Json wave = {{"wave", 5}, {"machines", {"m-" + other}}, {"withinS", 1}, {"maximum", 1}};
    deployment.store.put("keyed.op", "wave/5", wave.dump());
    const auto stopped = [&] {
        const std::vector<TaskRun> runs = deployment.runs.of(id);
        const auto run = std::find_if(runs.begin(), runs.end(),
                                      [&](const TaskRun &item) { return item.minion == other && item.endedMs > 0; });
        return run == runs.end() ? 0 : run->endedMs;
    };
    ASSERT_TRUE(Cluster::eventually([&] { return stopped() > 0; }, Millis(30'000)));
    const std::vector<TaskRun> runs = deployment.runs.of(id);
    EXPECT_TRUE(std::any_of(runs.begin(), runs.end(), [&](const TaskRun &run) {
        return run.minion != silent && run.minion != other && run.startedMs < stopped();
    })) << "stopped before the task of the silent minion was available elsewhere";
}

TEST(MaintenanceWaves, OfAKilledPlannerAreCompletedByItsSuccessor)
{
    Deployment deployment({2, 3});
    deployment.start();
    deployment.machines.loseAnswers(1);
    requestWave(deployment, 2, 30, 1);
    ASSERT_TRUE(Cluster::eventually([&] { return !deployment.machines.orders().empty(); }, Millis(10'000)));
    deployment.nodes[deployment.leader().value()]->kill();
    ASSERT_TRUE(waveCompletes(deployment, 2, Millis(30'000)));
    expectValidOrders(deployment.machines.orders(), 3, 1);
}

/** @return the machines whose upkeep for @p wave has begun. */
std::set<std::string> machinesBegun(const Deployment &deployment, std::uint64_t wave)
{
    std::set<std::string> machines;
    for (const MachineOrder &order : deployment.machines.orders()) {
        if (order.wave == wave && order.begun) {
            machines.insert(order.machine);
        }
    }
    return machines;
}

// Guards against an order of an earlier wave being taken for one of the present wave.
TEST(MaintenanceWaves, OverTheSameMachinesEachRepeatTheirUnansweredOrders)
{
    Deployment deployment({2, 3});
    deployment.start();
    requestWave(deployment, 1, 30, 1);
    ASSERT_TRUE(waveCompletes(deployment, 1, Millis(30'000)));
    deployment.machines.dropOrders(2, 1);
    requestWave(deployment, 2, 30, 1);
    ASSERT_TRUE(waveCompletes(deployment, 2, Millis(30'000)));
    EXPECT_EQ(3U, machinesBegun(deployment, 1).size());
    EXPECT_EQ(3U, machinesBegun(deployment, 2).size());
}

// Guards against a reservation or a stop of work for one wave being taken for one of another that is open as well.
TEST(MaintenanceWaves, ThatOverlapInTimeServiceEveryMachineForBoth)
{
    Deployment deployment({2, 3});
    deployment.start();
    deployment.machines.dropOrders(7, 2);
    requestWave(deployment, 6, 30, 1);
    requestWave(deployment, 7, 30, 1);
    ASSERT_TRUE(waveCompletes(deployment, 6, Millis(40'000)));
    ASSERT_TRUE(waveCompletes(deployment, 7, Millis(40'000)));
    EXPECT_EQ(3U, machinesBegun(deployment, 6).size());
    EXPECT_EQ(3U, machinesBegun(deployment, 7).size());
}

// Guards against publishing a wave as completed whose progress the store has not acknowledged.
TEST(MaintenanceWaves, AreNotPublishedAsCompletedBeforeTheirProgressIsStored)
{
    Deployment deployment({1, 1});
    deployment.start();
    requestWave(deployment, 3, 30, 1);
    ASSERT_TRUE(Cluster::eventually([&] { return !deployment.machines.orders().empty(); }, Millis(15'000)));
    Standins::StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    deployment.store.setFaults(faults);
    const auto isDone = [&] { return deployment.log(0).find("upkeep-done wave=3") != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(isDone, Millis(10'000)));
    EXPECT_FALSE(waveCompletes(deployment, 3, Millis(3'000)));
    deployment.store.setFaults({});
    EXPECT_TRUE(waveCompletes(deployment, 3, Millis(20'000)));
}

// Guards against a machine that gets no work during an outage of the machine service because it was reserved before.
TEST(MaintenanceWaves, KeepNoMachineIdleWhileTheMachineServiceIsUnavailable)
{
    Deployment deployment({1, 1});
    deployment.start();
    const std::string first = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", first, Deployment::step(1), {{"workMs", 6'000}}).status);
    requestWave(deployment, 8, 40, 1);
    const auto begun = [&] { return deployment.log(0).find("wave-status wave=8 state=running") != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(begun, Millis(10'000)));
    deployment.machines.setBusy(true);
    ASSERT_TRUE(deployment.waitForState("plan", first, "completed", Millis(10'000)));
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(1)).status);
    EXPECT_TRUE(deployment.waitForState("plan", second, "completed", Millis(10'000)));
    deployment.machines.setBusy(false);
    EXPECT_TRUE(waveCompletes(deployment, 8, Millis(30'000)));
}

TEST(MaintenanceWaves, WaitWhileTheMachineServiceIsUnavailable)
{
    Deployment deployment({1, 2});
    deployment.start();
    deployment.machines.setBusy(true);
    requestWave(deployment, 5, 30, 1);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.log(0).find("machines-lost") != std::string::npos; },
                                    Millis(10'000)));
    EXPECT_NE(R"({"state":"completed"})", deployment.store.newest("keyed.status", "wave/5"));
    deployment.machines.setBusy(false);
    EXPECT_TRUE(waveCompletes(deployment, 5, Millis(20'000)));
    expectValidOrders(deployment.machines.orders(), 2, 1);
}

} // namespace

} // namespace Papaya::Testing
