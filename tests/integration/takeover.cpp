#include "gangchecks.h"

#include "process/journalrecord.h"
#include "process/streambatch.h"

#include <gtest/gtest.h>

#include <atomic>

#include <signal.h>

// Tests takeovers of the planner role. The planner is killed or frozen in each state of a gang, at the call or the
// record that brings the state about.

namespace Papaya::Testing
{

namespace
{

constexpr std::size_t PARTS = 2;

/** Longest partial run after an interrupted start: the short lease, and a margin for the worker to end the task. */
constexpr Millis MAX_PARTIAL_START {1'700};

/** The planner's last record or call before the fault. */
enum class Moment { Placed, Prepare, Committed, Run, Started, Stop, Finished };

enum class Fault { Killed, Frozen };

struct TakeoverCase {
    Moment moment = Moment::Placed;
    Fault fault = Fault::Killed;
    const char *name = "";
};

/** @return the end of the path of the worker call that marks @p moment; empty if a record marks it. */
std::string_view callPathOf(Moment moment)
{
    switch (moment) {
    case Moment::Prepare:
        return "/v1/tasks";
    case Moment::Run:
        return "/run";
    case Moment::Stop:
        return "/stop";
    default:
        return {};
    }
}

bool isRecordOf(const JournalRecord &record, Moment moment)
{
    switch (moment) {
    case Moment::Placed:
        return std::holds_alternative<Placed>(record);
    case Moment::Committed:
        return std::holds_alternative<Committed>(record);
    case Moment::Started:
        return std::holds_alternative<Started>(record);
    case Moment::Finished:
        return std::holds_alternative<Finished>(record);
    default:
        return false;
    }
}

/** @return true if a log record's data contains a journal record that marks @p moment. */
bool batchHasRecordOf(const std::string &data, Moment moment)
{
    const auto batch = StreamBatch::fromText(data);
    if (!batch) {
        return false;
    }
    return std::any_of(batch->items.begin(), batch->items.end(), [&](const BatchItem &item) {
        const auto record = parseJournalRecord(item.payload);
        return record && isRecordOf(*record, moment);
    });
}

/** Calls @p action once, at the first call or record that marks @p moment. */
void atMoment(Cluster &cluster, Moment moment, const std::function<void()> &action)
{
    const auto once = [action, fired = std::make_shared<std::atomic<bool>>(false)] {
        if (!fired->exchange(true)) {
            action();
        }
    };
    const std::string_view call = callPathOf(moment);
    if (call.empty()) {
        cluster.log.setAppendHook([once, moment](const std::string &stream, const std::string &data) {
            if (stream == "journal" && batchHasRecordOf(data, moment)) {
                once();
            }
        });
        return;
    }
    for (const auto &worker : cluster.workers) {
        worker->setCallHook([once, call](std::string_view path) {
            if (path.ends_with(call)) {
                once();
            }
        });
    }
}

void cancel(Cluster &cluster, std::size_t instance, const std::string &job)
{
    HttpRequest request {"DELETE", "/v1/jobs/" + job, {}, ""};
    request.fields.set(Field::TEAM, "bookings");
    EXPECT_EQ(202, cluster.call(cluster.callers(instance), request).status);
}

class Takeover : public testing::TestWithParam<TakeoverCase>
{
};

TEST_P(Takeover, LeavesNoPartialGangAndLosesNoJobWhenThePlannerIs)
{
    const auto [moment, fault, name] = GetParam();
    Cluster cluster({.instances = 3, .workers = 4});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 2'000);
    const auto planner = cluster.waitForPlanner();
    ASSERT_TRUE(planner);
    const std::size_t other = (*planner + 1) % 3;
    // 1. The fault is injected at the moment itself. A cancellation makes the planner stop the gang.
    std::atomic<bool> injected {false};
    const int pid = cluster.instances[*planner]->pid();
    const int number = fault == Fault::Killed ? SIGKILL : SIGSTOP;
    atMoment(cluster, moment, [&injected, pid, number] {
        ::kill(pid, number);
        injected = true;
    });
    const std::string job = submit(cluster, other, "route-plan");
    if (moment == Moment::Stop) {
        ASSERT_TRUE(Cluster::eventually([&] { return jobState(cluster, other, job) == "running"; }));
        cancel(cluster, other, job);
    }
    ASSERT_TRUE(Cluster::eventually([&] { return injected.load(); }));
    // 2. Another instance becomes the planner; only then is a frozen planner resumed.
    ASSERT_TRUE(cluster.waitForPlanner(Millis(5'000), *planner));
    const std::uint64_t epoch = cluster.workers[0]->epoch();
    if (fault == Fault::Killed) {
        cluster.instances[*planner]->kill();
    } else {
        cluster.instances[*planner]->signal(SIGCONT);
    }
    // 3. The job ends as expected, no partial run exceeded the bound, and no two runs of a part overlapped.
    EXPECT_EQ(moment == Moment::Stop ? "cancelled" : "succeeded", cluster.waitForJobEnd(other, job, Millis(30'000)));
    EXPECT_EQ(0U, runningParts(cluster, job));
    const bool startInterrupted = moment <= Moment::Run;
    EXPECT_LE(longestPartialRun(cluster, job, PARTS), startInterrupted ? MAX_PARTIAL_START : MAX_PARTIAL_RUN);
    EXPECT_FALSE(anyPartRanTwiceAtOnce(cluster, job));
    EXPECT_GE(cluster.workers[0]->epoch(), epoch);
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

INSTANTIATE_TEST_SUITE_P(Moments, Takeover,
                         testing::Values(TakeoverCase {Moment::Placed, Fault::Killed, "KilledAtPlaced"},
                                         TakeoverCase {Moment::Placed, Fault::Frozen, "FrozenAtPlaced"},
                                         TakeoverCase {Moment::Prepare, Fault::Killed, "KilledAtPrepare"},
                                         TakeoverCase {Moment::Prepare, Fault::Frozen, "FrozenAtPrepare"},
                                         TakeoverCase {Moment::Committed, Fault::Killed, "KilledAtCommitted"},
                                         TakeoverCase {Moment::Committed, Fault::Frozen, "FrozenAtCommitted"},
                                         TakeoverCase {Moment::Run, Fault::Killed, "KilledAtRun"},
                                         TakeoverCase {Moment::Run, Fault::Frozen, "FrozenAtRun"},
                                         TakeoverCase {Moment::Started, Fault::Killed, "KilledAtStarted"},
                                         TakeoverCase {Moment::Started, Fault::Frozen, "FrozenAtStarted"},
                                         TakeoverCase {Moment::Stop, Fault::Killed, "KilledAtStop"},
                                         TakeoverCase {Moment::Stop, Fault::Frozen, "FrozenAtStop"},
                                         TakeoverCase {Moment::Finished, Fault::Killed, "KilledAtFinished"},
                                         TakeoverCase {Moment::Finished, Fault::Frozen, "FrozenAtFinished"}),
                         [](const testing::TestParamInfo<TakeoverCase> &tested) {
                             return std::string(tested.param.name);
                         });

TEST(PlannerRole, OfAnIsolatedHolderPassesOnAndItsGangRestartsOnlyOnceItsLeasesHaveExpired)
{
    // Lease durations grow with the fleet, so that those of 300 workers exceed the bounds used for a small fleet.
    constexpr Millis LONG_LEASE {24'000};
    constexpr Millis RESTART_LIMIT {80'000};
    Cluster cluster({.instances = 2, .workers = 300, .proxyLog = true, .proxyPeers = true, .ownHostLists = true});
    cluster.start(sampleConfig());
    setTaskRunTime(cluster, 60'000, true);
    const auto planner = cluster.waitForPlanner();
    ASSERT_TRUE(planner);
    const std::size_t successor = 1 - *planner;
    const std::string job = startGang(cluster, successor, "route-plan");
    // The successor cannot reach one of the gang's workers. The planner can, but reaches neither the log nor its peers.
    std::size_t heldWorker = 0;
    while (cluster.workers[heldWorker]->spans().empty()) {
        ++heldWorker;
    }
    const auto blockedProxy =
        Standins::FaultProxy::create(cluster.io, {"127.0.0.1", 0}, cluster.workers[heldWorker]->address());
    blockedProxy->setSilent(true);
    Host host = cluster.hostOf(*cluster.workers[heldWorker], heldWorker);
    host.address = blockedProxy->address();
    cluster.hostLists[successor]->set(host);
    cluster.logProxies[*planner]->setSilent(true);
    for (const auto &proxy : cluster.peerProxies) {
        proxy->setSilent(true);
    }
    // The gang restarts on other workers once the part whose lease the old planner renewed must have ended.
    EXPECT_TRUE(Cluster::eventually([&] { return spansOf(cluster, job).size() == 4; }, RESTART_LIMIT));
    EXPECT_FALSE(anyPartRanTwiceAtOnce(cluster, job));
    const Standins::WorkerSpan first = cluster.workers[heldWorker]->spans().front();
    EXPECT_GT(first.end - first.begin, LONG_LEASE) << "the isolated planner did not renew the lease";
}

TEST(PlannerRole, HolderStartsNoPartWhenTheLogFailsBetweenPlacedAndCommitted)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    // The planner sends prepare calls once its placement record is in force, and commits after their answers.
    atMoment(cluster, Moment::Prepare, [&cluster] { cluster.log.setFaults({.outage = true}); });
    const std::string job = submit(cluster, 0, "route-plan");
    ASSERT_TRUE(Cluster::eventually([&] { return cluster.log.faults().outage; }));
    // The start is abandoned after the time-out of an append, and the workers are told to stop.
    std::atomic<bool> startAbandoned {false};
    atMoment(cluster, Moment::Stop, [&startAbandoned] { startAbandoned = true; });
    ASSERT_TRUE(Cluster::eventually([&] { return startAbandoned.load(); }));
    EXPECT_TRUE(spansOf(cluster, job).empty());
    cluster.log.setFaults({});
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job, Millis(20'000)));
    EXPECT_EQ(PARTS, spansOf(cluster, job).size());
    EXPECT_TRUE(Cluster::eventually([&] { return ledgersAgree(cluster); }));
}

} // namespace

} // namespace Papaya::Testing
