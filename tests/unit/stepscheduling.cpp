#include "steps/departure.h"
#include "steps/minionclock.h"
#include "steps/progresswatch.h"
#include "steps/runtimes.h"
#include "steps/stepscheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

// Tests the step scheduler and the policies that it uses. A comment before a test names the load pattern that the
// policy is made for.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 1'000'000;
constexpr std::int64_t SHORT_WAIT_MS = 1'000; // that a policy may make a job wait
constexpr std::int64_t OVERDUE_MS = 2'000;    // no job may stand still for 3 s, and a start takes time

/** A small fleet with its jobs and running units. */
class Scenario
{
public:
    explicit Scenario(std::size_t racks = 2, std::size_t minionsPerRack = 2)
    {
        config.queues = {queue("urgent", 0), queue("plan", 1), queue("batch", 2)};
        config.teams = {{TeamName("a"), 8}, {TeamName("b"), 0}};
        for (std::size_t i = 0; i < racks * minionsPerRack; ++i) {
            MinionView minion;
            minion.id = MinionId("m" + std::to_string(i));
            minion.service = ServiceName("desk");
            minion.rack = RackName("r" + std::to_string(i / minionsPerRack));
            minion.labels = {"a", minion.rack.value()};
            minion.capacity = minion.free = {64'000, 128'000, 8};
            minions.push_back(minion);
        }
    }

    static QueueConfig queue(const std::string &name, std::uint32_t priority)
    {
        QueueConfig config;
        config.name = QueueName(name);
        config.service = ServiceName("desk");
        config.priority = priority;
        config.attempts = 2;
        config.stretch = 2;
        config.targetMs = 1'000;
        return config;
    }

