#include "steps/jobtable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>

// Tests what the job table tells of changes that a planner has made and the store has not acknowledged.

namespace Papaya
{

namespace
{

constexpr std::uint32_t TASKS = 3;

StepJob jobOfTasks()
{
    StepJob job;
    job.id = JobId("00000000000000aa");
    job.queue = QueueName("plan");
    job.spec.steps.emplace_back().count = TASKS;
    return job;
}

UnitChanged changeOf(std::int32_t task, UnitState state, std::uint32_t run = 1)
{
    UnitStatus status;
    status.state = state;
    status.run = run;
    return {{JobId("00000000000000aa"), 0, 0, task}, status};
}

// Guards against showing a job as completed before the end of its last task is stored.
TEST(StoredJobs, AreCompletedOnceTheLastEndIsStored)
{
    JobTable table;
    table.apply(StepJobSubmitted {jobOfTasks()});
    const JobEntry &entry = *table.find(JobId("00000000000000aa"));
    for (std::int32_t task = 0; task < std::int32_t(TASKS); ++task) {
        table.applyUnstored(changeOf(task, UnitState::Placed));
        table.applyUnstored(changeOf(task, UnitState::Done));
    }
    EXPECT_FALSE(entry.live());
    EXPECT_EQ(StepJobState::Queued, table.stored(entry).state);
    for (std::int32_t task = 0; task < std::int32_t(TASKS); ++task) {
        EXPECT_TRUE(table.stored(entry).live());
        table.confirmStored(changeOf(task, UnitState::Placed));
        EXPECT_EQ(StepJobState::Running, table.stored(entry).state);
        table.confirmStored(changeOf(task, UnitState::Done));
    }
    EXPECT_EQ(StepJobState::Completed, table.stored(entry).state);
}

// Guards against a failure being shown that a successor does not know of.
TEST(StoredJobs, AreFailedOnceTheFailureIsStored)
{
    JobTable table;
    table.apply(StepJobSubmitted {jobOfTasks()});
    const JobEntry &entry = *table.find(JobId("00000000000000aa"));
    table.applyUnstored(changeOf(1, UnitState::Failed));
    EXPECT_EQ(StepJobState::Failed, entry.state());
    EXPECT_TRUE(table.stored(entry).live());
    table.discardUnstored();
    EXPECT_EQ(StepJobState::Queued, entry.state());
    EXPECT_EQ(1U, table.live().size());
    table.confirmStored(changeOf(1, UnitState::Failed)); // the store's answer arrives late
    EXPECT_EQ(StepJobState::Queued, table.stored(entry).state);
}

/** Changes are confirmed in the order in which they were made, as they are in the journal. */
RC_GTEST_PROP(StoredJobs, AreWhatATableShowsThatHasOnlyReadTheJournal, ())
{
    JobTable planner;
    JobTable follower;
    planner.apply(StepJobSubmitted {jobOfTasks()});
    follower.apply(StepJobSubmitted {jobOfTasks()});
    const JobId id("00000000000000aa");
    std::deque<UnitChanged> inFlight;
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        if (inFlight.empty() || *rc::gen::inRange(0, 2) == 0) {
            const auto state =
                *rc::gen::element(UnitState::Waiting, UnitState::Placed, UnitState::Done, UnitState::Failed);
            inFlight.push_back(changeOf(*rc::gen::inRange(0, int(TASKS)), state, *rc::gen::inRange(0U, 3U)));
            planner.applyUnstored(inFlight.back());
        } else {
            planner.confirmStored(inFlight.front());
            follower.apply(inFlight.front());
            inFlight.pop_front();
        }
        RC_ASSERT(planner.stored(*planner.find(id)).state == follower.find(id)->state());
        RC_ASSERT(planner.stored(*planner.find(id)).units.left == follower.find(id)->units.left);
        RC_ASSERT(planner.stored(*planner.find(id)).units.started == follower.find(id)->units.started);
    }
    planner.discardUnstored();
    RC_ASSERT(planner.find(id)->state() == follower.find(id)->state());
    RC_ASSERT(planner.live().size() == follower.live().size());
}

// The records of a large job are deleted in several appends. Guards against a node that loads the journal between them
// and takes the tasks whose records are gone for waiting.
TEST(StoredJobs, ThatAreOnlyPartlyForgottenAreNotLiveAgain)
{
    const StepJob job = jobOfTasks();
    std::vector<StoredRecord> stored {encodeRecord(StepJobSubmitted {job})};
    std::vector<UnitKey> units;
    for (std::int32_t task = 0; task < std::int32_t(TASKS); ++task) {
        stored.push_back(encodeRecord(changeOf(task, UnitState::Done)));
        units.push_back(changeOf(task, UnitState::Done).unit);
    }
    const ForgettingRecords forgetting = encodeForgetting(job.id, units);
    std::vector<StoredRecord> deletions {forgetting.cancellation};
    deletions.insert(deletions.end(), forgetting.units.begin(), forgetting.units.end());
    std::map<std::string, std::string> newest;
    for (const StoredRecord &record : stored) {
        newest[record.key] = record.value;
    }
    JobTable reader;
    reader.apply(StepJobSubmitted {job});
    for (const StoredRecord &deletion : deletions) {
        newest[deletion.key] = deletion.value;
        JobTable loaded;
        for (const auto &[key, value] : newest) {
            loaded.apply(*decodeRecord(key, value));
        }
        EXPECT_FALSE(loaded.find(job.id)->live());
        reader.apply(*decodeRecord(deletion.key, deletion.value));
        EXPECT_NE(nullptr, reader.find(job.id)) << "a later planner must know what is left to delete";
    }
    reader.apply(*decodeRecord(forgetting.job.back().key, forgetting.job.back().value));
    EXPECT_EQ(nullptr, reader.find(job.id));
}

} // namespace

} // namespace Papaya
