#pragma once

#include "connection/logservice.h"
#include "connection/waiter.h"
#include "process/metrics.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

// Follows one stream of the log service and hands each record to a sink, in order and once.

namespace Papaya
{

/** Takes the records of a stream; called from one coroutine at a time. */
class StreamSink
{
public:
    virtual ~StreamSink() = default;

    /** Applies the next record. Must not throw for anything a record can hold. */
    virtual void apply(const LogRecord &record) = 0;

    /**
     * The next record has aged out; recovers what the skipped records held, if it matters.
     * @param start the oldest offset that is still kept
     * @return the offset to go on reading at
     */
    virtual Asio::awaitable<Offset> skipTo(Offset start) = 0;
};

/** Where a tail stands. */
struct TailStatus {
    Offset next;                         ///< first offset that has not been applied
    Offset end;                          ///< end of the stream at the last successful read
    std::optional<TimePoint> caughtUpAt; ///< start of the last read that found nothing more to apply
    TimePoint lastReadAt;
};

/** Follower of one stream. */
class StreamTail : public std::enable_shared_from_this<StreamTail>
{
public:
    static std::shared_ptr<StreamTail> create(Asio::io_context &io, LogService &log, std::string stream,
                                              StreamSink &sink, Metrics &metrics);

    /** Starts to read at @p from. */
    void start(Offset from);
    /** Lets the sink recover first, as if everything before the start of the stream had aged out. */
    void startAfterRecovery();
    void stop();

    [[nodiscard]] TailStatus status() const;

    /** @return true once every record that was in the stream at some time after the start has been applied. */
    [[nodiscard]] bool caughtUp() const;

    /** @return true if a read that began at or after @p since has found nothing more to apply. */
    [[nodiscard]] bool caughtUpSince(TimePoint since) const;

    /** @return the broadcast that is notified after each read that applied something or caught up. */
    Broadcast &progress()
    {
        return m_progress;
    }

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    StreamTail(Asio::io_context &io, LogService &log, std::string stream, StreamSink &sink, Metrics &metrics);

    static Asio::awaitable<void> run(std::shared_ptr<StreamTail> self, bool recover);
    Asio::awaitable<bool> readOnce();
    void applyPage(const LogPage &page, TimePoint begin);

    LogService &m_log;
    const std::string m_stream;
    StreamSink &m_sink;
    Metrics &m_metrics;
    Strand m_strand;
    Duration m_timeoutMargin;

    mutable std::mutex m_mutex;
    TailStatus m_status;
    bool m_stopped = false;
    Broadcast m_progress;
};

} // namespace Papaya