    static StepSpec step(std::uint32_t count, std::int64_t gpus, bool gang = false)
    {
        StepSpec step;
        step.count = count;
        step.need = {1'000, 1'000, gpus};
        step.estimate = Millis(2'000);
        step.gang = gang;
        return step;
    }

    JobId submit(const std::string &queueName, const StepSpec &step, std::int64_t ageMs = 0,
                 const std::string &team = "a")
    {
        StepJob job;
        job.id = JobId("job" + std::to_string(++jobs));
        const QueueConfig &queueConfig = *config.queue(QueueName(queueName));
        job.queue = queueConfig.name;
        job.service = queueConfig.service;
        job.team = TeamName(team);
        job.priority = queueConfig.priority;
        job.attempts = queueConfig.attempts;
        job.stretch = queueConfig.stretch;
        job.targetMs = queueConfig.targetMs;
        job.submittedMs = NOW - ageMs;
        job.spec.steps = {step};
        jobTable.apply(StepJobSubmitted {job});
        return job.id;
    }

    /**
     * Places @p unit on minions.
     * @param minionIndices minion of each member, as an index into minions
     * @param lossMs work that a preemption would lose
     */
    void run(const UnitKey &unit, const std::vector<std::size_t> &minionIndices, std::int64_t lossMs)
    {
        UnitStatus status;
        status.state = UnitState::Placed;
        status.run = 1;
        const JobEntry &entry = *jobTable.find(unit.job);
        ActiveUnit activeUnit;
        activeUnit.key = unit;
        activeUnit.team = entry.job.team;
        activeUnit.priority = entry.job.priority;
        activeUnit.need = countedNeed(entry.job.spec.steps[unit.step]);
        activeUnit.minions = minionIndices;
        activeUnit.lossMs = lossMs;
        for (const std::size_t minionIndex : minionIndices) {
            status.minions.push_back(minions[minionIndex].id);
            minions[minionIndex].free -= activeUnit.need;
        }
        active.push_back(activeUnit);
        jobTable.apply(UnitChanged {unit, status});
    }

    /** Fills every minion with batch tasks of one GPU. A preemption of task i on minion m loses 1000 m + i ms. */
    void fillWithBatch()
    {
        for (std::size_t m = 0; m < minions.size(); ++m) {
            const JobId id = submit("batch", step(8, 1));
            for (int i = 0; i < 8; ++i) {
                run({id, 0, 0, i}, {m}, 1'000 * static_cast<std::int64_t>(m) + i);
            }
        }
    }

    PlanDecisions plan(const StartWindow &underWay = {}) const
    {
        PlanInput input {jobTable, config, times, tickets, minions, active, {}, {}, NOW, NOW};
        input.startWindow = underWay;
        return planSteps(std::move(input));
    }

    /** Runs a pass when the jobs of which nothing runs have stood still for @p waitedMs. */
    PlanDecisions planAfterWaiting(std::int64_t waitedMs) const
    {
        std::map<UnitKey, RunPhase> phases;
        for (const ActiveUnit &unit : active) {
            phases[unit.key] = RunPhase::Running;
        }
        IdleJobs idle;
        idle.update(jobTable, phases, {NOW, NOW - waitedMs});
        PlanInput input {jobTable, config, times, tickets, minions, active, {}, {}, NOW, NOW, headroom, &idle};
        return planSteps(std::move(input));
    }

    DeploymentConfig config;
    JobTable jobTable;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
    std::vector<ActiveUnit> active;
    Headroom headroom;
    int jobs = 0;
};

// Guards against starts that are decided faster than minions answer, and against small jobs that wait for large ones.
TEST(StepScheduler, LeavesTasksOfALargeJobWaitingWhileItsStartsAreUnderWay)
{
    Scenario setup;
    StepSpec tiny;
    tiny.count = 2'000;
    tiny.need = {1, 1, 0};
    const JobId large = setup.submit("urgent", tiny, 1'000);
    tiny.count = 1;
    const JobId small = setup.submit("batch", tiny);
    const PlanDecisions first = setup.plan();
    EXPECT_TRUE(first.windowFull);
    ASSERT_EQ(StartWindow::MAX_OF_STEP + 1, first.starts.size());
    EXPECT_EQ(small, first.starts.back().unit.job);
    StartWindow underWay;
    underWay.add({large, 0, 0}, StartWindow::MAX_OF_STEP);
    const PlanDecisions second = setup.plan(underWay);
    ASSERT_EQ(1U, second.starts.size());
    EXPECT_EQ(small, second.starts.front().unit.job);
}

TEST(StartWindow, KeepsRoomForStepsThatHaveNoStartUnderWay)
{
    StartWindow window;
    const auto step = [](std::uint32_t number) { return StepKey {JobId("job"), 0, number}; };
    for (std::uint32_t i = 0; i < 4; ++i) {
        window.add(step(i), StartWindow::MAX_OF_STEP);
    }
    EXPECT_FALSE(window.admits(step(0)));
    window.add(step(4), 1);
    EXPECT_FALSE(window.admits(step(4)));
    EXPECT_TRUE(window.admits(step(5)));
    window.add(step(5), StartWindow::MAX_OF_BUSY_STEPS); // a gang of any size
    EXPECT_FALSE(window.admits(step(6)));
}

// Guards against polls that list thousands of tasks each, as small tasks were all packed on one minion.
TEST(StepScheduler, SpreadsManySmallTasksOverTheMinions)
{
    Scenario setup;
    StepSpec tiny;
    tiny.count = 1;
    tiny.need = {1, 1, 0};
    setup.submit("batch", tiny);
    const std::size_t packed = setup.plan().starts.front().minions.front();
    setup.minions[packed].tasks = 250;
    EXPECT_NE(packed, setup.plan().starts.front().minions.front());
}

TEST(StepScheduler, PlacesAGangWholeOrNotAtAll)
{
    Scenario scenario(1, 2);
    const JobId fits = scenario.submit("plan", Scenario::step(2, 8, true));
    EXPECT_EQ(2U, scenario.plan().starts.at(0).minions.size());
    EXPECT_EQ(fits, scenario.plan().starts.at(0).unit.job);
    Scenario full(1, 2);
    full.submit("plan", Scenario::step(3, 8, true));
    EXPECT_TRUE(full.plan().starts.empty());
}

TEST(StepScheduler, KeepsASameRackGangWaitingForOneRackWhileTheFleetIsBusy)
{
    Scenario scenario(2, 2);
    StepSpec sameRackGang = Scenario::step(2, 8, true);
    sameRackGang.sameRack = true;
    // One minion of each rack is occupied, so the two free ones are on different racks.
    const JobId other = scenario.submit("plan", Scenario::step(2, 8, true));
    scenario.run({other, 0, 0, UnitKey::GANG}, {0, 2}, 0);
    scenario.minions[1].free.gpus = 7; // now more than half of the fleet is in use
    scenario.submit("plan", sameRackGang);
    EXPECT_TRUE(scenario.plan().starts.empty());
    scenario.minions[0].free = scenario.minions[0].capacity;
    scenario.minions[1].free = scenario.minions[1].capacity;
    EXPECT_EQ((std::vector<std::size_t> {0, 1}), scenario.plan().starts.at(0).minions);
}

// Guards against a task that is placed beside another one of its step which an earlier planner has started.
TEST(StepScheduler, CountsTasksThatAreStillToBeStoppedAgainstTheLimitOfAMinion)
{
    Scenario scenario(1, 1);
    StepSpec step = Scenario::step(1, 0);
    step.maxPerMinion = 1;
    const JobId id = scenario.submit("plan", step);
    PlanInput input {
        scenario.jobTable, scenario.config, scenario.times, scenario.tickets, scenario.minions, {}, {}, {}, NOW, NOW};
    PlanInput other = input;
    input.strays[{id, 0, 0}][scenario.minions[0].id] = 1;
    EXPECT_TRUE(planSteps(std::move(input)).starts.empty());
    EXPECT_EQ(1U, planSteps(std::move(other)).starts.size());
}

TEST(StepScheduler, CountsNoFinishedTaskAgainstTheLimitOfAMinion)
{
    Scenario scenario(1, 2);
    StepSpec apart = Scenario::step(3, 1);
    apart.maxPerMinion = 1;
    const JobId id = scenario.submit("plan", apart);
    for (int i = 0; i < 2; ++i) {
        UnitStatus done;
        done.state = UnitState::Done;
        done.run = 1;
        done.minions = {scenario.minions[static_cast<std::size_t>(i)].id};
        scenario.jobTable.apply(UnitChanged {{id, 0, 0, i}, done});
    }
    ASSERT_EQ(1U, scenario.plan().starts.size());
    EXPECT_EQ((UnitKey {id, 0, 0, 2}), scenario.plan().starts.at(0).unit);
}

/** Prefers any other minion to one. */
class AvoidsMinion : public PlacementPreference
{
public:
    explicit AvoidsMinion(MinionId minion)
        : m_minion(std::move(minion))
    {
    }
    [[nodiscard]] double cost(const StepJob & /*job*/, const StepSpec & /*step*/,
                              const MinionView &minion) const override
    {
        return minion.id == m_minion ? 1 : 0;
    }

private:
    MinionId m_minion;
};

// A preference that made a unit wait would turn an estimate into lost capacity.
TEST(PlacementPreference, OrdersMinionsWithRoomAndMakesNoUnitWait)
{
    Scenario scenario(1, 2);
    const AvoidsMinion preference(scenario.minions[0].id);
    const JobId job = scenario.submit("plan", Scenario::step(1, 4));
    const auto plan = [&] {
        PlanInput input {scenario.jobTable,
                         scenario.config,
                         scenario.times,
                         scenario.tickets,
                         scenario.minions,
                         {},
                         {},
                         {},
                         NOW,
                         NOW};
        input.preferences = {&preference};
        return planSteps(std::move(input));
    };
    ASSERT_EQ(1U, plan().starts.size());
    EXPECT_EQ(1U, plan().starts[0].minions.at(0));
    scenario.minions[1].free.gpus = 3;
    ASSERT_EQ(1U, plan().starts.size());
    EXPECT_EQ(0U, plan().starts[0].minions.at(0));
    EXPECT_EQ(job, plan().starts[0].unit.job);
}

// Load pattern: rack-bound jobs on a fleet more than half full of long work, so that none of their racks gets free.
// Each of the tests below is of a job that stands still although the fleet has room for it twice over.
TEST(OverdueJob, OfASameRackGangIsSpreadOverRacks)
{
    Scenario scenario(2, 4);
    StepSpec sameRackGang = Scenario::step(2, 8, true);
    sameRackGang.sameRack = true;
    const JobId other = scenario.submit("plan", Scenario::step(6, 8, true));
    scenario.run({other, 0, 0, UnitKey::GANG}, {0, 1, 2, 4, 5, 6}, 0);
    const JobId gang = scenario.submit("plan", sameRackGang);
    EXPECT_TRUE(scenario.planAfterWaiting(OVERDUE_MS).starts.empty()); // there is room for it only once
    MinionView spare = scenario.minions[0];
    spare.free = spare.capacity;
    for (const char *rack : {"r2", "r3"}) {
        spare.id = MinionId(std::string("m-") + rack);
        spare.rack = RackName(rack);
        scenario.minions.push_back(spare);
    }
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).starts.empty());
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    ASSERT_EQ(1U, decisions.starts.size());
    EXPECT_EQ(gang, decisions.starts[0].unit.job);
}

TEST(OverdueJob, WithItsDataOnAFullRackRunsOneTaskElsewhere)
{
    Scenario scenario(2, 2);
    scenario.fillWithBatch();
    StepSpec dataBound = Scenario::step(3, 1);
    dataBound.dataRack = RackName("r1");
    const JobId job = scenario.submit("plan", dataBound);
    scenario.minions[0].free.gpus = 4;
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).starts.empty());
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    ASSERT_EQ(1U, decisions.starts.size()); // the other tasks still wait for their rack
    EXPECT_EQ(job, decisions.starts[0].unit.job);
    scenario.run(decisions.starts[0].unit, decisions.starts[0].minions, 0);
    EXPECT_TRUE(scenario.planAfterWaiting(OVERDUE_MS).starts.empty());
}

