#include "cluster.h"

#include <gtest/gtest.h>

#include <signal.h>

// Tests that leaving minions get no new work, and that an instance that shuts down aborts no request.

namespace Papaya::Testing
{

namespace
{

constexpr Millis LEAVING_LIMIT {4'000};

using Call = std::pair<Endpoint, HttpRequest>;

Call checkCall(const Cluster &cluster, std::size_t instance)
{
    HttpRequest request {"POST", "/v1/requests/phone-check", {}, "check"};
    request.fields.set(Field::TEAM, "bookings");
    return {cluster.callers(instance), request};
}

/**
 * Sends requests through all instances until 1 s after LEAVING_LIMIT has passed since @p begin.
 * @return the number of runs that @p leaving began after LEAVING_LIMIT
 */
std::size_t runsAfterLimit(Cluster &cluster, const Standins::MinionStandin &leaving, TimePoint begin)
{
    while (Clock::now() < begin + LEAVING_LIMIT + Millis(1'000)) {
        std::vector<Call> calls;
        for (std::size_t i = 0; i < 12; ++i) {
            calls.push_back(checkCall(cluster, i % cluster.instances.size()));
        }
        cluster.callAll(calls, Millis(3'000));
    }
    std::size_t late = 0;
    for (const Standins::MinionRun &run : leaving.runs()) {
        late += run.begin > begin + LEAVING_LIMIT ? 1U : 0U;
    }
    return late;
}

TEST(LeavingMinion, GetsNoNewWorkWhenTheHostListShowsItAsLeaving)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.hosts.setState("minion-1", HostState::Leaving);
    EXPECT_EQ(0U, runsAfterLimit(cluster, *cluster.minions[1], Clock::now()));
}

TEST(LeavingMinion, GetsNoNewWorkWhenItAnnouncesItselfWhileTheHostListIsUnavailable)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.hosts.setOutage(true);
    cluster.minions[1]->setFaults({.leaving = true});
    EXPECT_EQ(0U, runsAfterLimit(cluster, *cluster.minions[1], Clock::now()));
}

TEST(LeavingMinion, GetsNoNewWorkFromInstancesThatDidNotReceiveItsAnnouncement)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.hosts.setLag(Millis(60'000));
    cluster.minions[1]->setFaults({.leaving = true});
    // Requests go only to the first instance until the minion has answered one of them with its announcement.
    ASSERT_TRUE(Cluster::eventually([&] {
        cluster.callAll({checkCall(cluster, 0), checkCall(cluster, 0), checkCall(cluster, 0)}, Millis(3'000));
        return !cluster.minions[1]->runs().empty();
    }));
    std::this_thread::sleep_for(LEAVING_LIMIT);
    cluster.minions[1]->clearRuns();
    for (int i = 0; i < 30; ++i) {
        cluster.callAll({checkCall(cluster, 1), checkCall(cluster, 1)}, Millis(3'000));
    }
    EXPECT_TRUE(cluster.minions[1]->runs().empty());
}

TEST(Shutdown, AbortsNoRequestInProgress)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setMinionFaults({.delayMs = 400});
    std::vector<Call> calls(20, checkCall(cluster, 0));
    std::thread stopper([&] {
        Cluster::eventually([&] { return cluster.runsOfBody("check") > 0; });
        cluster.instances[0]->signal(SIGTERM);
    });
    const auto answers = cluster.callAll(calls, Millis(4'000));
    stopper.join();
    for (const Answer &answer : answers) {
        EXPECT_EQ(200, answer.status) << answer.body;
    }
    EXPECT_EQ(0, cluster.instances[0]->waitForExit(Millis(8'000)));
}

TEST(Shutdown, OfAllInstancesInTurnUnderLoadAbortsNoRequest)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    std::atomic<bool> rolling {true};
    std::atomic<std::size_t> failed {0};
    std::atomic<std::size_t> served {0};
    // Each caller sends its requests to ready instances, as a load balancer would.
    const auto callReadyInstances = [&](std::size_t seed) {
        std::size_t instance = seed % 3;
        while (rolling) {
            instance = (instance + 1) % 3;
            const HttpRequest ready {"GET", "/ready", {}, ""};
            if (cluster.call(cluster.admin(instance), ready, Millis(500)).status != 200) {
                continue;
            }
            const Call call = checkCall(cluster, instance);
            const Answer answer = cluster.call(call.first, call.second, Millis(4'000));
            (answer.status == 200 ? served : failed) += 1;
        }
    };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 8; ++i) {
        callers.emplace_back(callReadyInstances, i);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        cluster.instances[i]->signal(SIGTERM);
        EXPECT_EQ(0, cluster.instances[i]->waitForExit(Millis(8'000)));
        cluster.startInstance(i);
        const HttpRequest ready {"GET", "/ready", {}, ""};
        EXPECT_TRUE(Cluster::eventually([&] { return cluster.call(cluster.admin(i), ready).status == 200; }));
    }
    rolling = false;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(0U, failed);
    EXPECT_GT(served, 100U);
}

} // namespace

} // namespace Papaya::Testing
