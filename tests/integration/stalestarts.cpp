#include "deployment.h"
#include "slownode.h"
#include "steps/jobrecord.h"

#include <gtest/gtest.h>

#include <algorithm>

// Tests that no start reaches a minion that has long said that it drains, or of a job that was cancelled long ago, when
// the planner cannot read this, is too slow, or waits for the journal between a decision and its orders.

namespace Papaya::Testing
{

namespace
{

using Standins::nowMs;
using Standins::StoreFaults;
using Standins::TaskRun;

constexpr std::int64_t MINION_DRAIN_MS = 2'000; // default of the setting minionDrainMs
constexpr std::int64_t CANCEL_MS = 3'000;
const TaskShape WHOLE_MINION {1'000, 1'000, 8};

/** @return the latest start of a run on @p minion, in milliseconds since the Unix epoch; 0 if there was none. */
std::int64_t lastStartOn(const Deployment &deployment, const std::string &minion)
{
    std::int64_t last = 0;
    for (const TaskRun &run : deployment.runs.all()) {
        last = std::max(last, run.minion == minion ? run.startedMs : 0);
    }
    return last;
}

/** Waits until a job has completed, so that the planner has read the minions' entries. */
void runOneJob(Deployment &deployment)
{
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "urgent", id, Deployment::step(1)).status);
    ASSERT_TRUE(deployment.waitForState("urgent", id, "completed"));
}

