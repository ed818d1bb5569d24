#include "deployment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

// Tests jobs of many thousands of small tasks, for all of which there is room at once.

namespace Papaya::Testing
{

namespace
{

using Standins::nowMs;
using Standins::TaskRun;

constexpr std::uint32_t TASKS_OF_STEP = 10'000;

/** @return a large job's steps, whose tasks use next to nothing. */
std::vector<Json> largeSteps(std::size_t steps)
{
    return std::vector<Json>(steps, Deployment::step(TASKS_OF_STEP, {1, 2, 0}));
}

// Guards against starts that are ordered faster than minions answer: the orders ended in time-outs and were repeated by
// the ten thousand, and the nodes took the store for lost and refused the jobs of all callers.
TEST(LargeJob, HasNoTaskStartedTwiceAndKeepsNoOtherJobWaiting)
{
    constexpr std::size_t STEPS = 3;
    constexpr int SMALL_JOBS = 16;
    constexpr std::int64_t MAX_WAIT_MS = 3'000; // a job may have nothing running for no longer
    Deployment deployment({3, 12});
    deployment.start();
    const std::string large = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "batch", large, largeSteps(STEPS), {{"workMs", 1'000}}).status);
    std::vector<std::pair<std::string, std::int64_t>> small;
    for (int i = 0; i < SMALL_JOBS; ++i) {
        std::this_thread::sleep_for(Millis(500));
        small.emplace_back(deployment.newId(), nowMs());
        const auto node = static_cast<std::size_t>(i % 3);
        EXPECT_EQ(
            200,
            deployment.submit(node, i % 2 == 0 ? "urgent" : "batch", small.back().first, Deployment::step(1)).status)
            << "small job " << i;
    }
    EXPECT_TRUE(deployment.waitForState("batch", large, "completed", Millis(60'000)));
    for (const auto &job : small) {
        EXPECT_TRUE(Cluster::eventually([&] { return !deployment.runs.of(job.first).empty(); })) << job.first;
    }
    const std::vector<TaskRun> all = deployment.runs.all();
    std::set<std::string> tasks;
    for (const TaskRun &run : all) {
        EXPECT_TRUE(tasks.insert(run.task).second) << run.task << " has run " << run.run;
    }
    EXPECT_EQ(STEPS * TASKS_OF_STEP + SMALL_JOBS, tasks.size());
    for (const auto &job : small) {
        const auto run =
            std::find_if(all.begin(), all.end(), [&job](const TaskRun &r) { return r.task.starts_with(job.first); });
        ASSERT_NE(all.end(), run) << job.first;
        EXPECT_LT(run->startedMs - job.second, MAX_WAIT_MS) << job.first;
    }
}

// Guards against as many calls to stop tasks in one instant as a cancelled job has tasks.
TEST(LargeJob, ThatIsCancelledEndsInTimeAndKeepsNoOtherJobWaiting)
{
    Deployment deployment({3, 12});
    deployment.start();
    const std::string large = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "batch", large, largeSteps(1), {{"workMs", 60'000}}).status);
    const auto running = [&] { return deployment.runs.all().size(); };
    ASSERT_TRUE(Cluster::eventually([&] { return running() == TASKS_OF_STEP; }, Millis(20'000)));
    ASSERT_EQ(200, deployment.call(0, "DELETE", "batch", large).status);
    const std::int64_t cancelledMs = nowMs();
    const std::string small = deployment.newId();
    EXPECT_EQ(200, deployment.submit(1, "plan", small, Deployment::step(1)).status);
    EXPECT_TRUE(Cluster::eventually([&] { return !deployment.runs.of(small).empty(); }, Millis(3'000)));
    const auto hasEnded = [&] {
        const std::vector<TaskRun> all = deployment.runs.of(large);
        return std::all_of(all.begin(), all.end(), [](const TaskRun &run) { return run.endedMs > 0; });
    };
    EXPECT_TRUE(Cluster::eventually(hasEnded, Millis(20'000)));
    EXPECT_LT(nowMs() - cancelledMs, 3'000 + 200); // until the stops are ordered, and for a stop
}

} // namespace

} // namespace Papaya::Testing
