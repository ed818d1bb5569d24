#include "process/streamtail.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t RECORDS_PER_PAGE = 500;
constexpr Millis LONG_POLL_WAIT {1'000};
constexpr Millis MIN_TIMEOUT_MARGIN {700}; // beyond the wait of the long poll; then the connection is dropped
constexpr Millis MAX_TIMEOUT_MARGIN {8'000};
constexpr Millis RETRY_INTERVAL {100};

} // namespace

std::shared_ptr<StreamTail> StreamTail::create(Asio::io_context &io, LogService &log, std::string stream,
                                               StreamSink &sink, Metrics &metrics)
{
    return std::shared_ptr<StreamTail>(new StreamTail(io, log, std::move(stream), sink, metrics));
}

StreamTail::StreamTail(Asio::io_context &io, LogService &log, std::string stream, StreamSink &sink, Metrics &metrics)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_sink(sink)
    , m_metrics(metrics)
    , m_strand(Asio::make_strand(io))
    , m_timeoutMargin(MIN_TIMEOUT_MARGIN)
{
}

void StreamTail::start(Offset from)
{
    m_status.next = from;
    m_status.lastReadAt = Clock::now();
    Asio::co_spawn(m_strand, run(shared_from_this(), false), Asio::detached);
}

void StreamTail::startAfterRecovery()
{
    m_status.lastReadAt = Clock::now();
    Asio::co_spawn(m_strand, run(shared_from_this(), true), Asio::detached);
}

void StreamTail::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
}

TailStatus StreamTail::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

bool StreamTail::caughtUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_status.caughtUpAt.has_value();
}

bool StreamTail::caughtUpSince(TimePoint since) const
{
    const std::lock_guard lock(m_mutex);
    return m_status.caughtUpAt && *m_status.caughtUpAt >= since;
}

void StreamTail::applyPage(const LogPage &page, TimePoint begin)
{
    Offset next = status().next;
    for (const LogRecord &record : page.records) {
        if (record.offset < next) {
            continue;
        }
        m_sink.apply(record);
        next = Offset(record.offset.value() + 1);
    }
    const std::lock_guard lock(m_mutex);
    m_status.next = next;
    m_status.end = page.end;
    m_status.lastReadAt = Clock::now();
    if (next >= page.end) {
        m_status.caughtUpAt = begin;
    }
}

Asio::awaitable<bool> StreamTail::readOnce()
{
    const TimePoint begin = Clock::now();
    const Offset from = status().next;
    // Until the end of the stream is reached, reads return at once, so that an idle stream does not delay the start.
    const Millis wait = caughtUp() ? LONG_POLL_WAIT : Millis(0);
    std::optional<Offset> oldestKept;
    try {
        const LogPage page =
            co_await m_log.read(m_stream, from, RECORDS_PER_PAGE, wait, begin + wait + m_timeoutMargin);
        applyPage(page, begin);
        const Duration elapsed = Clock::now() - begin - wait;
        m_timeoutMargin = std::clamp<Duration>(elapsed * 3, MIN_TIMEOUT_MARGIN, MAX_TIMEOUT_MARGIN);
        co_return true;
    } catch (const RecordsExpiredError &error) {
        oldestKept = error.start();
    } catch (const ReadError &error) {
        m_metrics.count(Counter::LogReadsFailed);
        logEvent(LogLevel::Debug, "read-failed", {{"stream", m_stream}, {"error", error.what()}});
        const bool timedOut = Clock::now() - begin >= wait + m_timeoutMargin;
        m_timeoutMargin = std::min<Duration>(timedOut ? m_timeoutMargin * 2 : m_timeoutMargin, MAX_TIMEOUT_MARGIN);
        co_return false;
    }
    logEvent(LogLevel::Warning, "records-aged-out",
             {{"stream", m_stream}, {"from", from.value()}, {"start", oldestKept->value()}});
    const Offset next = co_await m_sink.skipTo(*oldestKept);
    const std::lock_guard lock(m_mutex);
    m_status.next = next;
    m_status.caughtUpAt.reset();
    co_return true;
}

Asio::awaitable<void> StreamTail::run(std::shared_ptr<StreamTail> self, bool recover)
{
    if (recover) {
        const Offset next = co_await self->m_sink.skipTo(Offset(0));
        const std::lock_guard lock(self->m_mutex);
        self->m_status.next = next;
    }
    while (true) {
        {
            const std::lock_guard lock(self->m_mutex);
            if (self->m_stopped) {
                co_return;
            }
        }
        if (co_await self->readOnce()) {
            self->m_progress.notifyAll();
        } else {
            co_await sleepFor(RETRY_INTERVAL);
        }
    }
}

} // namespace Papaya
