#include "dispatch/journalwriter.h"

#include <gtest/gtest.h>

// Tests how entries above the limits of the store are appended.

namespace Papaya
{

namespace
{

/** A store that refuses what exceeds its limits, and fences the writer after a number of appends. */
class LimitedStore : public RecordStore
{
public:
    [[nodiscard]] StoreLimits limits() const override
    {
        return {200, 1'000};
    }

    Asio::awaitable<AppendOutcome> append(Topic /*topic*/, std::vector<StoredRecord> records,
                                          std::optional<Producer> /*producer*/, std::optional<Offset> /*expectedEnd*/,
                                          TimePoint /*deadline*/) override
    {
        std::size_t bytes = 0;
        for (const StoredRecord &record : records) {
            bytes += storedBytes(record);
        }
        largestCall = std::max(largestCall, bytes);
        if (calls++ >= fencedFrom) {
            co_return AppendOutcome::Fenced;
        }
        if (bytes > limits().callBytes) {
            co_return AppendOutcome::NotStored;
        }
        for (const StoredRecord &record : records) {
            keys.push_back(record.key);
        }
        co_return AppendOutcome::Stored;
    }
    Asio::awaitable<ReadResult> read(Topic /*topic*/, Offset /*from*/, Millis /*wait*/, std::size_t /*maxKb*/) override
    {
        co_return ReadResult {};
    }
    Asio::awaitable<NewestResult> newest(Topic /*topic*/) override
    {
        co_return NewestResult {};
    }
    Asio::awaitable<void> probe(Topic /*topic*/, Millis /*timeout*/) override
    {
        co_return;
    }

    std::size_t fencedFrom = 1'000;
    std::size_t calls = 0;
    std::size_t largestCall = 0;
    std::vector<std::string> keys; ///< of the stored records, in order
};

struct JournalWriterTest : testing::Test {
    void append(std::vector<StoredRecord> records)
    {
        writer->append(std::move(records), TimePoint::max(),
                       [this](AppendOutcome outcome) { outcomes.push_back(outcome); });
    }

    static std::vector<StoredRecord> numbered(int from, int to)
    {
        std::vector<StoredRecord> records;
        for (int i = from; i < to; ++i) {
            records.push_back({std::to_string(100 + i), std::string(80, 'x')});
        }
        return records;
    }

    Asio::io_context io;
    LimitedStore store;
    std::vector<AppendOutcome> outcomes;
    std::shared_ptr<JournalWriter> writer =
        JournalWriter::create(io, store, Producer {"planner", Epoch(1), 0}, [] { return Millis(1); });
};

// Guards against an entry above the limit of the store, which was repeated for ever and blocked all others.
TEST_F(JournalWriterTest, SplitsAnEntryAboveTheLimitOfTheStoreAndKeepsTheOrder)
{
    append(numbered(0, 50));
    append(numbered(50, 51));
    io.run_for(Millis(500));
    ASSERT_EQ(51U, store.keys.size());
    EXPECT_TRUE(std::is_sorted(store.keys.begin(), store.keys.end()));
    EXPECT_LE(store.largestCall, store.limits().callBytes);
    EXPECT_EQ(std::vector<AppendOutcome>(2, AppendOutcome::Stored), outcomes);
}

// Guards against a record that can never be stored and blocks the entries behind it.
TEST_F(JournalWriterTest, RefusesARecordAboveTheLimitAtOnceAndStoresTheNextEntries)
{
    append({{"large", std::string(300, 'x')}});
    EXPECT_EQ(std::vector<AppendOutcome> {AppendOutcome::NotStored}, outcomes);
    append(numbered(0, 1));
    io.run_for(Millis(500));
    EXPECT_EQ(std::vector<std::string> {"100"}, store.keys);
}

// Guards against an entry that counts as stored although only its first parts are.
TEST_F(JournalWriterTest, ReportsAnEntryAsFencedIfOneOfItsPartsIs)
{
    store.fencedFrom = 2;
    append(numbered(0, 50));
    io.run_for(Millis(500));
    EXPECT_EQ(std::vector<AppendOutcome> {AppendOutcome::Fenced}, outcomes);
}

} // namespace

} // namespace Papaya
