#include "steps/idlejobs.h"

#include <gtest/gtest.h>

// Tests since when a job counts as standing still, and when that is reported.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 1'000'000;

/** A job with two steps, of which the second depends on the first. */
class IdleScenario
{
public:
    IdleScenario()
    {
        m_job.id = JobId("job");
        StepSpec second;
        second.dependencies = {0};
        m_job.spec.steps = {StepSpec {}, second};
        m_job.spec.steps[0].count = 2;
    }

    StepJob &job()
    {
        return m_job;
    }

    void set(const UnitKey &unit, UnitState state)
    {
        UnitStatus status;
        status.state = state;
        m_jobs.apply(UnitChanged {unit, status});
    }

    void update(std::int64_t steadyMs, const std::map<UnitKey, RunPhase> &phases = {})
    {
        m_jobs.apply(StepJobSubmitted {m_job});
        m_idle.update(m_jobs, phases, {NOW + steadyMs, steadyMs});
    }

    std::vector<IdleWork> due(std::int64_t steadyMs, std::size_t limit = 100)
    {
        return m_idle.takeDue(steadyMs, limit);
    }

    IdleJobs &idle()
    {
        return m_idle;
    }

    void submit(const StepJob &other)
    {
        m_jobs.apply(StepJobSubmitted {other});
    }

private:
    StepJob m_job;
    JobTable m_jobs;
    IdleJobs m_idle;
};

UnitKey unit(std::uint32_t step, std::int32_t index)
{
    return {JobId("job"), 0, step, index};
}

TEST(IdleJobs, AreReportedAfterAWhileAndThenAgainAndAgain)
{
    IdleScenario scenario;
    scenario.update(0);
    EXPECT_TRUE(scenario.due(1'499).empty());
    ASSERT_EQ(1U, scenario.due(1'500).size());
    EXPECT_TRUE(scenario.due(2'999).empty());
    scenario.update(3'000);
    const std::vector<IdleWork> second = scenario.due(3'000);
    ASSERT_EQ(1U, second.size());
    EXPECT_EQ(unit(0, 0), second[0].unit);
    EXPECT_EQ(0, second[0].sinceMs);
    EXPECT_TRUE(scenario.due(4'999).empty());
    EXPECT_EQ(1U, scenario.due(5'000).size());
}

TEST(IdleJobs, StandStillSinceTheLastRunOfAnyOfTheirTasksHasEnded)
{
    IdleScenario scenario;
    scenario.update(0);
    scenario.set(unit(0, 1), UnitState::Placed);
    scenario.update(1'000, {{unit(0, 1), RunPhase::Running}});
    scenario.set(unit(0, 1), UnitState::Done);
    scenario.update(2'000);
    EXPECT_TRUE(scenario.due(3'499).empty());
    ASSERT_EQ(1U, scenario.due(3'500).size());
}

TEST(IdleJobs, StandStillWhileAPlacedTaskDoesNotRun)
{
    IdleScenario scenario;
    scenario.update(0);
    scenario.set(unit(0, 0), UnitState::Placed);
    scenario.update(100, {{unit(0, 0), RunPhase::Starting}});
    scenario.set(unit(0, 1), UnitState::Placed);
    scenario.update(200, {{unit(0, 0), RunPhase::Starting}});
    const std::vector<IdleWork> due = scenario.due(1'500);
    ASSERT_EQ(1U, due.size());
    EXPECT_TRUE(due[0].placed);
    EXPECT_TRUE(due[0].starting);
    EXPECT_EQ(0, due[0].sinceMs);
}

TEST(IdleJobs, NameATaskThatWaitsBeforeOneThatIsPlacedAndLost)
{
    IdleScenario scenario;
    scenario.update(0);
    scenario.set(unit(0, 0), UnitState::Placed);
    scenario.update(0);
    const std::vector<IdleWork> due = scenario.due(1'500);
    ASSERT_EQ(1U, due.size());
    EXPECT_EQ(unit(0, 1), due[0].unit);
    EXPECT_FALSE(due[0].placed);
}

TEST(IdleJobs, DoNotStandStillBeforeTheirTimeOrAfterTheyHaveEnded)
{
    IdleScenario scenario;
    scenario.job().spec.timetable = {1, NOW + 5'000, 0};
    scenario.update(0);
    EXPECT_TRUE(scenario.due(4'000).empty());
    scenario.update(5'000);
    ASSERT_EQ(1U, scenario.due(6'500).size());
    scenario.set(unit(0, 0), UnitState::Done);
    scenario.set(unit(0, 1), UnitState::Done);
    scenario.set(unit(1, 0), UnitState::Done);
    scenario.update(7'000);
    EXPECT_TRUE(scenario.due(20'000).empty());
}

TEST(IdleJobs, CountEachTaskOfALongRunningStepByItself)
{
    IdleScenario scenario;
    scenario.job().spec.steps[0].longRunning = true;
    scenario.job().spec.steps.resize(1);
    scenario.update(0);
    scenario.set(unit(0, 0), UnitState::Placed);
    scenario.update(100, {{unit(0, 0), RunPhase::Running}});
    const std::vector<IdleWork> due = scenario.due(1'500);
    ASSERT_EQ(1U, due.size());
    EXPECT_EQ(unit(0, 1), due[0].unit);
}

TEST(IdleJobs, AreReportedInTurnIfMoreAreDueThanTheLimit)
{
    IdleScenario scenario;
    for (const char *id : {"x", "y"}) {
        StepJob other = scenario.job();
        other.id = JobId(id);
        scenario.submit(other);
    }
    scenario.update(0);
    std::set<JobId> reported;
    for (int i = 0; i < 3; ++i) {
        const std::vector<IdleWork> due = scenario.due(1'500 + i, 1);
        ASSERT_EQ(1U, due.size());
        reported.insert(due[0].unit.job);
    }
    EXPECT_EQ(3U, reported.size());
}

TEST(IdleJobs, AreCountedByTheReasonThatWasFoundLast)
{
    IdleScenario scenario;
    scenario.update(0);
    EXPECT_TRUE(scenario.idle().reasons(1'499).empty());
    EXPECT_EQ((std::map<std::string_view, std::size_t> {{"unexplained", 1}}), scenario.idle().reasons(1'500));
    scenario.idle().explained(scenario.due(1'500).at(0), "headroom");
    scenario.update(1'600);
    EXPECT_EQ((std::map<std::string_view, std::size_t> {{"headroom", 1}}), scenario.idle().reasons(1'600));
    scenario.set(unit(0, 0), UnitState::Placed);
    scenario.update(1'700, {{unit(0, 0), RunPhase::Running}});
    EXPECT_TRUE(scenario.idle().reasons(1'700).empty());
}

} // namespace

} // namespace Papaya