TEST(OverdueJob, OfALongRunningStepRunsEachTaskThatStandsStill)
{
    Scenario scenario(2, 2);
    scenario.fillWithBatch();
    StepSpec serving = Scenario::step(2, 1);
    serving.dataRack = RackName("r1");
    serving.longRunning = true;
    scenario.submit("plan", serving);
    scenario.minions[0].free.gpus = 4;
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).starts.empty());
    EXPECT_EQ(2U, scenario.planAfterWaiting(OVERDUE_MS).starts.size());
}

TEST(OverdueJob, OfALongRunningStepIsNotHeldUpByATaskThatHasJustEnded)
{
    Scenario scenario(2, 2);
    scenario.fillWithBatch();
    StepSpec serving = Scenario::step(2, 1);
    serving.dataRack = RackName("r1");
    serving.longRunning = true;
    const JobId job = scenario.submit("plan", serving);
    scenario.minions[0].free.gpus = 4;
    const UnitKey first {job, 0, 0, 0};
    UnitStatus status;
    status.state = UnitState::Placed;
    status.run = 1;
    status.minions = {scenario.minions[0].id};
    scenario.jobTable.apply(UnitChanged {first, status});
    IdleJobs idle;
    idle.update(scenario.jobTable, {{first, RunPhase::Running}}, {NOW, NOW - OVERDUE_MS});
    status.state = UnitState::Waiting;
    status.minions.clear();
    scenario.jobTable.apply(UnitChanged {first, status});
    idle.update(scenario.jobTable, {}, {NOW, NOW});
    PlanInput input {scenario.jobTable,
                     scenario.config,
                     scenario.times,
                     scenario.tickets,
                     scenario.minions,
                     scenario.active,
                     {},
                     {},
                     NOW,
                     NOW,
                     scenario.headroom,
                     &idle};
    const PlanDecisions decisions = planSteps(std::move(input));
    ASSERT_EQ(1U, decisions.starts.size());
    EXPECT_EQ((UnitKey {job, 0, 0, 1}), decisions.starts[0].unit);
}

