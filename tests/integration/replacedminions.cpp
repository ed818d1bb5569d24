#include "deployment.h"

#include <gtest/gtest.h>

#include <csignal>

// Tests minions that crash and whose address another minion gets. That one refuses what was meant for the former, which
// shows that nothing runs there any more, unless the former has come back at another address.

namespace Papaya::Testing
{

namespace
{

using Standins::nowMs;
using Standins::PlatformMinionFaults;
using Standins::PlatformMinionStandin;
using Standins::StoreFaults;

constexpr std::int64_t MAX_RESTART_MS = 3'000; // below any lease; polls repeat several times a second

/** Makes a minion fit for every task of a test, or for none. */
void setRoom(PlatformMinionStandin &minion, bool fits)
{
    minion.setCapacity(fits ? 64'000 : 0, fits ? 131'072 : 0, fits ? 8 : 0);
    minion.list();
}

/** Waits for a second run of the only task of job @p id. @return when it started; 0 on a time-out */
std::int64_t secondStartMs(Deployment &deployment, const std::string &id)
{
    const auto again = [&] { return deployment.runs.of(id).size() == 2; };
    return Cluster::eventually(again, Millis(20'000)) ? deployment.runs.of(id).back().startedMs : 0;
}

// Guards against waiting for the leases of a minion although another one answers at its address.
TEST(ReplacedMinion, LosesItsRunsAtOnce)
{
    Deployment deployment({1, 2});
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 2'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    const std::int64_t replacedMs = nowMs();
    deployment.minion(deployment.runs.of(id).front().minion).replaceByOther();
    const std::int64_t startedMs = secondStartMs(deployment, id);
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - replacedMs, MAX_RESTART_MS);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against the same wait after a take-over, which is longer.
TEST(ReplacedMinion, LosesItsRunsSoonAfterATakeOver)
{
    Deployment deployment({2, 2});
    deployment.start();
    const std::size_t leader = *deployment.leader();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 4'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    const std::int64_t replacedMs = nowMs();
    deployment.nodes[leader]->kill();
    deployment.minion(deployment.runs.of(id).front().minion).replaceByOther();
    const std::int64_t startedMs = secondStartMs(deployment, id);
    ASSERT_GT(startedMs, 0);
    EXPECT_LT(startedMs - replacedMs, 1'500 + MAX_RESTART_MS); // with the take-over
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(8'000), 1 - leader));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against waiting for the longest lease that a start without an answer could have got, on another instance of a
// minion, although another minion answers at its address.
TEST(ReplacedMinion, DoesNotHoldUpATaskWhoseStartItLeftUnanswered)
{
    Deployment deployment({1, 2});
    setRoom(*deployment.minions[1], false);
    deployment.start();
    PlatformMinionFaults late;
    late.lateStarts = 2; // a start order without an answer is sent twice
    late.lateMs = 20'000;
    deployment.minions[0]->setFaults(late);
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1)).status);
    const auto inDoubt = [&] { return deployment.log(0).find("reason=start-in-doubt") != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually(inDoubt));
    const std::int64_t replacedMs = nowMs();
    deployment.minions[0]->replaceByOther();
    setRoom(*deployment.minions[1], true);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed", Millis(20'000)));
    ASSERT_EQ(1U, deployment.runs.of(id).size());
    EXPECT_LT(deployment.runs.of(id).front().startedMs - replacedMs, MAX_RESTART_MS);
}

// Guards against a second run of such a task if the start is carried out late, by an instance that has the address
// again.
TEST(ReplacedMinion, RefusesALateStartOnceItHasItsAddressAgain)
{
    Deployment deployment({1, 2});
    setRoom(*deployment.minions[1], false);
    deployment.start();
    PlatformMinionFaults late;
    late.lateStarts = 2;
    late.lateMs = 7'000;
    deployment.minions[0]->setFaults(late);
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, Deployment::step(1), {{"workMs", 9'000}}).status);
    const auto logged = [&](const std::string &text) { return deployment.log(0).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("reason=start-in-doubt"); }));
    deployment.minions[0]->replaceByOther();
    setRoom(*deployment.minions[1], true);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    deployment.store.put("keyed.servers", "i-0", "");
    ASSERT_TRUE(Cluster::eventually([&] { return logged("minion-unlisted minion=i-0"); }));
    deployment.minions[0]->comeBackUnlisted();
    const auto lateOrdersCame = [&] { return deployment.minions[0]->lateOrdersCarriedOut() == 2; };
    ASSERT_TRUE(Cluster::eventually(lateOrdersCame, Millis(12'000)));
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(14'000)));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

// Guards against a second run of a task that a predecessor has started on the new instance of a minion, by a planner
// that knows only the minion's former address, where another one answers.
TEST(ReplacedMinion, KeepsARunThatAPredecessorHasStartedAtItsNewAddress)
{
    Deployment deployment({2, 2});
    setRoom(*deployment.minions[1], false);
    deployment.start();
    const std::size_t stale = *deployment.leader();
    const std::size_t other = 1 - stale;
    const std::string first = deployment.newId();
    ASSERT_EQ(200, deployment.submit(stale, "plan", first, Deployment::step(1)).status);
    ASSERT_TRUE(deployment.waitForState("plan", first, "completed", Millis(8'000), stale)); // it has read the entries
    deployment.nodes[stale]->signal(SIGSTOP);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.leader() == other; }));
    deployment.minions[0]->replaceByOther();
    deployment.minions.push_back(std::make_unique<PlatformMinionStandin>("i-0", "desk", "r0", deployment.runs));
    deployment.minions.back()->start(deployment.io, deployment.store);
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(other, "plan", id, Deployment::step(1), {{"workMs", 6'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 1));
    StoreFaults faults;
    faults.silentReads = "keyed.servers";
    deployment.store.setFaults(faults);
    setRoom(*deployment.minions[1], true);
    deployment.nodes[stale]->signal(SIGCONT);
    const auto logged = [&](const std::string &text) { return deployment.log(stale).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("event=leadership-lost"); }));
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.ready(stale); }));
    deployment.nodes[other]->kill();
    ASSERT_TRUE(Cluster::eventually([&] { return logged("outcome=other-life members=1"); }));
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(15'000), stale));
    EXPECT_EQ(1U, deployment.runs.of(id).size());
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

} // namespace

} // namespace Papaya::Testing
