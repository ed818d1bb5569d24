#pragma once

#include "connection/waiter.h"
#include "dispatch/recordstore.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

// Appends records to a topic, by default the journal. One append is in flight at a time; entries that arrive meanwhile
// are batched into the next one. An entry above the size of a batch is split into parts, which are stored in order. The
// time that an attempt is given grows with the delay of reads, since an append that a slow store still has in its queue
// is only delayed further by a repetition.

namespace Papaya
{

/** Writes to one topic, with or without a producer identity. */
class JournalWriter : public std::enable_shared_from_this<JournalWriter>
{
public:
    using Callback = std::function<void(AppendOutcome)>;

    /** Time beyond the deadline of an entry for the answer to an attempt that is under way. */
    static constexpr Millis ANSWER_MARGIN {600};
    /** Longest batch, unless the store's limit is lower. A slow store takes a longer one too late for heartbeats. */
    static constexpr std::size_t MAX_BATCH_BYTES = 512UL * 1024;

    /**
     * @param producer identity of the writer, with the sequence number of its last append. With a producer, an append
     * is repeated until it is stored or fenced, in order and without duplicates; without one, it is given up at its
     * deadline.
     * @param readDelay returns the present delay of reads from the store
     */
    static std::shared_ptr<JournalWriter> create(Asio::io_context &io, RecordStore &store,
                                                 std::optional<Producer> producer, std::function<Millis()> readDelay,
                                                 Topic topic = Topic::Journal);

    /**
     * Appends @p records; @p done is called exactly once, when all of them are stored or the outcome is certain.
     * Records of up to MAX_BATCH_BYTES in total are stored atomically; more are split, so that a prefix of them may be
     * stored without the rest. If one of them exceeds the limit of the store, none is stored, and the outcome is
     * AppendOutcome::NotStored.
     */
    void append(std::vector<StoredRecord> records, TimePoint deadline, Callback done);
    /** Appends @p records. @return the outcome; AppendOutcome::Unknown if there is none ANSWER_MARGIN after @p deadline
     */
    Asio::awaitable<AppendOutcome> append(std::vector<StoredRecord> records, TimePoint deadline);
    /** Stops the writer; queued entries end with AppendOutcome::Unknown. */
    void stop();

    /** @return true if an append of @p records is not split. */
    [[nodiscard]] bool storesAtomically(const std::vector<StoredRecord> &records) const;
    /** @return true if the store takes a record of the size of @p record. */
    [[nodiscard]] bool fits(const StoredRecord &record) const;
    /** @return when the last successful append was sent, in bootMillis(). */
    [[nodiscard]] std::int64_t lastStoredMs() const
    {
        return m_lastStoredMs;
    }
    /** @return the time within which the store is now expected to answer an append. */
    [[nodiscard]] Millis attemptTimeout() const;
    [[nodiscard]] bool idle() const
    {
        return m_queue.empty() && !m_inFlight;
    }

private:
    /** Collects the outcomes of the parts of one append. */
    class Completion
    {
    public:
        Completion(Callback done, std::size_t parts);
        /** Takes note of the outcome of one part and calls the callback once the outcome of all is certain. */
        void partDone(AppendOutcome outcome);

    private:
        Callback m_done;
        std::size_t m_left; ///< parts without an outcome
        std::optional<AppendOutcome> m_outcome;
    };
    struct Entry {
        std::vector<StoredRecord> records;
        std::size_t bytes = 0;
        TimePoint deadline;
        std::shared_ptr<Completion> completion;
        bool inDoubt = false; ///< an earlier attempt may have taken effect
    };

    JournalWriter(Asio::io_context &io, RecordStore &store, std::optional<Producer> producer,
                  std::function<Millis()> readDelay, Topic topic);
    static Asio::awaitable<void> sendLoop(std::shared_ptr<JournalWriter> self);
    Asio::awaitable<void> send(std::vector<Entry> &batch);
    [[nodiscard]] std::size_t maxBatchBytes() const;
    std::vector<Entry> takeBatch();
    /** Completes and removes entries whose deadline has passed. */
    static void expireOverdue(std::vector<Entry> &batch);

    Asio::io_context &m_io;
    RecordStore &m_store;
    std::optional<Producer> m_producer;
    std::function<Millis()> m_readDelay;
    Topic m_topic;
    std::deque<Entry> m_queue;
    bool m_inFlight = false;
    bool m_sending = false;
    bool m_stopped = false;
    std::int64_t m_lastStoredMs = 0;
};

} // namespace Papaya
