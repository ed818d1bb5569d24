#include "deployment.h"

#include <gtest/gtest.h>

// Tests what callers are told, and what becomes of their jobs, while the store is lost to all nodes or to some, or
// slow.

namespace Papaya::Testing
{

namespace
{

using Standins::StoreFaults;

constexpr Millis AT_ONCE {300};    // for a refusal that waits for nothing
constexpr Millis REPEATED {1'900}; // time that a caller has left at its second attempt

StoreFaults silentStore()
{
    StoreFaults silent;
    silent.silent = true;
    return silent;
}

std::string oneTask()
{
    return Json {{"taskSpec", R"({"workMs":100})"}, {"steps", {Deployment::step(1)}}}.dump();
}

/** Waits until each node knows that the store is lost. */
void waitUntilLost(Deployment &deployment)
{
    ASSERT_TRUE(Cluster::eventually([&] {
        for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
            const TimePoint sent = Clock::now();
            const int status = deployment.submit(i, "plan", deployment.newId(), {Deployment::step(1)}).status;
            if (status != 503 || Clock::now() - sent > AT_ONCE) {
                return false;
            }
        }
        return true;
    }));
}

// Load pattern: a burst of submissions into an outage of the whole store. Their callers used to be kept waiting, in
// doubt, until their time was over.
TEST(StoreOutage, RefusesFirstAttemptsAtOnceAndTruthfully)
{
    Deployment deployment;
    deployment.start();
    deployment.store.setFaults(silentStore());
    waitUntilLost(deployment);
    std::vector<std::string> refused;
    for (int i = 0; i < 20; ++i) {
        refused.push_back(deployment.newId());
        const TimePoint sent = Clock::now();
        const Answer answer = deployment.submit(i % 2, "plan", refused.back(), {Deployment::step(1)});
        EXPECT_EQ(503, answer.status);
        EXPECT_EQ("1", answer.fields.get("Retry-After"));
        EXPECT_LT(Clock::now() - sent, AT_ONCE);
    }
    deployment.store.setFaults({});
    const std::string after = deployment.newId();
    EXPECT_TRUE(
        Cluster::eventually([&] { return deployment.submit(0, "plan", after, {Deployment::step(1)}).status == 200; }));
    EXPECT_TRUE(deployment.waitForState("plan", after, "completed"));
    for (const std::string &id : refused) {
        EXPECT_TRUE(deployment.runs.of(id).empty()) << id;
    }
}

// A repetition may follow an attempt that another node has sent into the outage. Nobody can promise that it never runs.
TEST(StoreOutage, NeverRefusesARepeatedAttempt)
{
    Deployment deployment;
    deployment.start();
    deployment.store.setFaults(silentStore());
    const std::string doubtful = deployment.newId();
    EXPECT_EQ(504, deployment.submit(0, "plan", doubtful, {Deployment::step(1)}).status);
    waitUntilLost(deployment);
    EXPECT_EQ(504, deployment.call(1, "POST", "plan", doubtful, oneTask(), "key-a", Millis(4'000), REPEATED).status);
    EXPECT_EQ(504, deployment.call(0, "POST", "plan", doubtful, oneTask()).status); // known here to be in doubt
}

// Load pattern: callers that come back during an outage. The first node that reaches the store again takes their jobs.
TEST(StoreOutage, HoldsARepeatedAttemptUntilTheStoreIsBack)
{
    Deployment deployment;
    deployment.start();
    deployment.store.setFaults(silentStore());
    waitUntilLost(deployment);
    std::thread end([&] {
        std::this_thread::sleep_for(Millis(300)); // the rest of the outage
        deployment.store.setFaults({});
    });
    const std::string id = deployment.newId();
    int status = 0;
    for (int attempt = 0; attempt < 4 && status != 200; ++attempt) {
        status = deployment.call(0, "POST", "plan", id, oneTask(), "key-a", Millis(4'000), REPEATED).status;
    }
    end.join();
    EXPECT_EQ(200, status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

// Load pattern: the store turns a share of the nodes away and serves the others.
TEST(StoreOutage, OfOneNodeDoesNotKeepItFromTakingJobs)
{
    DeploymentOptions options;
    options.storeProxies = true;
    Deployment deployment(options);
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::size_t cut = 1 - leader;
    // The node learns from the journal which node plans and where that takes records.
    ASSERT_TRUE(Cluster::eventually([&] {
        return deployment.callOperatorApi(cut, "GET", "/admin/status").json().value("planner", "")
               == "node-" + std::to_string(leader);
    }));
    deployment.storeProxies[cut]->setRefuse(true);
    deployment.storeProxies[cut]->cutOpen();
    std::string id;
    const auto taken = [&] {
        id = deployment.newId();
        return deployment.submit(cut, "plan", id, {Deployment::step(1)}).status == 200;
    };
    EXPECT_TRUE(Cluster::eventually(taken, Millis(3'000)));
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(8'000), 1 - cut));
    EXPECT_EQ(1U, deployment.doneRuns(id));
}

// Load pattern: many nodes append while the store is a hundred times slower, and one partition takes one append at a
// time.
TEST(StoreOutage, OfASlowStoreIsAvoidedByAppendingForAllNodesAtOnce)
{
    DeploymentOptions options;
    options.nodes = 5;
    Deployment deployment(options);
    deployment.start();
    StoreFaults slow;
    slow.delayMs = 200;
    slow.appendMs = 250;
    deployment.store.setFaults(slow);
    std::this_thread::sleep_for(Millis(2'500)); // until each node has read three times from the slow store
    std::vector<int> statuses(20);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < statuses.size(); ++i) {
        const std::string id = deployment.newId();
        callers.emplace_back([&deployment, &statuses, i, id] {
            statuses[i] = deployment.submit(i % 5, "plan", id, {Deployment::step(1)}).status;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(20, std::count(statuses.begin(), statuses.end(), 200));
}

// A reset connection is no outage.
TEST(StoreOutage, IsNotAssumedAfterOneResetOfTheConnections)
{
    DeploymentOptions options;
    options.storeProxies = true;
    Deployment deployment(options);
    deployment.start();
    for (int i = 0; i < 10; ++i) {
        for (const auto &proxy : deployment.storeProxies) {
            proxy->cutOpen();
        }
        EXPECT_NE(503, deployment.submit(i % 2, "plan", deployment.newId(), {Deployment::step(1)}).status);
    }
}

} // namespace

} // namespace Papaya::Testing