// Load pattern: urgent gangs preempt batch work again and again, so that the headroom never ends.
TEST(OverdueJob, IsNotHeldBackByTheHeadroom)
{
    Scenario scenario(1, 2);
    const JobId batch = scenario.submit("batch", Scenario::step(3, 1));
    scenario.headroom.preempted(2, 100, NOW);
    scenario.minions[0].free.gpus = 2;
    scenario.minions[1].free.gpus = 2;
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).starts.empty());
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    ASSERT_EQ(1U, decisions.starts.size()); // its other tasks leave the headroom free
    EXPECT_EQ(batch, decisions.starts[0].unit.job);
    scenario.minions[0].free.gpus = 1;
    scenario.minions[1].free.gpus = 0;
    EXPECT_TRUE(scenario.planAfterWaiting(OVERDUE_MS).starts.empty());
}

// Load pattern: a job fails by its own fault on minion after minion, so that sound minions are on probation.
TEST(OverdueJob, RunsOnAMinionThatIsKeptFromNewWorkIfNoOtherHasRoom)
{
    Scenario scenario(1, 3);
    scenario.minions[0].usable = scenario.minions[1].usable = scenario.minions[2].usable = false;
    scenario.minions[1].lastResort = true;
    const JobId job = scenario.submit("plan", Scenario::step(2, 1));
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).starts.empty());
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    ASSERT_EQ(1U, decisions.starts.size());
    EXPECT_EQ(job, decisions.starts[0].unit.job);
    EXPECT_EQ(1U, decisions.starts[0].minions.at(0));
    scenario.minions[2].usable = true;
    for (const UnitStart &start : scenario.planAfterWaiting(OVERDUE_MS).starts) {
        EXPECT_EQ(2U, start.minions.at(0));
    }
}

