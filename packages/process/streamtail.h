#pragma once

#include "connection/logservice.h"
#include "connection/waiter.h"
#include "process/metrics.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

// Follows one stream of the log service and passes each record to a sink, once and in order.

namespace Papaya
{

/** Receives the records of a stream; called from one coroutine at a time. */
class StreamSink
{
public:
    virtual ~StreamSink() = default;

    /** Applies the next record. Must not throw, whatever the record holds. */
    virtual void apply(const LogRecord &record) = 0;

    /**
     * Called when the next record has aged out, and before the first read after startAfterRecovery(). Recovers the
     * state that the skipped records gave, if it is needed.
     * @param start the oldest offset that is still kept; 0 before the first read
     * @return the offset to go on reading at
     */
    virtual Asio::awaitable<Offset> skipTo(Offset start) = 0;
};

/** Read position of a tail. */
struct TailStatus {
    Offset next;                         ///< first offset that has not been applied
    Offset end;                          ///< end of the stream at the last successful read
    std::optional<TimePoint> caughtUpAt; ///< start of the last read that reached the end of the stream
    TimePoint lastReadAt;                ///< end of the last successful read; before the first, the start
};

/** Follows one stream until it is stopped. Thread-safe. */
class StreamTail : public std::enable_shared_from_this<StreamTail>
{
public:
    static std::shared_ptr<StreamTail> create(Asio::io_context &io, LogService &log, std::string stream,
                                              StreamSink &sink, Metrics &metrics);

    /** Starts to read at offset @p from. */
    void start(Offset from);
    /** Lets the sink recover its state first, and starts to read at the offset that it returns. */
    void startAfterRecovery();
    /** Stops following the stream after the read in progress. */
    void stop();

    [[nodiscard]] TailStatus status() const;

    /** @return true once a read has reached the end of the stream; false again after records have aged out unread. */
    [[nodiscard]] bool caughtUp() const;

    /** @return true if a read that began at or after @p since has reached the end of the stream. */
    [[nodiscard]] bool caughtUpSince(TimePoint since) const;

    /** @return the broadcast that is notified after each successful read, even of no records. */
    Broadcast &progress()
    {
        return m_progress;
    }

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    StreamTail(Asio::io_context &io, LogService &log, std::string stream, StreamSink &sink, Metrics &metrics);

    static Asio::awaitable<void> run(std::shared_ptr<StreamTail> self, bool recover);
    /** Reads and applies one page, or lets the sink skip what has aged out. @return false if the read failed */
    Asio::awaitable<bool> readOnce();
    /** @param begin when the read of @p page began */
    void applyPage(const LogPage &page, TimePoint begin);

    LogService &m_log;
    const std::string m_stream;
    StreamSink &m_sink;
    Metrics &m_metrics;
    Strand m_strand;
    Duration m_timeoutMargin; ///< time for a read beyond its long poll; adapted to how long reads have taken

    mutable std::mutex m_mutex;
    TailStatus m_status;
    bool m_stopped = false;
    Broadcast m_progress;
};

} // namespace Papaya
