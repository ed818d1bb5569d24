#include "process/ledger.h"
#include "base/codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// Properties of the ledger under random records from two instances that both act as planner.

namespace Papaya
{

namespace
{

JournalRecord randomRecord(Epoch epoch)
{
    const JobId job("j" + std::to_string(*rc::gen::inRange(0, 4)));
    const auto attempt = *rc::gen::inRange(0U, 4U);
    switch (*rc::gen::inRange(0, 10)) {
    case 0: {
        JobSubmitted record;
        record.job = job;
        record.team = TeamName("t");
        record.shape = {2, {0, 0, 4}, Adjacency::Rack};
        record.key = *rc::gen::elementOf(std::vector<std::string> {"", "k1", "k2"});
        return record;
    }
    case 1:
        return CancelRequested {job};
    case 2:
        return PlannerClaim {Epoch(epoch.value() + 1), "a"};
    case 3:
        return PlannerHeartbeat {epoch};
    case 4: {
        Placed record {epoch, job, attempt, {WorkerId("w1"), WorkerId("w2")}, false};
        return record;
    }
    case 5:
        return Committed {epoch, job, attempt};
    case 6:
        return Started {epoch, job, attempt};
    case 7:
        return Released {epoch, job, attempt, ReleaseReason::PartLost, {"c", ""}, WorkerId("w1")};
    case 8:
        return Finished {epoch, job, attempt, JobOutcome::Succeeded, ""};
    default:
        return WorkerStanding {epoch, WorkerId("w1"), static_cast<Standing>(*rc::gen::inRange(0, 3))};
    }
}

RC_GTEST_PROP(Ledger, IsRestoredWholeFromItsSnapshot, ())
{
    Ledger ledger;
    const std::size_t records = *rc::gen::inRange(0, 60);
    for (std::size_t i = 0; i < records; ++i) {
        const Epoch epoch(ledger.planner().epoch.value()
                          + *rc::gen::elementOf(std::vector<std::uint64_t> {0, 0, 0, 1}));
        const InstanceId writer(*rc::gen::elementOf(std::vector<std::string> {"a", "b"}));
        ledger.apply(randomRecord(epoch), {writer, Incarnation(1), static_cast<std::int64_t>(1'000 + i)});
    }
    auto restored = Ledger::fromJson(*parseCbor(toCbor(ledger.toJsonValue())));
    RC_ASSERT(restored.ok());
    RC_ASSERT(restored->digest() == ledger.digest());
    // The next record has the same effect on both.
    const JournalRecord next = randomRecord(ledger.planner().epoch);
    const RecordOrigin origin {InstanceId("a"), Incarnation(1), 9'000};
    RC_ASSERT(ledger.apply(next, origin).accepted == restored->apply(next, origin).accepted);
    RC_ASSERT(restored->digest() == ledger.digest());
}

RC_GTEST_PROP(Ledger, RejectsDecisionsThatAreNotFromTheCurrentPlanner, ())
{
    Ledger ledger;
    for (int i = 0; i < 60; ++i) {
        const Epoch current = ledger.planner().epoch;
        const Epoch epoch(*rc::gen::inRange<std::uint64_t>(0, current.value() + 2));
        const InstanceId writer(*rc::gen::elementOf(std::vector<std::string> {"a", "b"}));
        const JournalRecord record = randomRecord(epoch);
        const bool writerIsPlanner = epoch == current && ledger.planner().holder == writer;
        const std::string before = ledger.digest();
        const ApplyResult result = ledger.apply(record, {writer, Incarnation(1), 1'000 + i});
        const bool decision = std::holds_alternative<Placed>(record) || std::holds_alternative<Committed>(record)
                              || std::holds_alternative<Started>(record) || std::holds_alternative<Released>(record)
                              || std::holds_alternative<Finished>(record);
        if (decision && !writerIsPlanner) {
            RC_ASSERT(!result.accepted);
        }
        if (!result.accepted) {
            RC_ASSERT(ledger.digest() == before);
        }
    }
}

RC_GTEST_PROP(Ledger, NeverLetsAnEndedJobRunAgain, ())
{
    Ledger ledger;
    std::map<JobId, JobState> ended;
    for (int i = 0; i < 80; ++i) {
        ledger.apply(randomRecord(ledger.planner().epoch), {InstanceId("a"), Incarnation(1), 1'000 + i});
        for (const auto &[id, state] : ended) {
            RC_ASSERT(ledger.job(id)->state == state);
        }
        for (const auto &[id, job] : ledger.jobs()) {
            if (isFinal(job.state)) {
                ended[id] = job.state;
                RC_ASSERT(!job.placed());
            }
        }
    }
}

TEST(Ledger, AcceptsOnlyTheFirstOfTwoClaimsOfOneEpoch)
{
    Ledger ledger;
    const RecordOrigin first {InstanceId("a"), Incarnation(1), 1};
    const RecordOrigin second {InstanceId("b"), Incarnation(1), 2};
    EXPECT_TRUE(ledger.apply(PlannerClaim {Epoch(1), "x"}, first).accepted);
    EXPECT_FALSE(ledger.apply(PlannerClaim {Epoch(1), "y"}, second).accepted);
    EXPECT_EQ(InstanceId("a"), ledger.planner().holder);
    // The role is held by one incarnation of the instance; another one does not hold it.
    EXPECT_FALSE(ledger.apply(PlannerHeartbeat {Epoch(1)}, {InstanceId("a"), Incarnation(2), 3}).accepted);
}

TEST(Ledger, RejectsASecondSubmissionWithTheSameKey)
{
    Ledger ledger;
    JobSubmitted job;
    job.team = TeamName("t");
    job.key = "k";
    job.job = JobId("j1");
    EXPECT_TRUE(ledger.apply(job, {InstanceId("a"), Incarnation(1), 1}).accepted);
    job.job = JobId("j2");
    EXPECT_FALSE(ledger.apply(job, {InstanceId("b"), Incarnation(1), 2}).accepted);
    EXPECT_EQ(JobId("j1"), ledger.jobByKey(TeamName("t"), "k")->spec.job);
}

} // namespace

} // namespace Papaya
