#include "dispatch/topicfollower.h"

#include "connection/waiter.h"
#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis RETRY_INTERVAL {100}; // after a failed read; the store counts every call
// A call that reaches a silent store is never answered, so that a load sent into an outage would end it late by the
// time-out of a page. The store is first probed with short time-outs, which double for a store that is slow.
constexpr Millis MIN_PROBE_TIMEOUT {400};
constexpr Millis MAX_PROBE_TIMEOUT {2'500};
constexpr std::uint32_t MAX_PROBE_DOUBLINGS = 3;
constexpr Millis LOAD_ALLOWANCE {2'500};   // for the newest records of all keys, which come in pages
constexpr std::size_t READ_KB = 64;        // of one read
constexpr std::size_t MAX_READ_KB = 1'024; // for a record that exceeds READ_KB

std::string_view nameOf(Topic topic)
{
    switch (topic) {
    case Topic::Journal:
        return "journal";
    case Topic::Config:
        return "config";
    case Topic::Status:
        return "status";
    case Topic::Minions:
        break;
    }
    return "minions";
}

} // namespace

TopicFollower::TopicFollower(Asio::io_context &io, RecordStore &store, Topic topic, TopicHandler &handler, Millis wait,
                             const LoopClock &clock)
    : m_io(io)
    , m_pause(io)
    , m_store(store)
    , m_topic(topic)
    , m_handler(handler)
    , m_wait(wait)
    , m_clock(clock)
    , m_readKb(READ_KB)
{
}

void TopicFollower::start()
{
    Asio::co_spawn(m_io, follow(*this), Asio::detached);
}

Asio::awaitable<void> TopicFollower::follow(TopicFollower &self)
{
    for (;;) {
        std::string readError;
        const TimePoint startTime = Clock::now();
        self.m_reading = true;
        if (self.m_failures == 0) { // otherwise, the store has been due since the first read that failed
            const Millis allowance = self.m_loaded ? self.m_wait : LOAD_ALLOWANCE;
            self.m_dueMs = bootMillis() + allowance.count();
            self.m_dueByClock = self.m_clock.at(bootMillis()) + allowance.count();
        }
        try {
            co_await self.readNext();
        } catch (const StoreError &error) {
            readError = error.what();
        }
        self.m_reading = false;
        self.m_failures = readError.empty() ? 0 : self.m_failures + 1;
        self.m_dueMs = readError.empty() ? 0 : self.m_dueMs;
        self.m_readEnded.notifyAll();
        if (!readError.empty()) {
            if (!self.m_failing) {
                logEvent(LogLevel::Warning, "store-read-lost", {{"topic", nameOf(self.m_topic)}, {"error", readError}});
            }
            self.m_failing = true;
            co_await sleepFor(RETRY_INTERVAL);
        } else if (const Duration spent = Clock::now() - startTime; self.m_atEnd && spent < self.m_minInterval) {
            boost::system::error_code cancelled;
            self.m_pause.expires_after(self.m_minInterval - spent);
            co_await self.m_pause.async_wait(Asio::redirect_error(Asio::use_awaitable, cancelled));
        }
    }
}

Asio::awaitable<void> TopicFollower::refresh(Millis limit)
{
    if (m_reading || m_failing) {
        co_return;
    }
    const auto ended = m_readEnded.subscribe(co_await Asio::this_coro::executor);
    m_pause.cancel();
    co_await ended->wait(Clock::now() + limit);
}

Millis TopicFollower::shortReadDelay() const
{
    return *std::min_element(m_readDelays.begin(), m_readDelays.end());
}

Millis TopicFollower::overdue() const
{
    return m_dueMs == 0 ? Millis(0) : std::max(Millis(0), Millis(bootMillis() - m_dueMs));
}

Millis TopicFollower::silence() const
{
    return m_dueMs == 0 ? Millis(0) : std::max(Millis(0), Millis(m_clock.at(bootMillis()) - m_dueByClock));
}

Asio::awaitable<void> TopicFollower::readNext()
{
    const std::int64_t sent = bootMillis();
    if (!m_loaded) {
        co_await m_store.probe(
            m_topic, std::min(MIN_PROBE_TIMEOUT * (1 << std::min(m_failures, MAX_PROBE_DOUBLINGS)), MAX_PROBE_TIMEOUT));
        NewestResult newest = co_await m_store.newest(m_topic);
        m_next = newest.end;
        m_loaded = true;
        m_atEnd = true;
        // A load takes long; since its first answer, the store has been available and the records have been complete.
        succeeded(sent, newest.answeredMs > 0 ? newest.answeredMs : bootMillis());
        m_currentAsOfMs = sent;
        m_handler.loaded(newest.records);
        co_return;
    }
    const Millis wait = m_failures > 0 ? Millis(0) : m_wait; // finds out sooner whether the store is back
    ReadResult result = co_await m_store.read(m_topic, m_next, wait, m_readKb);
    if (result.expired) {
        logEvent(LogLevel::Warning, "records-expired", {{"topic", nameOf(m_topic)}, {"offset", m_next.value()}});
        m_loaded = false;
        co_return;
    }
    m_next = Offset(m_next.value() + result.records.size());
    succeeded(sent, bootMillis());
    m_atEnd = m_next >= result.end;
    const Millis took(bootMillis() - sent);
    m_lastReadDelay = result.records.empty() && m_atEnd ? took - wait : took;
    m_readDelays[m_reads++ % m_readDelays.size()] = m_lastReadDelay;
    m_readKb = result.records.empty() && !m_atEnd ? std::min(2 * m_readKb, MAX_READ_KB) : READ_KB;
    if (m_atEnd) {
        m_currentAsOfMs = sent;
    }
    m_handler.received(result.records);
}

void TopicFollower::succeeded(std::int64_t sentMs, std::int64_t answeredMs)
{
    if (m_failing || m_lastSuccessMs == 0) {
        logEvent(LogLevel::Info, "store-read-regained", {{"topic", nameOf(m_topic)}, {"offset", m_next.value()}});
        m_healthySinceMs = answeredMs;
    }
    m_failing = false;
    m_lastSuccessMs = sentMs;
}

} // namespace Papaya
