#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>

// Tests that no start reaches a minion of a failure domain that the operators have asked to evacuate, whoever leads and
// however the request becomes known.

namespace Papaya::Testing
{

namespace
{

using Standins::nowMs;
using Standins::StoreFaults;
using Standins::TaskRun;

constexpr const char *REQUEST = "evacuate/east";
const TaskShape WHOLE_MINION {1'000, 1'000, 8};

/** Two minions in the failure domain "east" and two in "here". */
class EvacuatedDeployment : public Deployment
{
public:
    explicit EvacuatedDeployment(std::size_t nodes = 2)
        : Deployment({nodes, 4})
    {
        for (std::size_t i = 0; i < 2; ++i) {
            minions[i]->setZone("east");
            minions[i]->list();
        }
    }

    void evacuate()
    {
        store.put("keyed.op", REQUEST, "{}");
    }
    void withdraw()
    {
        store.put("keyed.op", REQUEST, "");
    }
    [[nodiscard]] static bool isEast(const std::string &minion)
    {
        return minion == "i-0" || minion == "i-1";
    }
    /** @return the starts in "east" after @p fromMs. */
    [[nodiscard]] std::size_t startsInEast(std::int64_t fromMs) const
    {
        const std::vector<TaskRun> all = runs.all();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [fromMs](const TaskRun &run) {
            return isEast(run.minion) && run.startedMs > fromMs;
        }));
    }
    /** Waits until a node reports that "east" is evacuated, or that nothing is. */
    [[nodiscard]] bool waitUntilKnown(std::size_t node, bool evacuated)
    {
        const std::string text = evacuated ? R"("evacuatedPlaces":["east"])" : R"("evacuatedPlaces":[])";
        return Cluster::eventually(
            [&] { return callOperatorApi(node, "GET", "/admin/status").body.find(text) != std::string::npos; });
    }
    /** Submits @p count jobs that each need a whole minion. */
    std::vector<std::string> submitWide(std::size_t count, std::int64_t workMs = 300)
    {
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < count; ++i) {
            ids.push_back(newId());
            EXPECT_EQ(200, submit(0, "plan", ids.back(), step(1, WHOLE_MINION), {{"workMs", workMs}}).status);
        }
        return ids;
    }
    [[nodiscard]] bool allCompleted(const std::vector<std::string> &ids)
    {
        return std::all_of(ids.begin(), ids.end(), [&](const std::string &id) {
            return waitForState("plan", id, "completed", Millis(20'000));
        });
    }
};

TEST(PlaceEvacuation, SendsNothingThereUntilItIsWithdrawnAndLetsRunningWorkEnd)
{
    EvacuatedDeployment deployment;
    deployment.start();
    const std::vector<std::string> before = deployment.submitWide(4, 2'500);
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.runs.all().size() == 4; }));
    deployment.evacuate();
    ASSERT_TRUE(deployment.waitUntilKnown(*deployment.leader(), true));
    const std::int64_t knownMs = nowMs();
    const std::vector<std::string> during = deployment.submitWide(6);
    ASSERT_TRUE(deployment.allCompleted(before));
    ASSERT_TRUE(deployment.allCompleted(during));
    EXPECT_EQ(0U, deployment.startsInEast(knownMs));
    EXPECT_EQ(4, std::count_if(before.begin(), before.end(), [&](const std::string &id) {
                  return deployment.runs.of(id).size() == 1 && deployment.runs.of(id).front().how == "done";
              }));
    deployment.withdraw();
    ASSERT_TRUE(deployment.waitUntilKnown(*deployment.leader(), false));
    ASSERT_TRUE(deployment.allCompleted(deployment.submitWide(4, 1'000)));
    EXPECT_GT(deployment.startsInEast(knownMs), 0U);
}

// A placement that was decided before the request came must not be ordered after it.
TEST(PlaceEvacuation, WithdrawsStartsThatWaitForTheJournal)
{
    EvacuatedDeployment deployment(1);
    for (std::size_t i = 2; i < 4; ++i) {
        deployment.minions[i]->setCapacity(0, 0, 0);
        deployment.minions[i]->list();
    }
    deployment.start();
    StoreFaults faults;
    faults.silentAppends = "keyed.journal";
    const std::string first = deployment.submitWide(1, 700).front();
    ASSERT_TRUE(deployment.waitForRunCount(first, 1));
    const std::vector<std::string> ids = deployment.submitWide(2);
    deployment.store.setFaults(faults);
    const auto logged = [&](const std::string &text) { return deployment.log(0).find(text) != std::string::npos; };
    ASSERT_TRUE(Cluster::eventually([&] { return logged("unit-placed unit=" + ids[1]); }));
    deployment.evacuate();
    ASSERT_TRUE(Cluster::eventually([&] { return logged("evacuation-requested place=east"); }));
    const std::int64_t knownMs = nowMs();
    deployment.store.setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return logged("reason=place-evacuated"); }));
    for (std::size_t i = 2; i < 4; ++i) {
        deployment.minions[i]->setCapacity(64'000, 131'072, 8);
        deployment.minions[i]->list();
    }
    EXPECT_TRUE(deployment.allCompleted(ids));
    EXPECT_EQ(0U, deployment.startsInEast(knownMs));
}

