#pragma once

#include "connection/logservice.h"
#include "connection/waiter.h"
#include "process/metrics.h"
#include "process/streambatch.h"

#include <boost/asio/strand.hpp>

#include <deque>
#include <map>
#include <memory>
#include <mutex>

// Appends records to one stream, with one append in flight; records that arrive meanwhile go into the next batch. A
// record counts as appended once this instance reads it back, which also tells the result of an append whose answer was
// lost.

namespace Papaya
{

/** Result of appending a record. */
enum class AppendStatus {
    Applied,  ///< read back from the stream, and valid by the stream's rules
    Void,     ///< read back from the stream, and without effect by the stream's rules
    NotTaken, ///< not in the stream, and will never have an effect
    Unknown,  ///< may still appear in the stream
};

/** Order among queued records: those of high priority go first. */
enum class AppendPriority { Normal, High };

/** Appends records to one stream. Thread-safe. */
class StreamWriter : public std::enable_shared_from_this<StreamWriter>
{
public:
    /** Limits of a writer. */
    struct Limits {
        std::size_t maxQueued = 10'000;  ///< records; more are refused
        std::size_t maxBatchItems = 256; ///< records in one append
        Millis minInterval {30}; ///< between the starts of two appends; bounds the share of the log service's rate
    };

    static std::shared_ptr<StreamWriter> create(Asio::io_context &io, LogService &log, std::string stream,
                                                InstanceId instance, Incarnation incarnation, Limits limits,
                                                Metrics &metrics);

    /** Starts the append loop. */
    void start();
    /** Ends the append loop; queued records are no longer sent. */
    void stop();

    /**
     * Appends @p payload and waits until the record is read back.
     * @param deadline end of the wait; a record that cannot have reached the stream by then is dropped
     */
    Asio::awaitable<AppendStatus> append(nlohmann::json payload, TimePoint deadline,
                                         AppendPriority priority = AppendPriority::Normal);

    /**
     * Must be called for each record of this incarnation that the tail reads, in the stream's order.
     * @param valid whether the record is valid by the stream's rules
     */
    void onReadBack(std::uint64_t sequence, bool valid);

    /** @return how long the last append took, also if it failed or timed out. */
    [[nodiscard]] Duration lastAppendTime() const;
    /** @return records whose append has no known result yet. */
    [[nodiscard]] std::size_t pendingRecords() const;

private:
    /** A record until its result is known. */
    struct Entry {
        nlohmann::json payload;
        TimePoint deadline;
        std::uint64_t sequence = 0; ///< 0 until the first send
        bool inFlight = false;
        bool mayBeInStream = false; ///< an append with this record ended without an answer
        AppendStatus status = AppendStatus::Unknown;
        std::shared_ptr<Waiter> waiter;
    };
    using EntryPtr = std::shared_ptr<Entry>;
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    StreamWriter(Asio::io_context &io, LogService &log, std::string stream, InstanceId instance,
                 Incarnation incarnation, Limits limits, Metrics &metrics);

    static Asio::awaitable<void> run(std::shared_ptr<StreamWriter> self);
    /** Takes the next batch out of the queue and gives new records their sequence numbers. */
    std::vector<EntryPtr> takeBatch();
    /** Appends @p batch; after a failure, queues it again. */
    Asio::awaitable<void> send(const std::vector<EntryPtr> &batch);
    void requeue(const std::vector<EntryPtr> &batch, AppendFailure failure);
    /** Ends the wait of append() with @p status. */
    void settle(Entry &entry, AppendStatus status);

    LogService &m_log;
    const std::string m_stream;
    const InstanceId m_instance;
    const Incarnation m_incarnation;
    const Limits m_limits;
    Metrics &m_metrics;
    Strand m_strand;

    mutable std::mutex m_mutex;
    std::deque<EntryPtr> m_queue;
    std::map<std::uint64_t, EntryPtr> m_unsettled; ///< sent entries whose result is not known, by sequence number
    std::uint64_t m_nextSequence = 1;
    Duration m_lastAppendTime {0};
    Duration m_appendTimeout; ///< of one append; adapted to how long appends have taken
    bool m_stopped = false;
    Broadcast m_wake;
};

} // namespace Papaya
