#include "gangchecks.h"

#include <gtest/gtest.h>

// Tests that declared sizes that are ten times too large or too small neither starve other jobs nor overcommit workers
// for longer than the lag and the interval of reports plus the time of one decision.

namespace Papaya::Testing
{

namespace
{

constexpr Millis REPORT_LAG {300};
constexpr Millis REPORT_INTERVAL {500};
constexpr Millis DECISION_TIME {700}; // one planning pass per 500 ms, and its calls to the workers
constexpr Millis OVERCOMMIT_LIMIT = REPORT_LAG + REPORT_INTERVAL + DECISION_TIME;
constexpr std::size_t JOBS = 6;

/** @return a configuration whose template "small-study" declares @p cores and @p memoryMb beside one accelerator. */
Json configDeclaring(int cores, int memoryMb)
{
    Json config = sampleConfig();
    Json &study = config["templates"]["small-study"];
    study["shape"]["cores"] = cores;
    study["shape"]["memoryMb"] = memoryMb;
    return config;
}

std::vector<std::string> submitAll(Cluster &cluster)
{
    std::vector<std::string> jobs;
    jobs.reserve(JOBS);
    for (std::size_t i = 0; i < JOBS; ++i) {
        jobs.push_back(submit(cluster, 0, "small-study"));
    }
    return jobs;
}

std::size_t running(const Cluster &cluster, const std::vector<std::string> &jobs)
{
    std::size_t count = 0;
    for (const std::string &job : jobs) {
        count += runningParts(cluster, job);
    }
    return count;
}

Duration longestOvercommit(const Cluster &cluster)
{
    Duration longest {0};
    for (const auto &worker : cluster.workers) {
        longest = std::max(longest, worker->longestOvercommit());
    }
    return longest;
}

TEST(DeclaredSizes, ThatAreTooLargeDoNotStarveOtherJobs)
{
    Cluster cluster;
    cluster.start(configDeclaring(32, 1'000));
    cluster.setWorkerFaults({.reportLagMs = REPORT_LAG.count(), .neverFinish = true, .usedCores = 3});
    const std::vector<std::string> jobs = submitAll(cluster);
    // By their declared size, only four jobs fit on the two workers.
    ASSERT_TRUE(Cluster::eventually([&] { return running(cluster, jobs) >= 4; }));
    EXPECT_TRUE(Cluster::eventually([&] { return running(cluster, jobs) == JOBS; }, OVERCOMMIT_LIMIT));
    EXPECT_EQ(Duration(0), longestOvercommit(cluster));
}

TEST(DeclaredSizes, OfCoresThatAreTooSmallAreThrottledAndStopNothing)
{
    Cluster cluster;
    cluster.start(configDeclaring(4, 1'000));
    cluster.setWorkerFaults({.runMs = 4'000, .reportLagMs = REPORT_LAG.count(), .usedCores = 40});
    const std::vector<std::string> jobs = submitAll(cluster);
    for (const std::string &job : jobs) {
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job, Millis(20'000)));
        EXPECT_EQ(1U, spansOf(cluster, job).size());
    }
    EXPECT_GT(longestOvercommit(cluster), Duration(0));
    EXPECT_LE(toMillis(longestOvercommit(cluster)), OVERCOMMIT_LIMIT.count());
}

TEST(DeclaredSizes, OfMemoryThatAreTooSmallStopOnlyTheJobsThatDoNotFit)
{
    Cluster cluster;
    cluster.start(configDeclaring(4, 5'000));
    cluster.setWorkerFaults({.runMs = 3'000, .reportLagMs = REPORT_LAG.count(), .usedMemoryMb = 50'000});
    const std::vector<std::string> jobs = submitAll(cluster);
    std::size_t spans = 0;
    for (const std::string &job : jobs) {
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job, Millis(30'000)));
        spans += spansOf(cluster, job).size();
    }
    EXPECT_GT(longestOvercommit(cluster), Duration(0));
    EXPECT_LE(toMillis(longestOvercommit(cluster)), OVERCOMMIT_LIMIT.count());
    // Two jobs fit on a worker by their actual use, so at most four of the six that started together had to restart.
    EXPECT_LE(spans, JOBS + 4);
}

} // namespace

} // namespace Papaya::Testing