TEST(StaleStarts, ReachNoMinionThatBeganToDrainWhileTheirPlacementWasBeingStored)
{
    Deployment deployment({1, 2});
    deployment.minions[1]->setCapacity(0, 0, 0);
    deployment.minions[1]->list();
    deployment.start();
    const std::string first = deployment.newId();
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", first, Deployment::step(1, WHOLE_MINION), {{"workMs", 700}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(first, 1));
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(1, WHOLE_MINION)).status);
    StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    deployment.store.setFaults(faults);
    const auto logged = [&](const std::string &text) { return deployment.log(0).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("unit-placed unit=" + second); }));
    deployment.minions[0]->drain(20'000);
    ASSERT_TRUE(Cluster::eventually([&] { return logged("minion-draining minion=i-0"); }));
    deployment.store.setFaults({});
    EXPECT_FALSE(Cluster::eventually([&] { return !deployment.runs.of(second).empty(); }, Millis(2'000)));
    deployment.minions[1]->setCapacity(64'000, 131'072, 8);
    deployment.minions[1]->list();
    ASSERT_TRUE(deployment.waitForState("plan", second, "completed"));
    EXPECT_EQ("i-1", deployment.runs.of(second).back().minion);
}

TEST(StaleStarts, ReachNoDrainingMinionWhileItsEntryCannotBeRead)
{
    Deployment deployment({1, 2});
    deployment.minions[1]->setCapacity(0, 0, 0);
    deployment.minions[1]->list();
    deployment.start();
    runOneJob(deployment);
    StoreFaults faults;
    faults.silentReads = "keyed.servers";
    deployment.store.setFaults(faults);
    deployment.minions[0]->drain(20'000);
    const std::int64_t drainedMs = nowMs();
    std::vector<std::string> jobs;
    while (nowMs() < drainedMs + 2 * MINION_DRAIN_MS) {
        jobs.push_back(deployment.newId());
        ASSERT_EQ(200, deployment.submit(0, "urgent", jobs.back(), Deployment::step(1), {{"workMs", 10}}).status);
    }
    EXPECT_LE(lastStartOn(deployment, "i-0"), drainedMs + MINION_DRAIN_MS);
    deployment.store.setFaults({});
    deployment.minions[1]->setCapacity(64'000, 131'072, 8);
    deployment.minions[1]->list();
    EXPECT_TRUE(deployment.waitForState("urgent", jobs.back(), "completed"));
}

TEST(StaleStarts, ReachNoDrainingMinionFromAPlannerWithASlowEventLoop)
{
    constexpr std::uint32_t MINIONS = 12;
    constexpr std::uint32_t TASKS_PER_MINION = 50;
    Deployment deployment({1, MINIONS});
    deployment.configure();
    const SlowNode node(deployment.settingsPath(0), Millis(5));
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.leader().has_value(); }));
    const std::string id = deployment.newId();
    const Json steps = Deployment::step(MINIONS * TASKS_PER_MINION, {1'200, 1'000, 0});
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps, {{"workMs", 300}}).status);
    const std::string unit = "u/" + id + ".0.0.0";
    ASSERT_TRUE(Cluster::eventually([&] { return !deployment.store.newest("keyed.journal", unit).empty(); }));
    deployment.minions[0]->drain(20'000);
    const std::int64_t drainedMs = nowMs();
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(40'000)));
    EXPECT_LE(lastStartOn(deployment, "i-0"), drainedMs + MINION_DRAIN_MS);
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StaleStarts, OfACancelledJobAreNotSentWhileTheJournalCannotBeRead)
{
    Deployment deployment({2, 1});
    deployment.start();
    const std::size_t other = 1 - *deployment.leader();
    const std::string first = deployment.newId();
    const std::string second = deployment.newId();
    const Json work = {{"workMs", CANCEL_MS + 1'500}};
    ASSERT_EQ(200, deployment.submit(0, "plan", first, Deployment::step(1, WHOLE_MINION), work).status);
    ASSERT_TRUE(deployment.waitForRunCount(first, 1));
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(1, WHOLE_MINION)).status);
    ASSERT_TRUE(deployment.waitForState("plan", second, "queued", Millis(2'000), other));
    StoreFaults faults;
    faults.silentReads = "keyed.journal";
    deployment.store.setFaults(faults);
    ASSERT_EQ(200, deployment.call(other, "DELETE", "plan", second).status);
    ASSERT_TRUE(deployment.waitForRunCount(first, 0));
    EXPECT_FALSE(Cluster::eventually([&] { return !deployment.runs.of(second).empty(); }, Millis(1'500)));
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitForState("plan", first, "completed"));
    EXPECT_TRUE(deployment.runs.of(second).empty());
}

TEST(StaleStarts, OfAJobThatIsCancelledWhileTheyWaitForTheJournalAreWithdrawn)
{
    Deployment deployment({1, 1});
    deployment.start();
    const std::string first = deployment.newId();
    const std::string second = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", first, Deployment::step(1, WHOLE_MINION), {{"workMs", 700}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(first, 1));
    ASSERT_EQ(200, deployment.submit(0, "plan", second, Deployment::step(8, {1'000, 1'000, 1})).status);
    StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    deployment.store.setFaults(faults);
    const auto logged = [&](const std::string &text) { return deployment.log(0).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("unit-placed unit=" + second + ".0.0.7"); }));
    const StoredRecord cancellation = encodeRecord(StepJobCancelled {JobId(second)});
    deployment.store.put("keyed.journal", cancellation.key, cancellation.value);
    ASSERT_TRUE(Cluster::eventually([&] { return logged("unit-stopped unit=" + second + ".0.0.7"); }));
    deployment.store.setFaults({});
    runOneJob(deployment);
    EXPECT_TRUE(deployment.runs.of(second).empty());
    EXPECT_EQ("cancelled", deployment.state(0, "plan", second));
}

TEST(StaleStarts, ReachNoMinionThatLeftWhileTheHistoryOfEntriesWasDropped)
{
    Deployment deployment({1, 2});
    deployment.start();
    runOneJob(deployment);
    StoreFaults faults;
    faults.silentReads = "keyed.servers";
    deployment.store.setFaults(faults);
    deployment.store.put("keyed.servers", "i-0", "");
    deployment.store.compact("keyed.servers");
    deployment.store.setFaults({});
    const auto noticed = [&] { return deployment.log(0).find("minion-unlisted minion=i-0") != std::string::npos; };
    EXPECT_TRUE(Cluster::eventually(noticed, Millis(4'000)));
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i) {
        jobs.push_back(deployment.newId());
        const Json work = {{"workMs", 200}};
        ASSERT_EQ(200, deployment.submit(0, "urgent", jobs.back(), Deployment::step(1, WHOLE_MINION), work).status);
    }
    for (const std::string &job : jobs) {
        ASSERT_TRUE(deployment.waitForState("urgent", job, "completed"));
        EXPECT_EQ("i-1", deployment.runs.of(job).back().minion);
    }
}

TEST(StaleStarts, EndOnceALongBacklogOfEntriesIsReadOverASlowLink)
{
    Deployment deployment({1, 1});
    deployment.start();
    runOneJob(deployment);
    StoreFaults faults;
    faults.silentReads = "keyed.servers";
    deployment.store.setFaults(faults);
    constexpr int RECORDS = 600;
    const std::string kilobyte(1'024, 'x'); // names no minion
    for (int i = 0; i < RECORDS; ++i) {
        deployment.store.put("keyed.servers", "other", kilobyte);
    }
    deployment.minions[0]->drain(60'000);
    faults = {};
    faults.readKbPerS = 100;
    deployment.store.setFaults(faults);
    const auto noticed = [&] { return deployment.log(0).find("minion-draining minion=i-0") != std::string::npos; };
    EXPECT_TRUE(Cluster::eventually(noticed, Millis(20'000)));
}

} // namespace

} // namespace Papaya::Testing
