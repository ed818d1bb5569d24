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

// Appends to a topic, most often the journal, with one append in flight: what comes meanwhile rides in the next one.

namespace Papaya
{

/** Writer of one producer, or of none. */
class JournalWriter : public std::enable_shared_from_this<JournalWriter>
{
public:
    using Callback = std::function<void(AppendOutcome)>;

    /**
     * @param producer its sequence is that of the last append; with it an append is repeated until it is stored or
     * fenced, in order and without a second copy; without it an append ends at its deadline
     */
    static std::shared_ptr<JournalWriter> create(Asio::io_context &io, RecordStore &store,
                                                 std::optional<Producer> producer, Topic topic = Topic::Journal);

    /** Appends @p records together; @p done is called once. */
    void append(std::vector<StoredRecord> records, TimePoint deadline, Callback done);
    /** Appends @p records and waits. */
    Asio::awaitable<AppendOutcome> append(std::vector<StoredRecord> records, TimePoint deadline);
    /** Ends the writer; what waits is reported as unknown. */
    void stop();

    /** @return when the last append that was stored had been sent, in bootMillis(). */
    [[nodiscard]] std::int64_t lastStoredMs() const
    {
        return m_lastStoredMs;
    }
    [[nodiscard]] bool idle() const
    {
        return m_queue.empty() && !m_inFlight;
    }

private:
    struct Entry {
        std::vector<StoredRecord> records;
        TimePoint deadline;
        Callback done;
        bool inDoubt = false; ///< an earlier try may have been carried out
    };

    JournalWriter(Asio::io_context &io, RecordStore &store, std::optional<Producer> producer, Topic topic);
    static Asio::awaitable<void> sendLoop(std::shared_ptr<JournalWriter> self);
    Asio::awaitable<void> send(std::vector<Entry> &batch);
    std::vector<Entry> takeBatch();
    /** Ends the entries whose deadline has passed. */
    static void expireOverdue(std::vector<Entry> &batch);

    Asio::io_context &m_io;
    RecordStore &m_store;
    std::optional<Producer> m_producer;
    Topic m_topic;
    std::deque<Entry> m_queue;
    bool m_inFlight = false;
    bool m_sending = false;
    bool m_stopped = false;
    std::int64_t m_lastStoredMs = 0;
};

} // namespace Papaya