// A successor places at once, and must know of the request before its first placement.
TEST(PlaceEvacuation, HoldsForASuccessorThatCannotReadTheOperatorsTopic)
{
    EvacuatedDeployment deployment;
    deployment.start();
    deployment.evacuate();
    ASSERT_TRUE(deployment.waitUntilKnown(*deployment.leader(), true));
    const std::int64_t knownMs = nowMs();
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.store.newest("keyed.journal", "e").find("east") != std::string::npos; }));
    StoreFaults faults;
    faults.silentTopic = "keyed.op";
    deployment.store.setFaults(faults);
    for (std::size_t i = 0; i < 2; ++i) {
        deployment.nodes[i]->kill();
        deployment.startNode(i);
    }
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.ready(1); }, Millis(8'000)));
    EXPECT_TRUE(deployment.allCompleted(deployment.submitWide(8)));
    EXPECT_EQ(0U, deployment.startsInEast(knownMs));
}

// The topic may be compacted while a node cannot read it, so that the node sees neither request nor withdrawal.
TEST(PlaceEvacuation, EndsWithARecordThatWasDeletedWhileItCouldNotBeRead)
{
    EvacuatedDeployment deployment(1);
    deployment.start();
    deployment.evacuate();
    ASSERT_TRUE(deployment.waitUntilKnown(0, true));
    StoreFaults faults;
    faults.silentTopic = "keyed.op";
    deployment.store.setFaults(faults);
    deployment.withdraw();
    deployment.store.compact("keyed.op");
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitUntilKnown(0, false));
    EXPECT_TRUE(deployment.allCompleted(deployment.submitWide(4, 1'000)));
    EXPECT_GT(deployment.startsInEast(0), 0U);
}

// A service that lasts would stay for ever, and one that is moved as a whole would be away.
TEST(PlaceEvacuation, MovesServicesWithinTheirDisruptionBudget)
{
    EvacuatedDeployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    const Json steps = {Deployment::step(4, WHOLE_MINION, {{"longRunning", true}, {"mayMiss", 1}})};
    ASSERT_EQ(200, deployment.submit(0, "plan", id, steps, {{"lasts", true}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(id, 4));
    deployment.minions.push_back(
        std::make_unique<Standins::PlatformMinionStandin>("i-4", "desk", "r1", deployment.runs));
    deployment.minions.back()->start(deployment.io, deployment.store);
    deployment.evacuate();
    ASSERT_TRUE(deployment.waitUntilKnown(*deployment.leader(), true));
    const std::int64_t knownMs = nowMs();
    const auto movedRuns = [&] {
        const std::vector<TaskRun> all = deployment.runs.of(id);
        return std::count_if(all.begin(), all.end(),
                             [](const TaskRun &run) { return run.minion == "i-4" && run.endedMs == 0; });
    };
    EXPECT_TRUE(Cluster::eventually([&] { return movedRuns() == 1; }));
    // There is room for one of the two, so the other stays where it runs.
    EXPECT_TRUE(deployment.waitForRunCount(id, 4));
    const std::vector<TaskRun> all = deployment.runs.of(id);
    EXPECT_EQ(1, std::count_if(all.begin(), all.end(), [](const TaskRun &run) { return run.how == "stopped"; }));
    EXPECT_EQ(0U, deployment.startsInEast(knownMs));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

} // namespace

} // namespace Papaya::Testing
