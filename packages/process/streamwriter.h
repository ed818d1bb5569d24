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

// Appends records to one stream: one append in flight, and everything that waits rides in the next. A record counts as
// written when this instance reads it back, which also settles appends whose answer was lost.

namespace Papaya
{

/** What became of a record. */
enum class AppendStatus {
    Applied,  ///< read back from the stream, and it counts
    Void,     ///< read back from the stream, and the stream's rules make it void
    NotTaken, ///< not in the stream and will never count
    Unknown,  ///< may still turn up in the stream
};

/** Order among waiting records. */
enum class AppendPriority { Normal, High };

/** Writer of one stream. */
class StreamWriter : public std::enable_shared_from_this<StreamWriter>
{
public:
    /** Bounds of a writer. */
    struct Limits {
        std::size_t maxQueued = 10'000; ///< records
        std::size_t maxBatchItems = 256;
        Millis minInterval {30}; ///< between the starts of two appends, which bounds the share of the service's rate
    };

    static std::shared_ptr<StreamWriter> create(Asio::io_context &io, LogService &log, std::string stream,
                                                InstanceId instance, Incarnation incarnation, Limits limits,
                                                Metrics &metrics);

    /** Starts the append loop. */
    void start();
    /** Ends the loop; records that wait are given up. */
    void stop();

    /**
     * Appends @p payload and waits until it is read back.
     * @param deadline after it the record is no longer sent
     */
    Asio::awaitable<AppendStatus> append(nlohmann::json payload, TimePoint deadline,
                                         AppendPriority priority = AppendPriority::Normal);

    /**
     * To be called for each record of this instance that the tail reads, in the stream's order.
     * @param counts whether the stream's rules let the record count
     */
    void onReadBack(std::uint64_t sequence, bool valid);

    /** @return how long the last append took; appends that time out count in full. */
    [[nodiscard]] Duration lastAppendTime() const;
    /** @return records that wait or are being appended. */
    [[nodiscard]] std::size_t pendingRecords() const;

private:
    struct Entry {
        nlohmann::json payload;
        TimePoint deadline;
        std::uint64_t sequence = 0; ///< 0 until first sent
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
    std::vector<EntryPtr> takeBatch();
    Asio::awaitable<void> send(const std::vector<EntryPtr> &batch);
    void requeue(const std::vector<EntryPtr> &batch, AppendFailure failure);
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
    std::map<std::uint64_t, EntryPtr> m_unsettled; ///< sent entries by sequence
    std::uint64_t m_nextSequence = 1;
    Duration m_lastAppendTime {0};
    Duration m_appendTimeout;
    bool m_stopped = false;
    Broadcast m_wake;
};

} // namespace Papaya
