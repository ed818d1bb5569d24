#include "steps/stepscheduler.h"
#include "steps/waitreason.h"

#include <gtest/gtest.h>

#include <chrono>

// Limits the duration of a scheduling pass over a fleet of the size that deployments grow to. Urgent work must start
// within 2.8 s even if the planner has only a tenth of a core, so a pass on a whole core may take only a small part of
// that.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 1'000'000;
constexpr std::size_t MINIONS = 350;
constexpr std::size_t MINIONS_PER_RACK = 12;
constexpr Millis PASS_TIME_LIMIT {100};

/** A large fleet and its jobs. */
class LargeFleetScenario
{
public:
    LargeFleetScenario()
    {
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            QueueConfig queue;
            queue.name = QueueName("q" + std::to_string(priority));
            queue.service = ServiceName("desk");
            queue.priority = priority;
            config.queues.push_back(queue);
        }
        for (std::size_t m = 0; m < MINIONS; ++m) {
            MinionView minion;
            minion.id = MinionId("i-" + std::to_string(m));
            minion.service = ServiceName("desk");
            minion.rack = RackName("r" + std::to_string(m / MINIONS_PER_RACK));
            minion.labels = {"a", minion.rack.value()};
            minion.capacity = minion.free = {64'000, 131'072, 8};
            minions.push_back(minion);
        }
    }

    JobId submit(std::uint32_t priority, std::uint32_t count, std::int64_t gpus, bool sameRackGang)
    {
        StepJob job;
        job.id = JobId("job" + std::to_string(++m_jobs));
        job.queue = QueueName("q" + std::to_string(priority));
        job.service = ServiceName("desk");
        job.team = TeamName("t" + std::to_string(m_jobs % 10));
        job.priority = priority;
        job.attempts = 2;
        job.stretch = 3;
        job.targetMs = 1'000;
        job.submittedMs = NOW - m_jobs;
        StepSpec step;
        step.count = count;
        step.need = {7'500, 11'000, gpus};
        step.estimate = Millis(2'500);
        step.gang = sameRackGang;
        step.sameRack = sameRackGang;
        job.spec.steps = {step};
        jobTable.apply(StepJobSubmitted {job});
        return job.id;
    }

    /** Occupies every GPU with a task whose loss on preemption exceeds the worth of any urgent job. */
    void fill()
    {
        for (std::size_t m = 0; m < MINIONS; ++m) {
            const JobId id = submit(1, 8, 1, false);
            for (int i = 0; i < 8; ++i) {
                UnitStatus status;
                status.state = UnitState::Placed;
                status.run = 1;
                status.minions = {minions[m].id};
                jobTable.apply(UnitChanged {{id, 0, 0, i}, status});
                ActiveUnit unit;
                unit.key = {id, 0, 0, i};
                unit.priority = 1;
                unit.need = {7'500, 11'000, 1};
                unit.minions = {m};
                unit.lossMs = 100'000;
                active.push_back(unit);
                minions[m].free -= unit.need;
            }
        }
    }

    /** Runs one scheduling pass. @return its duration */
    Millis timePass()
    {
        PlanInput input {jobTable, config, times, tickets, minions, active, {}, {}, NOW, NOW};
        const TimePoint start = Clock::now();
        decisions = planSteps(std::move(input));
        return std::chrono::duration_cast<Millis>(Clock::now() - start);
    }

    JobTable jobTable;
    DeploymentConfig config;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
    std::vector<ActiveUnit> active;
    PlanDecisions decisions;

private:
    int m_jobs = 0;
};

TEST(LargeFleet, IsScheduledWithinThePassTimeLimitWhileALongQueueDoesNotFit)
{
    LargeFleetScenario scenario;
    scenario.fill();
    for (int i = 0; i < 150; ++i) {
        scenario.submit(0, 5, 8, true);
        scenario.submit(1, 13, 8, true);
        scenario.submit(2, 39, 1, false);
    }
    EXPECT_LT(scenario.timePass(), PASS_TIME_LIMIT);
    EXPECT_TRUE(scenario.decisions.starts.empty());
}

TEST(LargeFleet, IsScheduledWithinThePassTimeLimitWhenOnePassFillsIt)
{
    LargeFleetScenario scenario;
    for (int i = 0; i < 150; ++i) {
        scenario.submit(0, 5, 4, true);
        scenario.submit(2, 39, 1, false);
    }
    EXPECT_LT(scenario.timePass(), PASS_TIME_LIMIT);
    EXPECT_GT(scenario.decisions.starts.size(), 500U);
}

TEST(LargeFleet, IsSearchedForJobsThatStandStillWithinThePassTimeLimit)
{
    LargeFleetScenario scenario;
    scenario.fill();
    for (int i = 0; i < 150; ++i) {
        scenario.submit(1, 13, 8, true);
        scenario.submit(2, 39, 1, false);
    }
    std::map<UnitKey, RunPhase> phases;
    for (const ActiveUnit &unit : scenario.active) {
        phases[unit.key] = RunPhase::Running;
    }
    const PlanInput input {scenario.jobTable,
                           scenario.config,
                           scenario.times,
                           scenario.tickets,
                           scenario.minions,
                           scenario.active,
                           {},
                           {},
                           NOW,
                           NOW};
    IdleJobs idle;
    idle.update(scenario.jobTable, phases, {NOW, 0});
    const TimePoint start = Clock::now();
    idle.update(scenario.jobTable, phases, {NOW, 2'000});
    const std::vector<IdleWork> due = idle.takeDue(2'000, 32);
    const WaitExplainer explainer(input);
    for (const IdleWork &work : due) {
        idle.explained(work, toString(explainer.explain(work.unit).reason));
    }
    EXPECT_LT(std::chrono::duration_cast<Millis>(Clock::now() - start), PASS_TIME_LIMIT);
    EXPECT_EQ(32U, due.size());
    EXPECT_EQ(32U, idle.reasons(2'000)["no-room"]);
}

} // namespace

} // namespace Papaya
