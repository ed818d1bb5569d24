#include "evacuation/coldminions.h"
#include "evacuation/placeevacuations.h"
#include "evacuation/servicemoves.h"
#include "steps/waitreason.h"

#include <gtest/gtest.h>

// Tests the decisions on failure domains that the operators have asked to evacuate.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 50'000;
const PlaceName EAST("east");
const PlaceName WEST("west");

// A node that starts while it cannot read the operators' topic must not send work to a place that is being evacuated.
TEST(PlaceEvacuations, GoByTheJournalsCopyUntilTheOperatorsTopicHasBeenRead)
{
    PlaceEvacuations evacuations;
    evacuations.setCopy({EAST});
    EXPECT_EQ(std::set<PlaceName> {EAST}, evacuations.inForce());
    EXPECT_FALSE(evacuations.copyOutdated()) << "a node that has not read the topic must not replace the copy";
    evacuations.reload({WEST});
    EXPECT_EQ(std::set<PlaceName> {WEST}, evacuations.inForce());
    EXPECT_TRUE(evacuations.copyOutdated());
    evacuations.setCopy({WEST});
    EXPECT_FALSE(evacuations.copyOutdated());
}

// The store may drop the deletion of a record, so that only the record's absence tells of it.
TEST(PlaceEvacuations, EndWithAWithdrawalAndWithARecordThatIsMissingAfterAReload)
{
    PlaceEvacuations evacuations;
    evacuations.reload({});
    EXPECT_FALSE(evacuations.everRequested());
    evacuations.request(EAST);
    evacuations.request(WEST);
    evacuations.withdraw(WEST);
    EXPECT_EQ(std::set<PlaceName> {EAST}, evacuations.inForce());
    evacuations.reload({});
    EXPECT_TRUE(evacuations.inForce().empty());
    EXPECT_TRUE(evacuations.everRequested());
}

/** Four minions, the first two of them in an evacuated failure domain, and a long-running job of four tasks. */
struct EvacuationScenario {
    explicit EvacuationScenario(std::uint32_t maxUnavailable)
    {
        QueueConfig queue;
        queue.name = QueueName("serve");
        queue.service = ServiceName("desk");
        config.queues = {queue};
        for (std::size_t i = 0; i < 4; ++i) {
            MinionView minion;
            minion.id = MinionId("m" + std::to_string(i));
            minion.service = queue.service;
            minion.capacity = minion.free = {8'000, 16'000, 4};
            minion.usable = i >= 2;
            minion.obstacle = minion.usable ? std::string_view() : EVACUATED;
            minions.push_back(minion);
        }
        job.id = JobId("job");
        job.queue = queue.name;
        job.service = queue.service;
        StepSpec step;
        step.count = 4;
        step.need = {1'000, 1'000, 2};
        step.longRunning = true;
        step.maxUnavailable = maxUnavailable;
        job.spec.steps = {step};
        jobTable.apply(StepJobSubmitted {job});
    }

    static UnitKey unit(std::int32_t index)
    {
        return {JobId("job"), 0, 0, index};
    }

    PlanInput input() const
    {
        return {jobTable, config, times, tickets, minions, {}, {}, {}, NOW, NOW};
    }

    /** @param unavailable tasks of the step that are not available */
    std::vector<UnitKey> moves(std::uint32_t unavailable) const
    {
        std::vector<StrandedUnit> units;
        units.reserve(4);
        for (std::int32_t i = 0; i < 4; ++i) {
            units.push_back({unit(i), 1, unavailable});
        }
        return unitsToMove(input(), units);
    }

    StepJob job;
    JobTable jobTable;
    DeploymentConfig config;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
};

// Moving all tasks of a service at once would take it down.
TEST(ServiceMoves, KeepToTheDisruptionBudgetOfTheStep)
{
    EXPECT_EQ(2U, EvacuationScenario(2).moves(0).size());
    EXPECT_EQ(1U, EvacuationScenario(2).moves(1).size());
    EXPECT_TRUE(EvacuationScenario(2).moves(2).empty());
    EXPECT_EQ(1U, EvacuationScenario(0).moves(0).size()) << "without a budget, one at a time";
    EXPECT_TRUE(EvacuationScenario(0).moves(1).empty());
}

// A task that is stopped without room elsewhere would be away until the evacuation ends.
TEST(ServiceMoves, NeedRoomOutsideTheEvacuatedPlaces)
{
    EvacuationScenario scenario(4);
    scenario.minions[2].free.gpus = 3;
    scenario.minions[3].free.gpus = 1;
    EXPECT_EQ((std::vector<UnitKey> {EvacuationScenario::unit(0)}), scenario.moves(0));
    scenario.minions[2].free.gpus = 0;
    EXPECT_TRUE(scenario.moves(0).empty());
}

TEST(EvacuatedMinions, GetNoWorkAndAreNamedAsTheReasonOfAWait)
{
    EvacuationScenario scenario(0);
    scenario.minions[2].free.gpus = scenario.minions[3].free.gpus = 0;
    EXPECT_TRUE(planSteps(scenario.input()).starts.empty());
    const WaitExplanation wait = explainWait(scenario.input(), EvacuationScenario::unit(0));
    EXPECT_EQ(WaitReason::Evacuated, wait.reason);
    EXPECT_EQ("there is room for 0 of 1 tasks, and for 4 on minions of evacuated failure domains", wait.detail);
    scenario.minions[3].free.gpus = 2;
    const PlanDecisions decisions = planSteps(scenario.input());
    ASSERT_EQ(1U, decisions.starts.size());
    EXPECT_EQ(3U, decisions.starts[0].minions.at(0));
}

// Minions that come back from an evacuation run slower for a while.
TEST(ColdMinions, GetWorkOnlyWhenNoOtherHasRoom)
{
    EvacuationScenario scenario(0);
    scenario.minions[2].cold = true;
    const ColdMinions preference;
    PlanInput input = scenario.input();
    input.preferences = {&preference};
    const PlanDecisions decisions = planSteps(input);
    ASSERT_EQ(4U, decisions.starts.size());
    EXPECT_EQ(3U, decisions.starts[0].minions.at(0));
    EXPECT_EQ(3U, decisions.starts[1].minions.at(0));
    EXPECT_EQ(2U, decisions.starts[2].minions.at(0));
}

} // namespace

} // namespace Papaya
