#pragma once

#include "dispatch/recordstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

// Follows a topic: reads the newest record of each key once, then every record as it comes. Where records expire before
// they were read, it starts again with the newest ones.

namespace Papaya
{

/** Takes the records of a topic. */
class TopicHandler
{
public:
    virtual ~TopicHandler() = default;
    /** All newest records, at the start and after records were missed. */
    virtual void loaded(const std::vector<StoredRecord> &records) = 0;
    /** Further records, in order; may be empty after a read that found none. */
    virtual void received(const std::vector<StoredRecord> &records) = 0;
};

/** The follower of one topic; runs until its io_context ends. */
class TopicFollower
{
public:
    /** @param handler must outlive the io_context's work */
    TopicFollower(Asio::io_context &io, RecordStore &store, Topic topic, TopicHandler &handler, Millis wait);

    void start();

    /** Least time between two reads; a longer one makes batches of what comes meanwhile. */
    void setMinInterval(Millis pace)
    {
        m_minInterval = pace;
    }
    /** Reads the newest record of each key again. */
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
    /** @return when the last read that succeeded was sent, in bootMillis(); 0 before the first. */
    [[nodiscard]] std::int64_t lastSuccessMs() const
    {
        return m_lastSuccessMs;
    }
    /** @return how long the last read took beyond its wait. */
    [[nodiscard]] Millis lastReadDelay() const
    {
        return m_lastReadDelay;
    }
    /** @return since when reads have succeeded without a failure between, in bootMillis(). */
    [[nodiscard]] std::int64_t healthySinceMs() const
    {
        return m_healthySinceMs;
    }

private:
    static Asio::awaitable<void> follow(TopicFollower &self);
    Asio::awaitable<void> readNext();
    void succeeded(std::int64_t sentMs);

    Asio::io_context &m_io;
    RecordStore &m_store;
    Topic m_topic;
    TopicHandler &m_handler;
    Millis m_wait;
    Millis m_minInterval {0};
    Offset m_next;
    bool m_loaded = false;
    bool m_failing = false;
    std::int64_t m_lastSuccessMs = 0;
    std::int64_t m_healthySinceMs = 0;
    Millis m_lastReadDelay {0};
};

} // namespace Papaya
