#include "steps/jobage.h"
#include "steps/steadywallclock.h"
#include "steps/timeliness.h"

#include <gtest/gtest.h>

// Tests that clocks which are wrong or jump neither start work before it is due nor make it late.

namespace Papaya
{

namespace
{

constexpr std::int64_t WALL = 1'700'000'000'000;

JobEntry jobAccepted(std::int64_t wallMs, std::optional<std::int64_t> steadyMs)
{
    StepJob job;
    job.id = JobId("00000000000000ab");
    job.queue = QueueName("urgent");
    job.submittedMs = wallMs;
    job.stretch = 1.5;
    job.targetMs = 250;
    job.spec.steps = {StepSpec {}};
    job.spec.steps[0].estimate = Millis(2'500);
    JobTable table;
    table.apply(StepJobSubmitted {job});
    if (steadyMs) {
        table.setAccepted(job.id, *steadyMs);
    }
    return *table.find(job.id);
}

// Load pattern: the clock of the planner jumps ahead by 20 s while jobs wait. It used to take all of them for expired.
TEST(Timeliness, CountsTheAgeOfAJobByTheSteadyClockOfThePlanner)
{
    const RunTimes times;
    const JobEntry entry = jobAccepted(WALL, 5'000);
    EXPECT_EQ(Timeliness::InTime, timelinessOf(entry, 0, times, {WALL + 20'100, 5'100}));
    EXPECT_EQ(Timeliness::Late, timelinessOf(entry, 0, times, {WALL - 20'000, 5'000 + 4'000}));
    EXPECT_EQ(Timeliness::Expired, timelinessOf(entry, 0, times, {WALL, 5'000 + 20'000}));
}

TEST(SteadyWallClock, IgnoresAJumpAndTheJumpBack)
{
    SteadyWallClock clock;
    for (std::int64_t steady = 0; steady < 60'000; steady += 100) {
        const bool jumped = steady >= 10'000 && steady < 40'000;
        clock.observe(WALL + steady + (jumped ? 20'000 : 0), steady);
        EXPECT_NEAR(double(WALL + steady), double(clock.at(steady)), 10);
    }
}

TEST(SteadyWallClock, FollowsADriftAndACorrectionThatLasts)
{
    SteadyWallClock clock;
    for (std::int64_t steady = 0; steady <= 100'000; steady += 100) {
        clock.observe(WALL + steady + steady / 1'000, steady); // 1 ms a second
    }
    EXPECT_NEAR(double(WALL + 100'100), double(clock.at(100'000)), 20);
    for (std::int64_t steady = 100'100; steady <= 300'000; steady += 100) {
        clock.observe(WALL + steady + 60'000, steady);
    }
    EXPECT_EQ(WALL + 360'000, clock.at(300'000));
}

TEST(JobAge, TrustsTheJournalIfTheOwnClockDisagreesWithIt)
{
    const std::vector<std::int64_t> stamps {WALL - 300, WALL - 200, WALL - 100, WALL + 20'000, WALL - 400};
    EXPECT_EQ(WALL + 500, journalNowMs(stamps, WALL + 500));
    EXPECT_EQ(WALL - 200, journalNowMs(stamps, WALL + 20'000));
    EXPECT_EQ(WALL - 200, journalNowMs(stamps, WALL - 20'000));
    EXPECT_EQ(WALL, journalNowMs({}, WALL));
}

} // namespace

} // namespace Papaya
