#include "deployment.h"

#include "dispatch/boottime.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

// Tests that no job stands still for 3 s while there is room for it twice over, and that the planner's log and metrics
// say why a job stands still.

namespace Papaya::Testing
{

namespace
{

using Standins::TaskRun;

constexpr std::int64_t MAX_STANDSTILL_MS = 3'000;
constexpr Millis FIRST_LINE_IN {4'000}; // logged after 1.5 s

std::string logOfAll(const Deployment &deployment)
{
    std::string text;
    for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
        text += deployment.log(i);
    }
    return text;
}

bool waitForLog(const Deployment &deployment, const std::string &phrase)
{
    return Cluster::eventually([&] { return logOfAll(deployment).find(phrase) != std::string::npos; });
}

/** @return how long after its submission the first task of a small job starts, in ms; none within 8 s counts as 8 s. */
std::int64_t startDelayMs(Deployment &deployment)
{
    const std::string id = deployment.newId();
    const std::int64_t submittedMs = wallMillis();
    EXPECT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 500}}).status);
    const auto begun = [&] { return !deployment.runs.of(id).empty(); };
    return Cluster::eventually(begun, Millis(8'000)) ? deployment.runs.of(id).front().startedMs - submittedMs : 8'000;
}

TEST(IdleJobs, StartOnAMinionOnProbationIfNoOtherHasRoom)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string failing = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", failing, {Deployment::step(1)}, {{"workMs", 50}, {"fails", 9}}).status);
    ASSERT_TRUE(waitForLog(deployment, "event=minion-on-probation"));
    EXPECT_LT(startDelayMs(deployment), MAX_STANDSTILL_MS);
}

TEST(IdleJobs, StartOnAMinionReservedForItsUpkeepIfNoOtherHasRoom)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string running = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", running, {Deployment::step(1)}, {{"workMs", 30'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(running, 1));
    const Json wave = {{"wave", 1}, {"machines", {"m-i-0"}}, {"withinS", 60}, {"maximum", 1}};
    deployment.store.put("keyed.op", "wave/1", wave.dump());
    ASSERT_TRUE(waitForLog(deployment, "event=wave-status"));
    EXPECT_LT(startDelayMs(deployment), MAX_STANDSTILL_MS);
}

TEST(IdleJobs, AreLoggedAndCountedWithTheReason)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string running = deployment.newId();
    const std::string waiting = deployment.newId();
    const Json wide = Deployment::step(1, {40'000, 1'000, 0});
    ASSERT_EQ(200, deployment.submit(0, "plan", running, {wide}, {{"workMs", 30'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(running, 1));
    ASSERT_EQ(200, deployment.submit(0, "plan", waiting, {wide}).status);
    const std::size_t leader = deployment.leader().value();
    const auto isLogged = [&] {
        const std::string text = deployment.log(leader);
        const std::size_t line = text.find("event=job-waits job=" + waiting);
        return line != std::string::npos && text.find("reason=no-room", line) < text.find('\n', line);
    };
    EXPECT_TRUE(Cluster::eventually(isLogged, FIRST_LINE_IN));
    const std::string counted = "papayahall_jobs_waiting{reason=\"no-room\"} 1\n";
    EXPECT_TRUE(Cluster::eventually(
        [&] { return deployment.callOperatorApi(leader, "GET", "/metrics").body.find(counted) != std::string::npos; }));
    EXPECT_EQ(std::string::npos, logOfAll(deployment).find("event=job-waits job=" + running));
}

TEST(IdleJobs, OnASilentMinionAreLoggedWithItsState)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}, {{"workMs", 30'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    Standins::PlatformMinionFaults faults;
    faults.unresponsive = true;
    deployment.minions.front()->setFaults(faults);
    ASSERT_TRUE(waitForLog(deployment, "event=job-waits job=" + id));
    const std::string text = logOfAll(deployment);
    const std::size_t line = text.find("event=job-waits job=" + id);
    const std::string logged = text.substr(line, text.find('\n', line) - line);
    EXPECT_NE(std::string::npos, logged.find("reason=placed")) << logged;
    EXPECT_NE(std::string::npos, logged.find("minion is silent")) << logged;
}

} // namespace

} // namespace Papaya::Testing
