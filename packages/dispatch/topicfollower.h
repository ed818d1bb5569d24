#pragma once

#include "connection/waiter.h"
#include "dispatch/loopclock.h"
#include "dispatch/recordstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

// Follows a topic: reads the newest record of each key once, then every record as it is appended. If records expire
// before they are read, it reloads the newest ones. A backlog is read in pieces, so that each read completes in time
// also over a slow link.

namespace Papaya
{

/** Receives the records of a topic. */
class TopicHandler
{
public:
    virtual ~TopicHandler() = default;
    /** Called with the newest record of each key, at the start and after each reload. */
    virtual void loaded(const std::vector<StoredRecord> &records) = 0;
    /** Called with further records in order; with none if a read found none. */
    virtual void received(const std::vector<StoredRecord> &records) = 0;
};

/** Follows one topic until the io_context stops. */
class TopicFollower
{
public:
    /**
     * @param handler must outlive the work of the io_context
     * @param clock counts the time in which the event loop runs
     */
    TopicFollower(Asio::io_context &io, RecordStore &store, Topic topic, TopicHandler &handler, Millis wait,
                  const LoopClock &clock);

    void start();

    /** Sets the minimum interval between reads; a longer one gives larger batches. The next read follows at once. */
    void setMinInterval(Millis interval)
    {
        m_minInterval = interval;
        m_pause.cancel();
    }
    /**
     * Makes what is known as recent as possible: waits for a read that begins now, if none is in flight. A read that is
     * in flight returns as soon as there is a record.
     * @param limit longest wait
     */
    Asio::awaitable<void> refresh(Millis limit);
    /** Makes the next read load the newest record of each key again. */
    void reload()
    {
        m_loaded = false;
    }
    /** @return the offset of the next record to be read. */
    [[nodiscard]] Offset next() const
    {
        return m_next;
    }
    [[nodiscard]] bool isLoaded() const
    {
        return m_loaded;
    }
    /** @return true if the last read failed. */
    [[nodiscard]] bool isFailing() const
    {
        return m_failing;
    }
    /** @return when the last successful read was sent, in bootMillis(); 0 before the first. */
    [[nodiscard]] std::int64_t lastSuccessMs() const
    {
        return m_lastSuccessMs;
    }
    /** @return the latest time, in bootMillis(), before which no record was stored that has not been passed on yet. */
    [[nodiscard]] std::int64_t currentAsOfMs() const
    {
        return m_currentAsOfMs;
    }
    /** @return the duration of the last read, less its wait if it found no records. */
    [[nodiscard]] Millis lastReadDelay() const
    {
        return m_lastReadDelay;
    }
    /** @return the shortest of the last few reads; unlike a single one, it is not the wait for a record. */
    [[nodiscard]] Millis shortReadDelay() const;
    /** @return how many reads have failed since the last that succeeded. */
    [[nodiscard]] std::uint32_t failures() const
    {
        return m_failures;
    }
    /** @return for how long an answer has been due, counted from the first read without one; 0 if none is. */
    [[nodiscard]] Millis overdue() const;
    /** @return for how long an answer has been due by LoopClock, which leaves out delays of this node. */
    [[nodiscard]] Millis silence() const;
    /** @return since when all reads have succeeded, in bootMillis(). */
    [[nodiscard]] std::int64_t healthySinceMs() const
    {
        return m_healthySinceMs;
    }

private:
    static Asio::awaitable<void> follow(TopicFollower &self);
    Asio::awaitable<void> readNext();
    void succeeded(std::int64_t sentMs, std::int64_t answeredMs);

    Asio::io_context &m_io;
    Asio::steady_timer m_pause; ///< between two reads
    RecordStore &m_store;
    Topic m_topic;
    TopicHandler &m_handler;
    Millis m_wait;
    const LoopClock &m_clock;
    std::size_t m_readKb; ///< limit of the next read
    Millis m_minInterval {0};
    Offset m_next;
    bool m_loaded = false;
    bool m_atEnd = false; ///< the last read returned the last record of the topic
    bool m_failing = false;
    std::int64_t m_lastSuccessMs = 0;
    std::int64_t m_currentAsOfMs = 0;
    std::int64_t m_healthySinceMs = 0;
    Millis m_lastReadDelay {0};
    std::array<Millis, 3> m_readDelays {}; ///< of the last reads, in turn
    std::size_t m_reads = 0;
    std::uint32_t m_failures = 0;
    bool m_reading = false;        ///< a read is in flight
    std::int64_t m_dueMs = 0;      ///< when the first read without an answer should have had one, in bootMillis(); or 0
    std::int64_t m_dueByClock = 0; ///< the same by m_clock
    Broadcast m_readEnded;
};

} // namespace Papaya
