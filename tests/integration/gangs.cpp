#include "gangchecks.h"

#include "process/journalrecord.h"

#include <gtest/gtest.h>

#include <signal.h>

// Tests that gangs run as a whole or not at all, that jobs are neither lost nor duplicated nor misreported, and that
// another instance takes the planner role over when the planner fails.

namespace Papaya::Testing
{

namespace
{

constexpr Millis URGENT_START_LIMIT {2'800};

Standing standingOf(Cluster &cluster, const std::string &worker)
{
    const Json workers = cluster.call(cluster.admin(0), {"GET", "/admin/workers", {}, ""}).json();
    for (const Json &entry : workers["workers"]) {
        if (entry["id"] == worker && entry["standing"] != "good") {
            return entry["standing"] == "quarantined" ? Standing::Quarantined : Standing::Draining;
        }
    }
    return Standing::Good;
}

TEST(GangScheduling, RestartsTheWholeGangWhenAWorkerLosesItsTasks)
{
    Cluster cluster({.workers = 4});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 4'000);
    const std::string job = startGang(cluster, 0, "route-plan");
    for (const auto &worker : cluster.workers) {
        if (!worker->spans().empty()) {
            worker->loseTasks();
            break;
        }
    }
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job, Millis(20'000)));
    EXPECT_LE(longestPartialRun(cluster, job, 2), MAX_PARTIAL_RUN);
    EXPECT_EQ(4U, spansOf(cluster, job).size());
}

TEST(GangScheduling, RestartsTheWholeGangWhenAWorkerBecomesUnreachable)
{
    Cluster cluster({.workers = 4});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 5'000);
    const std::string job = startGang(cluster, 0, "route-plan");
    for (const auto &worker : cluster.workers) {
        if (!worker->spans().empty()) {
            worker->close();
            break;
        }
    }
    // The other part is stopped as soon as contact with the worker times out. The gang restarts only after the worker's
    // lease must have expired, so that no two runs of a part overlap.
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job, Millis(40'000)));
    std::map<std::uint32_t, std::vector<Standins::WorkerSpan>> byPart;
    for (const Standins::WorkerSpan &span : spansOf(cluster, job)) {
        byPart[span.part].push_back(span);
    }
    for (const auto &[part, spans] : byPart) {
        ASSERT_EQ(2U, spans.size());
        EXPECT_TRUE(spans[0].end <= spans[1].begin || spans[1].end <= spans[0].begin);
    }
}

TEST(GangScheduling, StartsAGangOnceWhenLeaseRenewalsOvertakeAPrepareCall)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setWorkerFaults({.runMs = 2'000, .prepareDelayMs = 500});
    const std::string job = submit(cluster, 0, "route-plan");
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job, Millis(20'000)));
    EXPECT_EQ(2U, spansOf(cluster, job).size());
}

TEST(GangScheduling, KeepsLeasesOfTasksThatStartWhileARenewalOnTheirWorkerIsUnderWay)
{
    constexpr int JOBS = 8;
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setWorkerFaults({.runMs = 5'000, .renewalAnswerDelayMs = 300});
    std::vector<std::string> jobs;
    for (int i = 0; i < JOBS; ++i) {
        jobs.push_back(submit(cluster, 0, "small-study"));
        std::this_thread::sleep_for(Millis(130));
    }
    for (const std::string &job : jobs) {
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job, Millis(20'000)));
        EXPECT_EQ(1U, spansOf(cluster, job).size());
    }
}

TEST(GangScheduling, EndsAPartialRunInTimeWhenOnePartRefusesToRun)
{
    Cluster cluster({.workers = 3});
    cluster.start(sampleConfig());
    cluster.workers[0]->setFaults({.refuseRun = true});
    const std::string job = submit(cluster, 0, "route-plan");
    // If the gang is first placed on the worker that refuses, its other part must end in time.
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job, Millis(15'000)));
    EXPECT_LE(longestPartialRun(cluster, job, 2), MAX_PARTIAL_RUN);
}

TEST(GangScheduling, FailsAJobThatMustNotRestartAndReportsWhy)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 60'000);
    const std::string job = startGang(cluster, 0, "once-only");
    for (const auto &worker : cluster.workers) {
        worker->loseTasks();
    }
    EXPECT_EQ("failed", cluster.waitForJobEnd(1, job));
    EXPECT_NE(std::string::npos, cluster.jobStatus(0, job).value("reason", "").find("forbids a restart"));
    EXPECT_EQ(2U, spansOf(cluster, job).size());
}

TEST(GangScheduling, CancelsManyQueuedAndRunningJobsDespiteRepeatedCalls)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 1'000, true);
    std::vector<std::string> jobs;
    jobs.reserve(40);
    for (int i = 0; i < 40; ++i) {
        jobs.push_back(submit(cluster, static_cast<std::size_t>(i % 2), "small-study"));
    }
    ASSERT_TRUE(Cluster::eventually([&] { return runningParts(cluster, jobs[0]) == 1; }));
    std::vector<std::pair<Endpoint, HttpRequest>> calls;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        HttpRequest request {"DELETE", "/v1/jobs/" + jobs[i], {}, ""};
        request.fields.set(Field::TEAM, "bookings");
        calls.emplace_back(cluster.callers(i % 2), request);
        calls.emplace_back(cluster.callers((i + 1) % 2), request); // repeated at the other instance
    }
    for (const Answer &answer : cluster.callAll(calls, Millis(12'000))) {
        EXPECT_EQ(202, answer.status) << answer.body;
    }
    for (const std::string &job : jobs) {
        EXPECT_EQ("cancelled", cluster.waitForJobEnd(0, job));
        EXPECT_EQ(0U, runningParts(cluster, job));
    }
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

TEST(GangScheduling, QuarantinesAWorkerThatFailsEveryTaskAndFailsNoJob)
{
    Cluster cluster({.workers = 3});
    cluster.start(sampleConfig());
    cluster.workers[0]->setFaults({.failing = true});
    std::vector<std::string> jobs;
    jobs.reserve(40);
    for (int i = 0; i < 24; ++i) {
        jobs.push_back(submit(cluster, 0, "small-study"));
    }
    for (const std::string &job : jobs) {
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job, Millis(20'000)));
    }
    // The worker is quarantined, and the jobs that failed on it ran elsewhere.
    EXPECT_EQ(Standing::Quarantined, standingOf(cluster, "worker-0"));
}

TEST(Preemption, StartsAnUrgentGuaranteedGangOnAFullFleetInTime)
{
    Cluster cluster({.workers = 2});
    Json config = sampleConfig();
    config["teams"]["bookings"]["guarantees"] =
        Json::array({{{"shape", {{"parts", 2}, {"gpus", 4}, {"adjacent", "rack"}}}, {"count", 1}}});
    cluster.start(config);
    setTaskRunTime(cluster, 1'000, true);
    std::vector<std::string> borrowers;
    borrowers.reserve(16);
    for (int i = 0; i < 16; ++i) {
        borrowers.push_back(submit(cluster, 0, "small-study"));
    }
    ASSERT_TRUE(Cluster::eventually([&] {
        std::size_t running = 0;
        for (const std::string &job : borrowers) {
            running += runningParts(cluster, job);
        }
        return running == 16;
    }));
    const TimePoint submittedAt = Clock::now();
    const std::string job = submit(cluster, 1, "urgent-plan");
    ASSERT_TRUE(Cluster::eventually([&] { return runningParts(cluster, job) == 2; }, URGENT_START_LIMIT));
    RecordProperty("start_ms", static_cast<int>(toMillis(Clock::now() - submittedAt)));
    // Only as many borrowing jobs were preempted as the gang needs.
    std::size_t running = 0;
    for (const std::string &borrower : borrowers) {
        running += runningParts(cluster, borrower);
    }
    EXPECT_EQ(8U, running);
}

TEST(Preemption, StopsACheckpointedJobAndResumesItFromItsCheckpoint)
{
    Cluster cluster({.workers = 2});
    Json config = sampleConfig();
    config["teams"]["bookings"]["guarantees"] =
        Json::array({{{"shape", {{"parts", 2}, {"gpus", 4}, {"adjacent", "rack"}}}, {"count", 1}}});
    cluster.start(config);
    setTaskRunTime(cluster, 5'000);
    const std::string borrower = startGang(cluster, 0, "route-plan");
    ASSERT_TRUE(Cluster::eventually([&] { return shortestRun(cluster, borrower) >= Millis(2'500); }));
    const std::string urgent = submit(cluster, 0, "urgent-plan");
    ASSERT_TRUE(Cluster::eventually([&] { return runningParts(cluster, urgent) == 2; }, URGENT_START_LIMIT));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, urgent, Millis(20'000)));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, borrower, Millis(20'000)));
    // The run after the preemption is shorter than a whole run, since it resumes from the checkpoint.
    Duration shortest = Millis(5'000);
    for (const Standins::WorkerSpan &span : spansOf(cluster, borrower)) {
        if (span.ending == "succeeded") {
            shortest = std::min(shortest, span.end - span.begin);
        }
    }
    EXPECT_LT(shortest, Millis(4'500));
}

TEST(PlannerRole, PassesToAnotherInstanceInTimeWhenItsHolderIsKilled)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    const auto planner = cluster.waitForPlanner();
    ASSERT_TRUE(planner);
    const std::size_t other = (*planner + 1) % 3;
    cluster.instances[*planner]->kill();
    const std::string job = submit(cluster, other, "urgent-plan");
    EXPECT_TRUE(Cluster::eventually([&] { return runningParts(cluster, job) == 2; }, URGENT_START_LIMIT));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(other, job));
}

TEST(PlannerRole, PassesToAnotherInstanceInTimeWhenItsHolderIsFrozenAndStaysThereWhenItResumes)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 8'000);
    const std::string before = startGang(cluster, 0, "urgent-plan");
    const auto planner = cluster.waitForPlanner();
    ASSERT_TRUE(planner);
    const std::size_t other = (*planner + 1) % 3;
    cluster.instances[*planner]->signal(SIGSTOP);
    const std::string job = submit(cluster, other, "urgent-plan");
    EXPECT_TRUE(Cluster::eventually([&] { return runningParts(cluster, job) == 2; }, URGENT_START_LIMIT));
    const std::uint64_t epoch = cluster.workers[0]->epoch();
    EXPECT_GE(epoch, 2U);
    ASSERT_TRUE(Cluster::eventually([&] { return jobState(cluster, other, job) == "running"; }));
    ASSERT_TRUE(Cluster::eventually([&] { return shortestRun(cluster, job) >= Millis(1'500); }));
    cluster.instances[*planner]->signal(SIGCONT);
    const auto steppedDown = [&] {
        return cluster.metric(*planner, "papayahall_planner_epoch") == static_cast<double>(epoch)
               && cluster.metric(*planner, "papayahall_planner_here") == 0;
    };
    EXPECT_TRUE(Cluster::eventually(steppedDown));
    // Each part of both gangs ran once to its end, and the workers have seen no later epoch.
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(other, before, Millis(20'000)));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(other, job, Millis(20'000)));
    EXPECT_EQ(2U, spansOf(cluster, before).size());
    EXPECT_EQ(2U, spansOf(cluster, job).size());
    EXPECT_EQ(epoch, cluster.workers[0]->epoch());
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

TEST(PlannerRole, IsHandedOverWhenItsHolderReceivesSigterm)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const auto planner = cluster.waitForPlanner();
    ASSERT_TRUE(planner);
    const std::size_t other = 1 - *planner;
    cluster.instances[*planner]->signal(SIGTERM);
    EXPECT_TRUE(
        Cluster::eventually([&] { return cluster.waitForPlanner(Millis(50), *planner) == other; }, Millis(1'500)));
    EXPECT_EQ(0, cluster.instances[*planner]->waitForExit(Millis(8'000)));
}

TEST(PlannerRole, PassesOnAtAnyStepOfAGangStartWithoutALongPartialRun)
{
    Cluster cluster({.instances = 3, .workers = 4});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 3'000);
    // The delay between submission and kill covers every step of the start.
    for (int delayMs = 0; delayMs <= 140; delayMs += 20) {
        const auto planner = cluster.waitForPlanner();
        ASSERT_TRUE(planner);
        const std::size_t other = (*planner + 1) % 3;
        const std::string job = submit(cluster, other, "urgent-plan");
        std::this_thread::sleep_for(Millis(delayMs));
        cluster.instances[*planner]->kill();
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(other, job, Millis(30'000)));
        EXPECT_LE(longestPartialRun(cluster, job, 2), Millis(1'700)) << delayMs;
        cluster.startInstance(*planner);
        const HttpRequest ready {"GET", "/ready", {}, ""};
        ASSERT_TRUE(Cluster::eventually([&] { return cluster.call(cluster.admin(*planner), ready).status == 200; }));
        ASSERT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
    }
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

TEST(Jobs, SurviveWhenAllInstancesAreKilled)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 6'000);
    const std::string running = startGang(cluster, 0, "route-plan");
    const std::string queued = submit(cluster, 1, "route-plan");
    for (const auto &instance : cluster.instances) {
        instance->kill();
    }
    for (std::size_t i = 0; i < cluster.instances.size(); ++i) {
        cluster.startInstance(i);
    }
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, running, Millis(30'000)));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, queued, Millis(30'000)));
    // The running gang continued under the new planner.
    EXPECT_EQ(2U, spansOf(cluster, running).size());
}

TEST(Jobs, AreNotDuplicatedByLostLogAnswersOrRepeatedKeys)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.log.setFaults({.loseAnswers = 5});
    std::set<std::string> jobs;
    for (int i = 0; i < 10; ++i) {
        jobs.insert(submit(cluster, static_cast<std::size_t>(i % 2), "small-study", "key-" + std::to_string(i / 2)));
    }
    EXPECT_EQ(5U, jobs.size());
    for (const std::string &job : jobs) {
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(0, job));
        EXPECT_EQ(1U, spansOf(cluster, job).size());
    }
}

TEST(Jobs, KeepRunningDuringALogOutageAndAreReportedAfterIt)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 3'000);
    const std::string job = submit(cluster, 0, "route-plan");
    ASSERT_TRUE(Cluster::eventually([&] { return jobState(cluster, 0, job) == "running"; }));
    cluster.log.setFaults({.outage = true});
    const Answer refused = cluster.submitJob(0, "small-study", Json::object());
    EXPECT_EQ(503, refused.status);
    EXPECT_EQ("not-run", refused.outcome());
    // The gang ends during the outage.
    ASSERT_TRUE(Cluster::eventually([&] { return runningParts(cluster, job) == 0; }));
    cluster.log.setFaults({});
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job));
    EXPECT_EQ(2U, spansOf(cluster, job).size());
}

TEST(Jobs, AreRunByOnePlannerThatKeepsItsRoleWhileTheLogStaysSlow)
{
    constexpr std::int64_t LOG_DELAY_MS = 600;
    constexpr Millis SLOW_LOG_DURATION {15'000};
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 3'000);
    ASSERT_TRUE(cluster.waitForPlanner());
    cluster.log.setFaults({.delayMs = LOG_DELAY_MS});
    const TimePoint begin = Clock::now();
    std::size_t jobs = 0;
    while (Clock::now() < begin + SLOW_LOG_DURATION) {
        const std::string job = submit(cluster, jobs % 3, "route-plan", "key-" + std::to_string(jobs));
        ASSERT_FALSE(job.empty());
        EXPECT_EQ("succeeded", cluster.waitForJobEnd(jobs % 3, job, Millis(20'000)));
        EXPECT_EQ(2U, spansOf(cluster, job).size());
        ++jobs;
    }
    // The planner may lose its role once when the log becomes slow; after that the role must not change again.
    EXPECT_LE(cluster.workers[0]->epoch(), 2U);
    cluster.log.setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

TEST(Jobs, SurviveTheExpiryOfTheirLogRecords)
{
    Cluster cluster({.settings = {{"platform", {{"logRetentionMs", 4'000}}}, {"keyHorizonMs", 1'000}}});
    cluster.log.setFaults({.retentionMs = 4'000});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 12'000);
    const std::string job = submit(cluster, 0, "route-plan", "old-key");
    ASSERT_TRUE(Cluster::eventually([&] { return jobState(cluster, 0, job) == "running"; }));
    const std::uint64_t end = cluster.log.kept("journal").second;
    ASSERT_TRUE(Cluster::eventually([&] { return cluster.log.kept("journal").first >= end; }));
    // The restarted instance can learn of the job only from a snapshot.
    cluster.instances[1]->kill();
    cluster.startInstance(1);
    EXPECT_TRUE(Cluster::eventually([&] { return jobState(cluster, 1, job) == "running"; }, Millis(4'000)));
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
    EXPECT_EQ(job, submit(cluster, 1, "route-plan", "old-key"));
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job, Millis(20'000)));
    EXPECT_EQ(2U, spansOf(cluster, job).size());
}

TEST(Jobs, AreMarkedUnschedulableWithAReasonWhenTheFleetShrinks)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 1'000, true);
    const std::string first = startGang(cluster, 0, "route-plan");
    const std::string second = submit(cluster, 0, "route-plan");
    cluster.hosts.remove("worker-1");
    EXPECT_TRUE(Cluster::eventually([&] { return jobState(cluster, 0, second) == "unschedulable"; }));
    EXPECT_NE("", cluster.jobStatus(0, second).value("reason", ""));
    cluster.hosts.set(cluster.hostOf(*cluster.workers[1], 1));
    EXPECT_TRUE(Cluster::eventually([&] { return jobState(cluster, 0, second) == "queued"; }));
}

} // namespace

} // namespace Papaya::Testing
