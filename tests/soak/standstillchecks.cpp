#include "standstills.h"

#include <gtest/gtest.h>

// Tests of the check for jobs that stand still.

namespace Papaya::Testing
{

namespace
{

using Standins::TaskRun;

constexpr std::int64_t CALM_MS = 100'000;  // begin of the calm span
constexpr std::int64_t RULED_MS = 104'000; // from when on a standstill counts
const Resources TASK {1'000, 1'000, 4};    // two of them fill a minion

/** Two minions with room for two tasks each, and one job that was accepted early and has no runs. */
struct Scene {
    DeploymentSeen seen;

    explicit Scene(StepShape step = {1, TASK})
    {
        seen.minions["i-0"] = {{8'000, 8'000, 8}, {"a", "r0"}};
        seen.minions["i-1"] = {{8'000, 8'000, 8}, {"a", "r1"}};
        seen.calm = {{CALM_MS, 200'000}};
        seen.untilMs = RULED_MS + 3'000;
        job("j").shape.steps = {std::move(step)};
    }

    JobSeen &job(const std::string &id)
    {
        JobSeen &job = seen.jobs[id];
        if (!job.accepted) {
            job.accepted = true;
            job.acceptedMs = 90'000;
            job.shape.kind = "plain";
            job.shape.queue = "plan";
            job.shape.tenant = "a";
            job.shape.steps = {{1, TASK}};
        }
        return job;
    }

    /** Adds a run whose end was noted. @param endedMs 0 while it runs */
    void run(const std::string &task, const std::string &minion, std::int64_t startedMs, std::int64_t endedMs = 0,
             const std::string &how = "")
    {
        TaskRun run;
        run.task = task;
        run.run = 1;
        for (const TaskRun &earlier : seen.runs) {
            run.run += earlier.task == task ? 1 : 0;
        }
        run.minion = minion;
        run.startedMs = startedMs;
        run.endedMs = run.notedMs = endedMs;
        run.how = how;
        seen.runs.push_back(run);
    }

    /** Fills the fleet with @p tasks tasks of another job, the first ones on i-0. */
    void fill(std::uint32_t tasks)
    {
        job("full").shape.steps = {{tasks, TASK}};
        for (std::uint32_t i = 0; i < tasks; ++i) {
            run("full.0.0." + std::to_string(i), i < 2 ? "i-0" : "i-1", 95'000);
        }
    }

    [[nodiscard]] std::size_t found() const
    {
        return standstills(seen).size();
    }
};

TEST(Standstills, OfThreeSecondsAreFoundAndShorterOnesAreNot)
{
    Scene scene;
    EXPECT_EQ(1U, scene.found());
    scene.seen.untilMs = RULED_MS + 2'999;
    EXPECT_EQ(0U, scene.found());
    scene.seen.untilMs = 120'000;
    scene.run("j.0.0.0", "i-0", RULED_MS + 2'999, RULED_MS + 3'100, "done");
    EXPECT_EQ(0U, scene.found());
}

TEST(Standstills, AreNamedWithWhatElseStandsAndWhenTheJobMoves)
{
    Scene scene;
    scene.job("k");
    scene.job("other").shape.tenant = "b";
    scene.seen.untilMs = 120'000;
    scene.run("j.0.0.0", "i-0", 110'000, 111'000, "done");
    const std::vector<std::string> lines = standstills(scene.seen);
    ASSERT_EQ(3U, lines.size());
    EXPECT_EQ("LOST, stands still: j (plain, plan, tenant a) has nothing running from 104000 to 110000, unit 0.0.0 "
              "could run (1 runs of it so far; 1 more jobs of its tenant stand so; starts at 110000)",
              lines[0]);
}

TEST(Standstills, CountOnlyInCalmSpansAndNotInTheirFirstFourSeconds)
{
    Scene scene;
    scene.seen.untilMs = 200'000;
    scene.seen.calm = {{100'000, 106'999}, {107'100, 114'099}, {115'000, 122'000}};
    EXPECT_EQ(1U, scene.found());
    scene.seen.calm.pop_back();
    EXPECT_EQ(0U, scene.found());
}

TEST(Standstills, NeedRoomForTheUnitTwiceOver)
{
    Scene scene;
    scene.fill(2);
    EXPECT_EQ(1U, scene.found());
    Scene full;
    full.fill(3);
    EXPECT_EQ(0U, full.found());
    Scene freed; // room for the second task comes too late
    freed.fill(3);
    freed.seen.runs[0].endedMs = RULED_MS + 1;
    EXPECT_EQ(0U, freed.found());
    freed.seen.runs[0].endedMs = RULED_MS;
    EXPECT_EQ(1U, freed.found());
}

TEST(Standstills, NeedRoomOnMinionsThatAreThere)
{
    Scene scene;
    scene.seen.minions["i-0"].away = {{95'000, 200'000}};
    EXPECT_EQ(1U, scene.found());
    scene.seen.minions["i-1"].away = {{95'000, RULED_MS + 1}};
    EXPECT_EQ(0U, scene.found());
}

TEST(Standstills, OfAGangNeedRoomForAllMembersTwiceOver)
{
    StepShape gang {2, TASK};
    gang.gang = true;
    EXPECT_EQ(1U, Scene(gang).found());
    gang.count = 3;
    EXPECT_EQ(0U, Scene(gang).found());
}

TEST(Standstills, CountFinishedTasksOfASpreadStepAsGoneAndRunningOnesAsThere)
{
    StepShape step {4, {1'000, 1'000, 1}};
    step.antiAffinity = 1;
    Scene scene(step);
    scene.run("j.0.0.0", "i-0", 95'000, 96'000, "done");
    scene.run("j.0.0.1", "i-1", 95'000, 96'000, "done");
    EXPECT_EQ(1U, scene.found());
    Scene running(step);
    running.seen.minions["i-2"] = running.seen.minions["i-0"];
    running.run("j.0.0.0", "i-0", 95'000);
    EXPECT_EQ(0U, running.found()) << "a task of the job runs";
    Scene alone(step);
    alone.seen.minions.erase("i-1");
    EXPECT_EQ(0U, alone.found()) << "one minion takes one task";
}

TEST(Standstills, OfALabelledStepNeedRoomOnMinionsWithTheLabel)
{
    StepShape step {1, TASK};
    step.label = "r1";
    Scene scene(step);
    EXPECT_EQ(1U, scene.found());
    scene.seen.minions["i-1"].capacity = TASK;
    EXPECT_EQ(0U, scene.found());
}

TEST(Standstills, BeginWhenTheTurnOfAUnitHasCome)
{
    StepShape second {1, TASK};
    second.dependsOn = {0};
    Scene waits;
    waits.job("j").shape.steps.push_back(second);
    waits.seen.untilMs = 120'000;
    waits.run("j.0.0.0", "i-0", 101'000, 117'001, "done");
    EXPECT_EQ(0U, waits.found()) << "the step before it was done too late";
    waits.seen.runs[0].endedMs = 117'000;
    EXPECT_EQ(1U, waits.found());
    Scene timed;
    timed.job("j").shape.occurrences = 2;
    timed.job("j").shape.firstRunMs = RULED_MS - 1'000;
    timed.job("j").shape.intervalMs = 2'000;
    timed.run("j.0.0.0", "i-0", RULED_MS - 900, RULED_MS - 800, "done");
    EXPECT_EQ(0U, timed.found()) << "the second occurrence was due too late";
    timed.job("j").shape.intervalMs = 1'000;
    EXPECT_EQ(1U, timed.found());
    Scene late;
    late.job("j").acceptedMs = RULED_MS + 1;
    EXPECT_EQ(0U, late.found()) << "the job was accepted too late";
}

TEST(Standstills, OfTasksThatLastCountForEachFromSixSecondsAfterItsLastRun)
{
    StepShape lasting {2, {1'000, 1'000, 1}};
    lasting.lasts = true;
    Scene scene(lasting);
    scene.seen.untilMs = 120'000;
    scene.run("j.0.0.0", "i-0", 95'000);
    scene.run("j.0.0.1", "i-1", 95'000, 111'001, "failed");
    EXPECT_EQ(0U, scene.found());
    scene.seen.runs[1].endedMs = 111'000;
    EXPECT_EQ(1U, scene.found());
    scene.seen.runs.erase(scene.seen.runs.begin());
    EXPECT_EQ(2U, scene.found()) << "the other one never ran";
}

TEST(Standstills, AreNotOfJobsThatWereCancelledOrNeverAcceptedOrHaveFailed)
{
    Scene cancelled;
    cancelled.job("j").cancelSentMs = RULED_MS + 2'999;
    EXPECT_EQ(0U, cancelled.found());
    Scene rejected;
    rejected.job("j").accepted = false;
    EXPECT_EQ(0U, rejected.found());
    Scene failed({2, TASK});
    failed.run("j.0.0.0", "i-0", 95'000, 95'100, "failed");
    EXPECT_EQ(1U, failed.found()) << "an attempt is left";
    failed.run("j.0.0.0", "i-1", 96'000, 96'100, "failed");
    EXPECT_EQ(0U, failed.found()) << "the other task need not run any more";
}

TEST(Standstills, IncludeTasksWhoseEndWasLostWithTheirMinion)
{
    Scene scene;
    scene.seen.untilMs = 120'000;
    scene.run("j.0.0.0", "i-0", 95'000, 96'000, "done");
    EXPECT_EQ(0U, scene.found());
    scene.seen.runs[0].notedMs = 0;
    EXPECT_EQ(1U, scene.found()) << "nobody knows of its end";
    scene.seen.jobs["j"].ended = true;
    EXPECT_EQ(0U, scene.found()) << "its job has ended without another run";
    scene.run("j.0.0.0", "i-1", 110'000, 111'000, "done");
    EXPECT_EQ(1U, scene.found()) << "it had to run again";
}

// Guards against a false alarm: the planner learns that a run is done after it has taken the run for lost.
TEST(Standstills, AreNotOfTasksWhoseLateEndIsAccepted)
{
    Scene scene;
    scene.seen.untilMs = 120'000;
    scene.run("j.0.0.0", "i-0", 95'000, 96'000, "done");
    scene.run("j.0.0.0", "i-1", 100'000, 100'400, "stopped");
    scene.seen.runs[0].notedMs = 0;
    scene.seen.jobs["j"].ended = true;
    EXPECT_EQ(1U, scene.found()) << "the end was never acknowledged";
    scene.seen.runs[0].ackedMs = 100'300;
    EXPECT_EQ(0U, scene.found());
    scene.seen.runs[0].ackedMs = 108'000;
    EXPECT_EQ(1U, scene.found()) << "nothing ran until the end was acknowledged";
    scene.seen.runs[0].ackedMs = 100'300;
    scene.seen.jobs["j"].ended = false;
    EXPECT_EQ(1U, scene.found()) << "its job has not ended";
    scene.seen.jobs["j"].ended = true;
    scene.run("j.0.0.0", "i-1", 110'000, 110'400, "stopped");
    EXPECT_EQ(1U, scene.found()) << "it was started again after the acknowledgement";
}

} // namespace

} // namespace Papaya::Testing
