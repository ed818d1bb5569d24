#include "process/streamtail.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t PAGE_RECORDS = 500;
constexpr Millis POLL_WAIT {1'000};
constexpr Millis MIN_SLACK {700}; // beyond the poll's own wait; a silent connection is dropped after both
constexpr Millis MAX_SLACK {8'000};
constexpr Millis RETRY_PAUSE {100};

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
    , m_slack(MIN_SLACK)
{
}

void StreamTail::start(Offset from)
{
    m_status.next = from;
    m_status.lastSuccess = Clock::now();
    Asio::co_spawn(m_strand, run(shared_from_this(), false), Asio::detached);
}

void StreamTail::startAfterRecovery()
{
    m_status.lastSuccess = Clock::now();
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
    return m_status.verified.has_value();
}

bool StreamTail::verifiedSince(TimePoint since) const
{
    const std::lock_guard lock(m_mutex);
    return m_status.verified && *m_status.verified >= since;
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
    m_status.lastSuccess = Clock::now();
    if (next >= page.end) {
        m_status.verified = begin;
    }
}

Asio::awaitable<bool> StreamTail::readOnce()
{
    const TimePoint begin = Clock::now();
    const Offset from = status().next;
    // The first reads do not wait, so that a start on an idle stream is not held up.
    const Millis wait = caughtUp() ? POLL_WAIT : Millis(0);
    std::optional<Offset> agedOut;
    try {
        const LogPage page = co_await m_log.read(m_stream, from, PAGE_RECORDS, wait, begin + wait + m_slack);
        applyPage(page, begin);
        const Duration used = Clock::now() - begin - wait;
        m_slack = std::clamp<Duration>(used * 3, MIN_SLACK, MAX_SLACK);
        co_return true;
    } catch (const AgedOutError &error) {
        agedOut = error.start();
    } catch (const ReadError &error) {
        m_metrics.count(Counter::LogReadsFailed);
        logEvent(LogLevel::Debug, "read-failed", {{"stream", m_stream}, {"error", error.what()}});
        const bool timedOut = Clock::now() - begin >= wait + m_slack;
        m_slack = std::min<Duration>(timedOut ? m_slack * 2 : m_slack, MAX_SLACK);
        co_return false;
    }
    logEvent(LogLevel::Warning, "records-aged-out",
             {{"stream", m_stream}, {"from", from.value()}, {"start", agedOut->value()}});
    const Offset next = co_await m_sink.skipTo(*agedOut);
    const std::lock_guard lock(m_mutex);
    m_status.next = next;
    m_status.verified.reset();
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
            co_await sleepFor(RETRY_PAUSE);
        }
    }
}

} // namespace Papaya