TEST(OverdueJob, OfAnAdvisedQueueAsksAboutMinionsThatAreKeptFromNewWork)
{
    Scenario scenario(1, 1);
    scenario.config.queues[1].oracle = OracleTerms {};
    scenario.minions[0].usable = false;
    scenario.minions[0].lastResort = true;
    scenario.submit("plan", Scenario::step(1, 1));
    EXPECT_TRUE(scenario.planAfterWaiting(SHORT_WAIT_MS).admissionQueries.empty());
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    EXPECT_TRUE(decisions.starts.empty());
    ASSERT_EQ(1U, decisions.admissionQueries.size());
    const AdmissionQuery &query = decisions.admissionQueries[0];
    scenario.tickets.add(query.request.step, query.minions, {{query.minions.at(0), "ticket"}}, NOW + 1'000);
    EXPECT_EQ(1U, scenario.planAfterWaiting(OVERDUE_MS).starts.size());
}

TEST(StepScheduler, SpreadsASameRackGangOverRacksIfNoRackCanHoldIt)
{
    Scenario scenario(2, 2);
    StepSpec sameRackGang = Scenario::step(3, 8, true);
    sameRackGang.sameRack = true;
    scenario.submit("plan", sameRackGang);
    EXPECT_EQ(3U, scenario.plan().starts.at(0).minions.size());
}

TEST(StepScheduler, SpreadsASameRackGangOverRacksIfNoRackHasAsManyMinionsAsItsLimitNeeds)
{
    Scenario scenario(2, 2);
    const JobId other = scenario.submit("plan", Scenario::step(4, 5, true));
    scenario.run({other, 0, 0, UnitKey::GANG}, {0, 1, 2, 3}, 0); // more than half of the fleet is in use
    StepSpec gang = Scenario::step(3, 1, true);
    gang.sameRack = true;
    gang.maxPerMinion = 1;
    scenario.submit("plan", gang);
    ASSERT_EQ(1U, scenario.plan().starts.size());
    EXPECT_EQ(3U, scenario.plan().starts[0].minions.size());
}

TEST(StepScheduler, KeepsATaskWaitingForItsDataRackWhileAnotherRackHasCapacity)
{
    Scenario scenario(2, 2);
    scenario.fillWithBatch();
    StepSpec dataBound = Scenario::step(1, 1);
    dataBound.dataRack = RackName("r1");
    scenario.submit("plan", dataBound);
    scenario.minions[0].free.gpus = 4;
    EXPECT_TRUE(scenario.plan().starts.empty());
    scenario.minions[3].free.gpus = 4;
    EXPECT_EQ(3U, scenario.plan().starts.at(0).minions.at(0));
}

// Load pattern: a burst of urgent checks on a fleet full of batch work.
TEST(StepScheduler, PreemptsTheTasksThatLoseLeastForUrgentWorkOnAFullFleet)
{
    Scenario scenario(1, 3);
    scenario.fillWithBatch();
    const JobId urgent = scenario.submit("urgent", Scenario::step(1, 4));
    const PlanDecisions decisions = scenario.plan();
    EXPECT_TRUE(decisions.starts.empty());
    ASSERT_EQ(4U, decisions.stops.size());
    for (const UnitStop &stop : decisions.stops) {
        EXPECT_EQ(JobId("job1"), stop.unit.job); // the batch tasks on the first minion lose least
        EXPECT_EQ(urgent, stop.beneficiary.job);
    }
}

TEST(StepScheduler, PreemptsNothingMoreAndReservesFreeCapacityWhileTasksStopForUrgentWork)
{
    Scenario scenario(1, 1);
    scenario.fillWithBatch();
    scenario.submit("urgent", Scenario::step(1, 4));
    for (int i = 0; i < 4; ++i) {
        scenario.active[static_cast<std::size_t>(i)].stopping = true;
        scenario.minions[0].releasing += scenario.active[static_cast<std::size_t>(i)].need;
    }
    // Free capacity is reserved along with what is being released: a smaller job that arrives later must not use it.
    scenario.minions[0].free.gpus = 3;
    scenario.minions[0].releasing.gpus = 1;
    scenario.submit("batch", Scenario::step(1, 2));
    const PlanDecisions decisions = scenario.plan();
    EXPECT_TRUE(decisions.stops.empty());
    EXPECT_TRUE(decisions.starts.empty());
}

TEST(StepScheduler, PreemptsACostlyTaskForUrgentWorkOnlyWithinTheTeamsGuarantee)
{
    Scenario scenario(1, 1);
    const JobId batch = scenario.submit("batch", Scenario::step(1, 8));
    scenario.run({batch, 0, 0, 0}, {0}, 60'000);
    scenario.submit("urgent", Scenario::step(1, 1), 0, "b");
    EXPECT_TRUE(scenario.plan().stops.empty());
    scenario.submit("urgent", Scenario::step(1, 1), 0, "a"); // only team a has a guarantee
    EXPECT_EQ(1U, scenario.plan().stops.size());
}

TEST(StepScheduler, CountsPlacedTasksOfAStepOnlyOnceAgainstTheTeamsGuarantee)
{
    Scenario scenario(1, 1);
    const JobId urgent = scenario.submit("urgent", Scenario::step(8, 1)); // as many GPUs as team a is guaranteed
    for (int i = 0; i < 7; ++i) {
        scenario.run({urgent, 0, 0, i}, {0}, 100);
    }
    const JobId batch = scenario.submit("batch", Scenario::step(1, 1));
    scenario.run({batch, 0, 0, 0}, {0}, 60'000);
    const PlanDecisions decisions = scenario.plan();
    ASSERT_EQ(1U, decisions.stops.size());
    EXPECT_EQ(batch, decisions.stops[0].unit.job);
}

TEST(StepScheduler, PreemptsABorrowerForUrgentWorkOfAGuaranteedTeam)
{
    Scenario scenario(1, 1);
    const JobId borrower = scenario.submit("urgent", Scenario::step(1, 8), 0, "b");
    scenario.run({borrower, 0, 0, 0}, {0}, 500);
    const JobId owner = scenario.submit("urgent", Scenario::step(1, 8), 0, "a");
    const PlanDecisions decisions = scenario.plan();
    ASSERT_EQ(1U, decisions.stops.size());
    EXPECT_EQ(borrower, decisions.stops[0].unit.job);
    EXPECT_EQ(owner, decisions.stops[0].beneficiary.job);
}

/** Minions of 8 GPUs, each filled by one task of a long-running step of team b. Team a has 8 GPUs guaranteed. */
class LongRunningScenario : public Scenario
{
public:
    LongRunningScenario(std::size_t minionCount, std::uint32_t maxUnavailable)
        : Scenario(1, minionCount)
    {
        StepSpec endless = step(static_cast<std::uint32_t>(minionCount), 8);
        endless.longRunning = true;
        endless.maxUnavailable = maxUnavailable;
        service = submit("batch", endless, 0, "b");
        for (std::size_t m = 0; m < minionCount; ++m) {
            run({service, 0, 0, static_cast<std::int32_t>(m)}, {m}, 0);
            active.back().preemptible = false;
            active.back().longRunning = true;
            active.back().availableTasks = 1;
        }
    }

    /** Runs a pass while @p unavailable tasks of the service are unavailable. @return the number of stops */
    std::size_t stops(std::uint32_t unavailable) const
    {
        PlanInput input {jobTable, config, times, tickets, minions, active, {}, {}, NOW, NOW};
        const std::uint32_t maxUnavailable = jobTable.find(service)->job.spec.steps[0].maxUnavailable;
        input.budgets[{service, 0, 0}] = {maxUnavailable, unavailable};
        return planSteps(std::move(input)).stops.size();
    }

    JobId service;
};

// Guards against a guarantee that is void while long-running work holds its GPUs.
TEST(Reclaim, StopsLongRunningWorkOfOtherTeamsForAGuaranteeOnly)
{
    LongRunningScenario scenario(2, 0);
    scenario.config.teams = {{TeamName("a"), 16}, {TeamName("b"), 0}, {TeamName("c"), 0}};
    scenario.submit("urgent", Scenario::step(1, 8), 0, "c");
    EXPECT_EQ(0U, scenario.stops(0)) << "without a guarantee";
    scenario.submit("urgent", Scenario::step(2, 8, true), 0, "a");
    EXPECT_EQ(2U, scenario.stops(0));
    for (ActiveUnit &unit : scenario.active) {
        unit.priority = 0;
    }
    scenario.config.teams[1].guaranteedGpus = 8;
    EXPECT_EQ(0U, scenario.stops(0)) << "8 of the other team's GPUs are within its own guarantee";
    for (ActiveUnit &unit : scenario.active) {
        unit.team = TeamName("a");
    }
    EXPECT_EQ(0U, scenario.stops(0)) << "urgent work of the same team";
    for (ActiveUnit &unit : scenario.active) {
        unit.priority = 2;
    }
    EXPECT_EQ(2U, scenario.stops(0)) << "a team's own long-running work must not void its guarantee either";
}

// Guards against several stops in one pass that each keep to the budget, but not together.
TEST(Reclaim, KeepsToTheDisruptionBudgetOfAllStopsInAPass)
{
    LongRunningScenario scenario(4, 2);
    scenario.config.teams[0].guaranteedGpus = 32;
    scenario.submit("urgent", Scenario::step(2, 8, true), 0, "a");
    EXPECT_EQ(2U, scenario.stops(0));
    EXPECT_EQ(0U, scenario.stops(1)) << "a gang needs two at once";
    scenario.submit("urgent", Scenario::step(2, 8), 0, "a");
    EXPECT_EQ(2U, scenario.stops(0)) << "of two steps";
    EXPECT_EQ(1U, scenario.stops(1));
    EXPECT_EQ(0U, scenario.stops(2));
}

TEST(Reclaim, SparesLongRunningWorkIfOtherVictimsSuffice)
{
    LongRunningScenario scenario(2, 0);
    const JobId batch = scenario.submit("batch", Scenario::step(8, 1), 0, "b");
    scenario.active.pop_back();
    scenario.minions[1].free = scenario.minions[1].capacity;
    for (int i = 0; i < 8; ++i) {
        scenario.run({batch, 0, 0, i}, {1}, 3'600'000);
    }
    scenario.submit("urgent", Scenario::step(1, 8), 0, "a");
    EXPECT_EQ(8U, scenario.stops(0));
    scenario.active.back().preemptible = false; // nearly done
    scenario.active.back().remainingMs = 500;
    EXPECT_EQ(7U, scenario.stops(0)) << "its end is waited for";
    scenario.active.back().remainingMs = 60'000;
    EXPECT_EQ(8U, scenario.stops(0)) << "it would end too late for the guarantee";
}

TEST(Reclaim, TakesTheLongerEstimateOfTheRemainingTime)
{
    EXPECT_EQ(1'000, remainingMs({9'000, 8'000, 90}));
    EXPECT_EQ(12'000, remainingMs({100, 120'000, 90})) << "run time unknown after a take-over";
    EXPECT_EQ(0, remainingMs({9'000, 8'000, 100}));
    EXPECT_EQ(900, longestAwaitedMs(10'000, 900)) << "a stop would take as long";
}

// Load pattern: demand exceeds capacity for a whole day.
TEST(StepScheduler, StartsAJobThatCanMeetItsTargetBeforeALateJob)
{
    Scenario scenario(1, 1);
    scenario.submit("plan", Scenario::step(1, 8), 4'000); // target is 5 s after submission; 1 s remains for 2 s of work
    const JobId inTime = scenario.submit("plan", Scenario::step(1, 8), 500);
    ASSERT_EQ(1U, scenario.plan().starts.size());
    EXPECT_EQ(inTime, scenario.plan().starts[0].unit.job);
}

// Load pattern: estimates that are off by an order of magnitude.
TEST(RunTimes, PredictTheMeanOfAQueueWhoseEstimatesAreUninformative)
{
    RunTimes times;
    const QueueName queue("q");
    for (int i = 0; i < 200; ++i) {
        times.add(queue, i % 2 == 0 ? 200 : 20'000, 2'000 + i);
    }
    EXPECT_NEAR(2'100, double(times.expectedMs(queue, 200)), 500);
    EXPECT_NEAR(2'100, double(times.expectedMs(queue, 20'000)), 500);
}

TEST(RunTimes, CountARunFromItsFirstRecord)
{
    RunTimes times;
    StepJob job;
    job.id = JobId("job");
    job.queue = QueueName("q");
    job.spec.steps = {Scenario::step(1, 1)};
    UnitChanged change {{job.id, 0, 0, 0}, {}};
    for (std::int64_t start = 0; start < 200 * 3'000; start += 3'000) {
        change.status.state = UnitState::Placed;
        times.observe(job, change, start);
        times.observe(job, change, start + 1'500);
        change.status.state = UnitState::Done;
        times.observe(job, change, start + 2'000);
    }
    EXPECT_NEAR(2'000, double(times.expectedMs(job.queue, job.spec.steps[0].estimate.count())), 100);
}

TEST(RunTimes, FollowEstimatesThatAreAccurate)
{
    RunTimes times;
    const QueueName queue("q");
    for (int i = 1; i < 100; ++i) {
        times.add(queue, 100 * i, 110 * i);
    }
    EXPECT_NEAR(1'100, double(times.expectedMs(queue, 1'000)), 100);
    EXPECT_NEAR(8'800, double(times.expectedMs(queue, 8'000)), 800);
    EXPECT_EQ(700, times.expectedMs(QueueName("unseen"), 700));
}

RC_GTEST_PROP(RunTimes, ArePositiveAndPlausibleTimesAreNotBelowExpectedTimes,
              (const std::vector<std::pair<unsigned short, unsigned short>> &runs))
{
    RunTimes times;
    const QueueName queue("q");
    for (const auto &[estimate, actual] : runs) {
        times.add(queue, estimate, actual);
    }
    const std::int64_t expected = times.expectedMs(queue, 1'000);
    RC_ASSERT(expected > 0);
    RC_ASSERT(times.plausibleMs(queue, 1'000) >= expected);
}

// Load pattern: minions that are drained and reclaimed at short notice.
TEST(Departure, StopsOnlyRunsThatWillNotEndBeforeTheMinionLeaves)
{
    EXPECT_FALSE(shouldLeave({2'000, 50, 4'000, 2'500, false})); // 2 s of work remain
    EXPECT_TRUE(shouldLeave({2'000, 50, 4'000, 1'500, false}));
    EXPECT_FALSE(shouldLeave({2'000, 10, 4'000, 3'000, true})); // continues to make progress until it must stop
    EXPECT_TRUE(shouldLeave({2'000, 10, 4'000, 1'000, true}));
    EXPECT_TRUE(shouldLeave({0, 0, 4'000, 1'000, false}));
}

// Load pattern: minions that hang while they report themselves as healthy.
TEST(ProgressWatch, ReportsRunsAsStuckAfterAStallThatIsLongForTheirRunTime)
{
    EXPECT_FALSE(isStuck({10, 1'500, 4'000}));
    EXPECT_TRUE(isStuck({10, 1'700, 4'000}));
    EXPECT_FALSE(isStuck({10, 1'700, 40'000})); // 1 % of a long run takes longer
    EXPECT_FALSE(isStuck({100, 9'000, 4'000}));
}

// Load pattern: a burst of urgent gangs on a fleet of which every eighth minion hangs, so that most gangs have a member
// that never begins and each second until it is found is lost for the whole gang.
TEST(ProgressWatch, ReportsARunThatNeverBeganSoonerThanOneThatStalls)
{
    const auto begun = [](std::int64_t stalledMs, std::int64_t plausibleMs) {
        return RunProgress {0, stalledMs, plausibleMs, false, false, false};
    };
    EXPECT_TRUE(isStuck(begun(1'000, 8'000)));
    EXPECT_FALSE(isStuck(begun(800, 8'000)));
    EXPECT_FALSE(isStuck(begun(1'400, 30'000))); // its first percent may take that long on a slow minion
    RunProgress resumed = begun(1'500, 8'000);
    resumed.resumed = true;
    EXPECT_FALSE(isStuck(resumed)); // may still restore its checkpoint
}

// Load pattern: jobs that take many times as long as estimated, on which each minion seems to hang.
TEST(ProgressWatch, WaitsLongerAfterEachMoveSoThatNoUnitMovesForever)
{
    RunProgress run {0, 2'000, 4'000, false, false, false};
    EXPECT_TRUE(isStuck(run));
    for (run.moves = 1; isStuck(run) && run.moves < 10; ++run.moves) {
        run.stalledMs = 10'000;
    }
    EXPECT_LE(run.moves, 4U);
}

TEST(MinionClock, TellsHowLongALeaseMayLastAtMost)
{
    MinionClock clock;
    EXPECT_EQ(0, clock.remainingMs(0));
    clock.addReading(50'000, 1'000);
    clock.grant(1'000, 5'000);
    const std::int64_t remaining = clock.remainingMs(1'000);
    EXPECT_GE(remaining, 5'000);
    EXPECT_LE(remaining, 5'300);
    EXPECT_FALSE(clock.lapsed(1'000 + remaining));
    EXPECT_TRUE(clock.lapsed(1'000 + remaining + 2));
    EXPECT_EQ(0, clock.remainingMs(20'000));
}

/** The minion's clock runs up to 2 % slow or fast, and its readings arrive up to 400 ms late. */
RC_GTEST_PROP(MinionClock, NeverReportsALeaseAsLapsedBeforeItExpiresOnTheMinion, ())
{
    const auto speed = double(*rc::gen::inRange(980, 1'021)) / 1'000;
    const auto start = *rc::gen::inRange<std::int64_t>(0, 1'000'000);
    MinionClock clock;
    std::int64_t latestGrantMs = 0;
    std::int64_t now = 0;
    for (int i = 0; i < 20; ++i) {
        now += *rc::gen::inRange(1, 2'000);
        const auto readingMs = start + static_cast<std::int64_t>(double(now) * speed);
        const std::int64_t receivedMs = now + *rc::gen::inRange(0, 400);
        clock.addReading(readingMs, receivedMs);
        now = receivedMs;
        latestGrantMs = std::max(latestGrantMs, clock.grant(now, 5'000));
        const std::int64_t laterMs = now + *rc::gen::inRange(0, 12'000);
        if (clock.lapsed(laterMs)) {
            RC_ASSERT(start + static_cast<std::int64_t>(double(laterMs) * speed) > latestGrantMs);
        }
    }
}

/** For random fleets and jobs of which nothing runs, no job keeps waiting while there is room for it twice over. */
RC_GTEST_PROP(OverdueJob, NeverStandsStillWhileThereIsRoomForItTwiceOver, ())
{
    Scenario scenario(3, 2);
    for (MinionView &minion : scenario.minions) {
        minion.usable = *rc::gen::weightedElement<bool>({{8, true}, {2, false}});
        minion.lastResort = !minion.usable && *rc::gen::arbitrary<bool>();
        minion.free.gpus = *rc::gen::inRange(0, 9);
        minion.free.cores = *rc::gen::inRange(0, 64'001);
    }
    scenario.headroom.preempted(1, *rc::gen::inRange(0, 100), NOW);
    const int jobs = *rc::gen::inRange(1, 12);
    for (int i = 0; i < jobs; ++i) {
        StepSpec step = Scenario::step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)), *rc::gen::inRange(0, 9),
                                       *rc::gen::arbitrary<bool>());
        step.need.cores = *rc::gen::inRange(1, 30'000);
        step.sameRack = *rc::gen::arbitrary<bool>();
        step.maxPerMinion = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
        step.dataRack = RackName(*rc::gen::element<std::string>("", "r0", "r1"));
        step.longRunning = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
        scenario.submit(*rc::gen::element<std::string>("plan", "batch"), step, *rc::gen::inRange(0, 30'000));
    }
    const PlanDecisions decisions = scenario.planAfterWaiting(OVERDUE_MS);
    std::vector<MinionView> minions = scenario.minions;
    std::map<StepKey, std::map<std::size_t, std::uint32_t>> placed;
    std::set<UnitKey> startedUnits;
    std::set<JobId> startedJobs;
    for (const UnitStart &start : decisions.starts) {
        startedUnits.insert(start.unit);
        startedJobs.insert(start.unit.job);
        for (const std::size_t m : start.minions) {
            RC_ASSERT(minions[m].usable || minions[m].lastResort);
            minions[m].free -= countedNeed(scenario.jobTable.stepOf(start.unit));
            RC_ASSERT(minions[m].free.covers({}));
            ++placed[start.unit.stepKey()][m];
        }
    }
    for (const auto &[key, entry] : scenario.jobTable.live()) {
        const StepSpec &step = entry->job.spec.steps[0];
        for (const UnitKey &unit : JobTable::unitsOf(*entry)) {
            if (step.longRunning ? startedUnits.contains(unit) : startedJobs.contains(unit.job)) {
                continue;
            }
            std::uint32_t room = 0;
            for (std::size_t m = 0; m < minions.size(); ++m) {
                const std::uint32_t limit = step.maxPerMinion == 0 ? 64 : step.maxPerMinion;
                const std::uint32_t left = limit - std::min(limit, placed[unit.stepKey()][m]);
                const bool accepts = minions[m].usable || minions[m].lastResort;
                room += accepts && left > 0 ? membersThatFit(minions[m].free, countedNeed(step), left) : 0;
            }
            RC_ASSERT(room < 2 * (step.gang ? step.count : 1));
        }
    }
}

/** For random fleets and jobs, started units fit and meet their constraints, and a second pass decides the same. */
RC_GTEST_PROP(StepScheduler, StartsOnlyUnitsThatFitTheirMinionsAndIsDeterministic, ())
{
    Scenario scenario(3, 2);
    for (MinionView &minion : scenario.minions) {
        minion.usable = *rc::gen::weightedElement<bool>({{8, true}, {1, false}});
        minion.free.gpus = *rc::gen::inRange(0, 9);
        minion.labels.push_back(*rc::gen::element<std::string>("x", "y"));
    }
    const int jobs = *rc::gen::inRange(1, 25);
    for (int i = 0; i < jobs; ++i) {
        StepSpec step = Scenario::step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)), *rc::gen::inRange(0, 9),
                                       *rc::gen::arbitrary<bool>());
        step.need.cores = *rc::gen::inRange(0, 30'000);
        step.need.memoryMb = *rc::gen::inRange(0, 70'000);
        step.sameRack = *rc::gen::arbitrary<bool>();
        step.maxPerMinion = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
        step.requiredLabel = *rc::gen::element<std::string>("", "x");
        scenario.submit(*rc::gen::element<std::string>("urgent", "plan", "batch"), step, *rc::gen::inRange(0, 30'000),
                        *rc::gen::element<std::string>("a", "b"));
    }
    const PlanDecisions decisions = scenario.plan();
    std::vector<MinionView> minions = scenario.minions;
    std::set<UnitKey> seen;
    for (const UnitStart &start : decisions.starts) {
        const StepSpec &step = scenario.jobTable.stepOf(start.unit);
        RC_ASSERT(seen.insert(start.unit).second);
        RC_ASSERT(start.minions.size() == (step.gang ? step.count : 1));
        for (const std::size_t m : start.minions) {
            RC_ASSERT(minions[m].usable);
            RC_ASSERT(minions[m].free.covers(countedNeed(step)));
            minions[m].free -= countedNeed(step);
            RC_ASSERT(step.requiredLabel.empty() || minions[m].labels.back() == step.requiredLabel);
        }
    }
    std::map<std::pair<StepKey, std::size_t>, std::uint32_t> tasksOnMinion;
    for (const UnitStart &start : decisions.starts) {
        for (const std::size_t m : start.minions) {
            const std::uint32_t limit = scenario.jobTable.stepOf(start.unit).maxPerMinion;
            RC_ASSERT(++tasksOnMinion[std::make_pair(start.unit.stepKey(), m)] <= limit || limit == 0);
        }
    }
    const PlanDecisions again = scenario.plan();
    RC_ASSERT(again.starts.size() == decisions.starts.size());
    RC_ASSERT(again.stops.size() == decisions.stops.size());
}

} // namespace

} // namespace Papaya
