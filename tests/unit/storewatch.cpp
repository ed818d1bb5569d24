#include "steps/storewatch.h"
#include "dispatch/journalrelay.h"
#include "steps/attemptbook.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Tests the decisions about callers' records while the store is slow or lost, and the form in which nodes pass them on.

namespace Papaya
{

namespace
{

const QueueName QUEUE("plan");

TEST(StoreWatch, TakesAStoreForLostOnlyAfterSilenceOrSeveralFailures)
{
    EXPECT_EQ(StoreHealth::Answering, healthOf({0, Millis(0), Millis(4)}));
    EXPECT_EQ(StoreHealth::Answering, healthOf({0, Millis(300), Millis(4)}));
    EXPECT_NE(StoreHealth::Lost, healthOf({1, Millis(50), Millis(4)}));    // a reset connection
    EXPECT_EQ(StoreHealth::Slow, healthOf({0, Millis(400), Millis(400)})); // a hundred times slower
    EXPECT_EQ(StoreHealth::Lost, healthOf({2, Millis(150), Millis(4)}));
    EXPECT_EQ(StoreHealth::Lost, healthOf({0, Millis(700), Millis(4)}));
}

TEST(StoreWatch, SendsNothingToALostStore)
{
    for (const bool known : {false, true}) {
        for (const bool refused : {false, true}) {
            for (const bool mayRefuse : {false, true}) {
                for (const bool mayHold : {false, true}) {
                    const RecordRoute route = routeRecord({StoreHealth::Lost, known, refused, mayRefuse, mayHold});
                    EXPECT_NE(RecordRoute::Append, route);
                    EXPECT_EQ(known && !refused, route == RecordRoute::Relay);
                    EXPECT_TRUE(mayRefuse || !mayHold || route != RecordRoute::Refuse);
                }
            }
        }
    }
    EXPECT_EQ(RecordRoute::Append, routeRecord({StoreHealth::Answering, true, false, true, true}));
    EXPECT_EQ(RecordRoute::Append, routeRecord({StoreHealth::Slow, true, true, true, true}));
    EXPECT_EQ(RecordRoute::Relay, routeRecord({StoreHealth::Slow, true, false, true, true}));
}

// Load pattern: callers of a large deployment repeat their submissions at nodes that have not seen them before.
TEST(AttemptBook, RecognizesFirstAttemptsByTheTimeThatTheirCallersHaveLeft)
{
    AttemptBook book;
    EXPECT_TRUE(book.isFirst(QUEUE, JobId("a"), Millis(3'000), Millis(3'000)));
    EXPECT_FALSE(book.isFirst(QUEUE, JobId("b"), Millis(1'950), Millis(3'000)));
    EXPECT_FALSE(book.isFirst(QUEUE, JobId("c"), Millis(0), Millis(3'000))); // does not say
    AttemptBook unconfigured;
    EXPECT_FALSE(unconfigured.isFirst(QUEUE, JobId("d"), Millis(1'950), Millis(0))); // may be anything
    for (int i = 0; i < 20; ++i) {
        unconfigured.isFirst(QUEUE, JobId("e"), Millis(3'000), Millis(0));
    }
    EXPECT_TRUE(unconfigured.isFirst(QUEUE, JobId("f"), Millis(3'000), Millis(0)));
    EXPECT_FALSE(unconfigured.isFirst(QUEUE, JobId("g"), Millis(2'900), Millis(0)));
}

TEST(AttemptBook, NeverTakesAJobInDoubtForAFirstAttempt)
{
    AttemptBook book;
    book.inDoubt(JobId("a"));
    EXPECT_FALSE(book.isFirst(QUEUE, JobId("a"), Millis(3'000), Millis(3'000)));
    EXPECT_TRUE(book.isFirst(QUEUE, JobId("b"), Millis(3'000), Millis(3'000)));
}

TEST(JournalRelay, PassesOnSubmissionsAndCancellationsOnly)
{
    const StoredRecord cancelled = encodeRecord(StepJobCancelled {JobId("00000000000000ab")});
    const auto decoded = decodeRelayed(encodeRelayed({cancelled}));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(cancelled.key, decoded->front().key);
    EXPECT_EQ(cancelled.value, decoded->front().value);
    const StoredRecord claim = encodeRecord(PlannerAnnouncement {Epoch(9), "node-9", false, 500, ""});
    EXPECT_FALSE(decodeRelayed(encodeRelayed({claim})));
    EXPECT_FALSE(decodeRelayed(R"([["j/1",7]])"));
}

RC_GTEST_PROP(JournalRelay, DecodesArbitraryBytesToRecordsOrNothing, (const std::string &bytes))
{
    decodeRelayed(bytes);
}

} // namespace

} // namespace Papaya
