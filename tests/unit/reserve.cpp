#include "reserve/urgentdemand.h"
#include "steps/stepscheduler.h"

#include <gtest/gtest.h>

// Tests which work makes room for urgent jobs on an overloaded fleet, and what is left free for them.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 1'000'000;
constexpr std::int64_t STOP_MS = 900;

/** Four minions of eight GPUs with urgent, planning and batch jobs. */
class OverloadScenario
{
public:
    OverloadScenario()
    {
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            QueueConfig queue;
            queue.name = QueueName("q" + std::to_string(priority));
            queue.service = ServiceName("desk");
            queue.priority = priority;
            queue.stretch = 3;
            queue.targetMs = 1'000;
            config.queues.push_back(queue);
        }
        config.teams = {{TeamName("a"), 16}};
        for (int i = 0; i < 4; ++i) {
            MinionView minion;
            minion.id = MinionId("m" + std::to_string(i));
            minion.service = ServiceName("desk");
            minion.capacity = minion.free = {64'000, 128'000, 8};
            minions.push_back(minion);
        }
    }

    JobId submit(std::uint32_t priority, std::uint32_t count, std::int64_t gpus, bool gang)
    {
        StepJob job;
        job.id = JobId("job" + std::to_string(++jobs));
        job.queue = QueueName("q" + std::to_string(priority));
        job.service = ServiceName("desk");
        job.team = TeamName("a");
        job.priority = priority;
        job.stretch = 3;
        job.targetMs = 1'000;
        job.submittedMs = NOW;
        StepSpec step;
        step.count = count;
        step.need = {1'000, 1'000, gpus};
        step.estimate = Millis(2'000);
        step.gang = gang;
        job.spec.steps = {step};
        jobTable.apply(StepJobSubmitted {job});
        return job.id;
    }

    void run(const UnitKey &unit, const std::vector<std::size_t> &on, std::int64_t lossMs,
             std::uint32_t interruptions = 0)
    {
        const JobEntry &entry = *jobTable.find(unit.job);
        ActiveUnit running;
        running.key = unit;
        running.team = entry.job.team;
        running.priority = entry.job.priority;
        running.need = countedNeed(entry.job.spec.steps[0]);
        running.minions = on;
        running.lossMs = lossMs;
        running.interruptions = interruptions;
        UnitStatus status;
        status.state = UnitState::Placed;
        status.run = 1;
        for (const std::size_t m : on) {
            minions[m].free -= running.need;
            status.minions.push_back(minions[m].id);
        }
        active.push_back(running);
        jobTable.apply(UnitChanged {unit, status});
    }

    PlanDecisions plan(std::int64_t stopMs, std::int64_t reservedGpus = 0) const
    {
        PlanInput input {jobTable, config, times, tickets, minions, active, {}, {}, NOW, NOW};
        input.stopMs = stopMs;
        input.reservedGpus = reservedGpus;
        return planSteps(std::move(input));
    }

    DeploymentConfig config;
    JobTable jobTable;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
    std::vector<ActiveUnit> active;
    int jobs = 0;
};

std::set<JobId> victims(const PlanDecisions &decisions)
{
    std::set<JobId> jobs;
    for (const UnitStop &stop : decisions.stops) {
        jobs.insert(stop.unit.job);
    }
    return jobs;
}

// Load pattern: an urgent gang needs one minion of a full fleet. A gang that has just started loses least, but its stop
// leaves all its minions idle while it lasts, and it waits for all of them again.
TEST(Victims, AreNarrowWorkRatherThanAWideGangThatHasJustStarted)
{
    OverloadScenario scenario;
    const JobId gang = scenario.submit(1, 3, 8, true);
    scenario.run({gang, 0, 0, UnitKey::GANG}, {0, 1, 2}, 30);
    const JobId batch = scenario.submit(2, 8, 1, false);
    for (int i = 0; i < 8; ++i) {
        scenario.run({batch, 0, 0, i}, {3}, 1'200);
    }
    scenario.submit(0, 1, 8, true);
    EXPECT_EQ(std::set<JobId> {gang}, victims(scenario.plan(0))) << "without a known stop time, as before";
    EXPECT_EQ(std::set<JobId> {batch}, victims(scenario.plan(STOP_MS)));
}

// On an overloaded day, 223 units were stopped more than once and one seven times, as each of them was always the
// cheapest just after its restart.
TEST(Victims, AreNotTheSameAgainAndAgain)
{
    OverloadScenario scenario;
    std::vector<JobId> gangs;
    for (std::size_t m = 0; m < 4; ++m) {
        gangs.push_back(scenario.submit(1, 1, 8, true));
        scenario.run({gangs.back(), 0, 0, UnitKey::GANG}, {m}, m == 1 ? 100 : 400, m == 1 ? 2 : 0);
    }
    scenario.submit(0, 1, 8, true);
    EXPECT_EQ(std::set<JobId> {gangs[1]}, victims(scenario.plan(0)));
    EXPECT_FALSE(victims(scenario.plan(STOP_MS)).contains(gangs[1]));
}

// Load pattern: urgent gangs arrive in waves, and batch fills each gap between them, to be stopped again.
TEST(Reserve, KeepsWholeMinionsForUrgentWorkAndLetsOtherWorkFillBrokenOnes)
{
    OverloadScenario scenario;
    const JobId first = scenario.submit(2, 1, 1, false);
    scenario.run({first, 0, 0, 0}, {0}, 100);
    const JobId batch = scenario.submit(2, 40, 1, false);
    EXPECT_EQ(31U, scenario.plan(STOP_MS).starts.size());
    const PlanDecisions decisions = scenario.plan(STOP_MS, 16);
    EXPECT_EQ(15U, decisions.starts.size()) << "seven on the broken minion, eight on one that is not reserved";
    for (const UnitStart &start : decisions.starts) {
        EXPECT_EQ(batch, start.unit.job);
    }
    EXPECT_EQ(7U, scenario.plan(STOP_MS, 32).starts.size());
    const JobId urgent = scenario.submit(0, 3, 8, true);
    const PlanDecisions withUrgent = scenario.plan(STOP_MS, 32);
    ASSERT_FALSE(withUrgent.starts.empty());
    EXPECT_EQ(urgent, withUrgent.starts[0].unit.job) << "urgent work uses what is reserved";
    EXPECT_TRUE(withUrgent.stops.empty());
}

TEST(UrgentDemand, FollowsTheLastSecondsAndForgetsAWaveThatIsOver)
{
    UrgentDemand demand;
    EXPECT_EQ(0, demand.expectedGpus(1'000, NOW));
    for (std::int64_t t = 0; t < 4'000; t += 100) {
        demand.submitted(10, NOW + t);
    }
    // 40 jobs of 10 GPUs in 4 s: 100 GPUs in the mean of a second, and a standard deviation of sqrt(10 * 10^2).
    EXPECT_EQ(132, demand.expectedGpus(1'000, NOW + 3'900));
    EXPECT_EQ(50 + 22, demand.expectedGpus(500, NOW + 3'900));
    EXPECT_EQ(0, demand.expectedGpus(1'000, NOW + 3'900 + UrgentDemand::WINDOW_MS));
}

} // namespace

} // namespace Papaya
