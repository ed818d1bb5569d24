#include "steps/jobtable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

// Tests the job table and the encoding of the records that it is built from.

namespace Papaya
{

namespace
{

StepJob sampleJob(std::uint32_t attempts = 2)
{
    StepJob job;
    job.id = JobId("00000000000000aa");
    job.queue = QueueName("plan");
    job.service = ServiceName("desk");
    job.team = TeamName("a");
    job.submittedMs = 77;
    job.priority = 1;
    job.attempts = attempts;
    job.stretch = 2.5;
    job.targetMs = 900;
    job.spec.payload = "do it";
    StepSpec first;
    first.count = 3;
    first.need = {500, 256, 1};
    first.estimate = Millis(900);
    first.dataRack = RackName("r1");
    first.requiredLabel = "a";
    first.maxPerMinion = 2;
    StepSpec second;
    second.count = 4;
    second.gang = true;
    second.sameRack = true;
    second.checkpointing = true;
    second.dependencies = {0};
    job.spec.steps = {first, second};
    job.spec.timetable = {2, 1'000, 500};
    return job;
}

/** Generates text that minions may choose: any bytes, and often what could be taken for a separator. */
rc::Gen<std::string> arbitraryText()
{
    return rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("", "-", "--", " ", "%", "%20", "a b", " a", "a ", "00ab", "\n"));
}

/** Generates arbitrary statuses of a unit. */
rc::Gen<UnitStatus> statuses()
{
    return rc::gen::exec([] {
        UnitStatus status;
        status.state = *rc::gen::element(UnitState::Waiting, UnitState::Placed, UnitState::Done, UnitState::Failed);
        status.run = *rc::gen::inRange(0U, 9U);
        status.failures = *rc::gen::inRange(0U, 3U);
        status.failedRun = *rc::gen::inRange(0U, 9U);
        status.checkpoint = *arbitraryText();
        const int minions = *rc::gen::inRange(0, 4);
        for (int i = 0; i < minions; ++i) {
            const bool ended = *rc::gen::inRange(0, 4) == 0;
            status.minions.emplace_back(ended ? "" : "i-" + std::to_string(i) + *arbitraryText());
        }
        return status;
    });
}

bool hasErrors(const Result<JobRecord> &decoded)
{
    return !decoded.ok() && !decoded.errors().empty();
}

std::vector<UnitKey> unitsOf(const StepJob &job)
{
    std::vector<UnitKey> units;
    for (std::uint32_t k = 0; k < job.spec.occurrences(); ++k) {
        for (std::int32_t i = 0; i < 3; ++i) {
            units.push_back({job.id, k, 0, i});
        }
        units.push_back({job.id, k, 1, UnitKey::GANG});
    }
    return units;
}

TEST(JobTable, ReportsAJobAsCompletedOnceAllItsUnitsAreDone)
{
    JobTable jobTable;
    const StepJob job = sampleJob();
    jobTable.apply(StepJobSubmitted {job});
    EXPECT_EQ(StepJobState::Queued, jobTable.find(job.id)->state());
    EXPECT_EQ(0U, jobTable.waiting(job.queue)); // jobs with a timetable do not count
    EXPECT_FALSE(jobTable.find(job.id)->dependenciesDone(0, 1));
    UnitStatus done;
    done.state = UnitState::Done;
    done.run = 1;
    for (const UnitKey &unit : unitsOf(job)) {
        EXPECT_TRUE(jobTable.find(job.id)->live());
        jobTable.apply(UnitChanged {unit, done});
    }
    EXPECT_EQ(StepJobState::Completed, jobTable.find(job.id)->state());
    EXPECT_TRUE(jobTable.live().empty());
    EXPECT_EQ(1'500, jobTable.find(job.id)->dueMs(1));
}

// Guards against a job that counts as started although its only start was refused.
TEST(JobTable, CountsAJobAsWaitingUntilARunMayHaveBegun)
{
    StepJob job;
    job.id = JobId("refused");
    job.queue = QueueName("plan");
    job.spec.steps.resize(1);
    JobTable table;
    table.apply(StepJobSubmitted {job});
    const auto waitingAfter = [&](UnitState state, std::uint32_t run, bool neverBegan) {
        UnitStatus status;
        status.state = state;
        status.run = run;
        status.neverBegan = neverBegan;
        const StoredRecord record = encodeRecord(UnitChanged {{job.id, 0, 0, 0}, status});
        table.apply(*decodeRecord(record.key, record.value));
        return table.waiting(job.queue);
    };
    EXPECT_EQ(0U, waitingAfter(UnitState::Placed, 1, true));
    EXPECT_EQ(1U, waitingAfter(UnitState::Waiting, 1, true)) << "refused";
    EXPECT_EQ(0U, waitingAfter(UnitState::Placed, 2, true));
    EXPECT_EQ(0U, waitingAfter(UnitState::Waiting, 2, false)) << "stopped after it had begun";
}

TEST(JobTable, CancelsAJobWhoseCancellationPrecedesItsSubmission)
{
    JobTable jobTable;
    const StepJob job = sampleJob();
    jobTable.apply(StepJobCancelled {job.id});
    EXPECT_EQ(nullptr, jobTable.find(job.id));
    jobTable.apply(StepJobSubmitted {job});
    EXPECT_EQ(StepJobState::Cancelled, jobTable.find(job.id)->state());
    EXPECT_FALSE(jobTable.find(job.id)->live());
}

TEST(UnitKey, ParsesItsOwnTextAndRejectsMalformedText)
{
    const UnitKey gang {JobId("aa"), 1, 2, UnitKey::GANG};
    EXPECT_EQ("aa.1.2.g", gang.toString());
    EXPECT_EQ("aa.1.2.5", gang.taskName(5));
    UnitKey parsed;
    EXPECT_TRUE(UnitKey::parse("aa.1.2.g", parsed));
    EXPECT_EQ(gang, parsed);
    for (const char *malformed : {"", "aa", "aa.1.2", "aa.1.2.", "aa.x.2.3", "aa.1.2.-1", "aa.1.2.3.4"}) {
        EXPECT_FALSE(UnitKey::parse(malformed, parsed)) << malformed;
    }
}

RC_GTEST_PROP(JobRecord, IsUnchangedByEncodingAndDecoding, ())
{
    const StepJob job = sampleJob(*rc::gen::inRange(1U, 9U));
    const auto checkRoundTrip = [](const JobRecord &record) {
        const StoredRecord stored = encodeRecord(record);
        const auto decoded = decodeRecord(stored.key, stored.value);
        RC_ASSERT(decoded.ok());
        const StoredRecord reencoded = encodeRecord(*decoded);
        RC_ASSERT(reencoded.key == stored.key);
        RC_ASSERT(reencoded.value == stored.value);
    };
    checkRoundTrip(StepJobSubmitted {job});
    checkRoundTrip(StepJobCancelled {job.id});
    checkRoundTrip(MinionSilence {MinionId("i 1"), Epoch(*rc::gen::inRange<std::uint64_t>(0, 1ULL << 50))});
    checkRoundTrip(MinionSilence {MinionId("i-2"), std::nullopt});
    const std::int64_t startTimeMs = *rc::gen::inRange<std::int64_t>(0, 1LL << 41);
    checkRoundTrip(MinionSilence {MinionId("i-4"), Epoch(7), *rc::gen::inRange(0U, 2U), startTimeMs});
    checkRoundTrip(MinionSilence {MinionId("i-3"), Epoch(7), *rc::gen::inRange(1U, 1U << 31)});
    const UnitChanged change {{job.id, 3, 1, *rc::gen::inRange(-1, 9)}, *statuses()};
    checkRoundTrip(change);
    const StoredRecord stored = encodeRecord(change);
    RC_ASSERT(std::get<UnitChanged>(*decodeRecord(stored.key, stored.value)).status == change.status);
    const std::vector<EarlierPlanner> earlier {{Epoch(3), "node-2", "b:2", 900}};
    checkRoundTrip(PlannerAnnouncement {Epoch(4), "node-1", false, 500, "a:1", earlier});
    checkRoundTrip(PlannerAnnouncement {Epoch(*rc::gen::inRange<std::uint64_t>(0, 1ULL << 50)), "node-1",
                                        *rc::gen::arbitrary<bool>(), 500, "10.0.0.1:7000"});
}

/** @return when @p table says that the silence of a minion was read, or nothing if it says nothing of a silence. */
std::optional<std::int64_t> silenceReadMs(const JobTable &table, const MinionId &minion)
{
    const auto found = table.silences().find(minion);
    return found == table.silences().end() ? std::nullopt : std::optional(found->second.readMs);
}

// Guards against counting the wait for a minion from an earlier silence, after which it has got leases: the table may
// be loaded anew without the records in between.
TEST(JobTable, CountsEachSilenceOfAMinionFromItsOwnRecord)
{
    const MinionId minion("i-0");
    JobTable earlier;
    earlier.applySilence({minion, Epoch(7), 1}, 1'000);
    earlier.applySilence({minion, Epoch(7), 1}, 2'000);
    EXPECT_EQ(1'000, silenceReadMs(earlier, minion));
    JobTable same;
    same.applySilence({minion, Epoch(7), 1}, 3'000);
    same.restoreSilences(earlier);
    EXPECT_EQ(1'000, silenceReadMs(same, minion));
    JobTable later;
    later.applySilence({minion, Epoch(7), 2}, 3'000);
    later.restoreSilences(earlier);
    EXPECT_EQ(3'000, silenceReadMs(later, minion));
    later.applySilence({minion, std::nullopt, 0}, 4'000);
    EXPECT_FALSE(silenceReadMs(later, minion));
}

// Guards against reading a record of an earlier version as one that promises more.
TEST(JobRecord, OfASilenceWithoutASpellIsReadAsOfAMinionThatWasNotReached)
{
    const auto decoded = decodeRecord("s/i-0", "4711");
    ASSERT_TRUE(decoded.ok());
    const auto &silence = std::get<MinionSilence>(*decoded);
    EXPECT_EQ(Epoch(4711), silence.since);
    EXPECT_EQ(0U, silence.spell);
}

// Guards against earlier versions, which know no spells, taking a later silence of a minion for an earlier one.
TEST(JobRecord, OfASilenceWithASpellCannotBeReadAsAnEpochAlone)
{
    const StoredRecord stored = encodeRecord(MinionSilence {MinionId("i-0"), Epoch(4711), 2});
    EXPECT_THROW(std::stoull(stored.value), std::invalid_argument);
}

// Guards against a checkpoint with spaces being cut when another node reads its record.
TEST(JobRecord, OfAUnitKeepsACheckpointWithSpaces)
{
    for (const char *checkpoint : {"epoch 2000 of i-0", "-", " ", "%20", "a%"}) {
        UnitStatus status;
        status.state = UnitState::Placed;
        status.run = 2;
        status.checkpoint = checkpoint;
        status.minions = {MinionId("i-0"), MinionId("i 1")};
        const StoredRecord stored = encodeRecord(UnitChanged {{JobId("aa"), 0, 0, 0}, status});
        const auto decoded = decodeRecord(stored.key, stored.value);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(status, std::get<UnitChanged>(*decoded).status) << checkpoint;
    }
}

// A record that some other program wrote, or a caller's job that was stored before it was checked. Every node applies
// it.
TEST(JobRecord, OfAJobThatNoNodeCanHoldIsRejected)
{
    const auto isRejected = [](const StepJob &job) {
        const StoredRecord stored = encodeRecord(StepJobSubmitted {job});
        return !decodeRecord(stored.key, stored.value).ok();
    };
    EXPECT_FALSE(isRejected(sampleJob()));
    StepJob endless = sampleJob();
    endless.spec.timetable.runs = 4'000'000'000U;
    EXPECT_TRUE(isRejected(endless));
    StepJob empty = sampleJob();
    empty.spec.steps.clear();
    EXPECT_TRUE(isRejected(empty));
    StepJob circular = sampleJob();
    circular.spec.steps[1].dependencies = {1};
    EXPECT_TRUE(isRejected(circular));
    StepJob freeing = sampleJob();
    freeing.spec.steps[0].need.gpus = -8;
    EXPECT_TRUE(isRejected(freeing));
}

RC_GTEST_PROP(JobRecord, IsDecodedFromArbitraryBytesToAValueOrAnError, (const std::string &bytes))
{
    for (const char *key : {"j/00", "x/00", "u/00.0.0.1", "q", "", "z"}) {
        const auto decoded = decodeRecord(key, bytes);
        RC_ASSERT(decoded.ok() || hasErrors(decoded));
    }
    const auto decoded = decodeRecord(bytes, "x");
    RC_ASSERT(decoded.ok() || hasErrors(decoded));
}

/** A node starts from the latest record of each key, then applies a part of the journal that overlaps these. */
RC_GTEST_PROP(JobTable, HasTheSameStateWhenRebuiltFromLatestRecordsAndAnOverlappingJournal, ())
{
    const StepJob job = sampleJob();
    std::vector<JobRecord> journal {StepJobSubmitted {job}};
    const std::vector<UnitKey> units = unitsOf(job);
    const int changes = *rc::gen::inRange(0, 30);
    for (int i = 0; i < changes; ++i) {
        journal.emplace_back(UnitChanged {*rc::gen::elementOf(units), *statuses()});
    }
    JobTable complete;
    std::map<std::string, std::size_t> latest;
    for (std::size_t i = 0; i < journal.size(); ++i) {
        complete.apply(journal[i]);
        latest[encodeRecord(journal[i]).key] = i;
    }
    JobTable rebuilt;
    for (const auto &[key, i] : latest) { // in key order, so units may precede their job
        rebuilt.apply(journal[i]);
    }
    for (std::size_t i = *rc::gen::inRange<std::size_t>(0, journal.size()); i < journal.size(); ++i) {
        rebuilt.apply(journal[i]);
    }
    RC_ASSERT(complete.find(job.id)->state() == rebuilt.find(job.id)->state());
    RC_ASSERT(complete.find(job.id)->units.left == rebuilt.find(job.id)->units.left);
    for (const UnitKey &unit : units) {
        RC_ASSERT(*complete.find(unit) == *rebuilt.find(unit));
    }
}

} // namespace

} // namespace Papaya
