#include "process/streamwriter.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis MIN_APPEND_TIMEOUT {1'000}; // then the connection is dropped
constexpr Millis MAX_APPEND_TIMEOUT {8'000};
constexpr Millis RETRY_INTERVAL {100};
constexpr Millis IDLE_WAKE_INTERVAL {1'000};

} // namespace

std::shared_ptr<StreamWriter> StreamWriter::create(Asio::io_context &io, LogService &log, std::string stream,
                                                   InstanceId instance, Incarnation incarnation, Limits limits,
                                                   Metrics &metrics)
{
    return std::shared_ptr<StreamWriter>(
        new StreamWriter(io, log, std::move(stream), std::move(instance), incarnation, limits, metrics));
}

StreamWriter::StreamWriter(Asio::io_context &io, LogService &log, std::string stream, InstanceId instance,
                           Incarnation incarnation, Limits limits, Metrics &metrics)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_metrics(metrics)
    , m_strand(Asio::make_strand(io))
    , m_appendTimeout(MIN_APPEND_TIMEOUT)
{
}

void StreamWriter::start()
{
    Asio::co_spawn(m_strand, run(shared_from_this()), Asio::detached);
}

void StreamWriter::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notifyAll();
}

Asio::awaitable<AppendStatus> StreamWriter::append(nlohmann::json payload, TimePoint deadline, AppendPriority priority)
{
    auto entry = std::make_shared<Entry>();
    entry->payload = std::move(payload);
    entry->deadline = deadline;
    entry->waiter = Waiter::create(co_await Asio::this_coro::executor);
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped || m_queue.size() >= m_limits.maxQueued) {
            co_return AppendStatus::NotTaken;
        }
        if (priority == AppendPriority::High) {
            m_queue.push_front(entry);
        } else {
            m_queue.push_back(entry);
        }
    }
    m_wake.notifyAll();
    const bool settled = co_await entry->waiter->wait(deadline);
    const std::lock_guard lock(m_mutex);
    if (settled) {
        co_return entry->status;
    }
    // The deadline came first. A record that is known not to be in the stream is withdrawn; for any other one the
    // result is unknown.
    std::erase(m_queue, entry);
    m_unsettled.erase(entry->sequence);
    co_return entry->inFlight || entry->mayBeInStream ? AppendStatus::Unknown : AppendStatus::NotTaken;
}

void StreamWriter::settle(Entry &entry, AppendStatus status)
{
    entry.status = status;
    entry.waiter->notify();
}

void StreamWriter::onReadBack(std::uint64_t sequence, bool valid)
{
    const std::lock_guard lock(m_mutex);
    // Readers accept only rising sequence numbers, so an earlier record that was not read by now can no longer take
    // effect: a later copy is dropped as a duplicate.
    while (!m_unsettled.empty() && m_unsettled.begin()->first <= sequence) {
        const auto first = m_unsettled.begin();
        const AppendStatus statusIfRead = valid ? AppendStatus::Applied : AppendStatus::Void;
        std::erase(m_queue, first->second);
        settle(*first->second, first->first == sequence ? statusIfRead : AppendStatus::NotTaken);
        m_unsettled.erase(first);
    }
}

Duration StreamWriter::lastAppendTime() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastAppendTime;
}

std::size_t StreamWriter::pendingRecords() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size() + m_unsettled.size();
}

std::vector<StreamWriter::EntryPtr> StreamWriter::takeBatch()
{
    const std::lock_guard lock(m_mutex);
    std::vector<EntryPtr> batch;
    // Entries that were sent before keep their sequence numbers and go first, so that the numbers rise in the stream.
    std::stable_partition(m_queue.begin(), m_queue.end(), [](const EntryPtr &entry) { return entry->sequence != 0; });
    while (!m_queue.empty() && batch.size() < m_limits.maxBatchItems) {
        EntryPtr entry = m_queue.front();
        m_queue.pop_front();
        if (entry->sequence == 0) {
            entry->sequence = m_nextSequence++;
            m_unsettled.emplace(entry->sequence, entry);
        }
        // From here on the record may reach the log service at any time, so a deadline no longer withdraws it.
        entry->inFlight = true;
        batch.push_back(std::move(entry));
    }
    std::sort(batch.begin(), batch.end(),
              [](const EntryPtr &a, const EntryPtr &b) { return a->sequence < b->sequence; });
    return batch;
}

void StreamWriter::requeue(const std::vector<EntryPtr> &batch, AppendFailure failure)
{
    const std::lock_guard lock(m_mutex);
    for (auto entry = batch.rbegin(); entry != batch.rend(); ++entry) {
        if (!m_unsettled.contains((*entry)->sequence)) {
            continue; // read back, or past its deadline, while the append was in progress
        }
        (*entry)->inFlight = false;
        (*entry)->mayBeInStream |= failure == AppendFailure::Unknown;
        m_queue.push_front(*entry);
    }
}

Asio::awaitable<void> StreamWriter::send(const std::vector<EntryPtr> &batch)
{
    StreamBatch streamBatch;
    streamBatch.writer = m_instance;
    streamBatch.incarnation = m_incarnation;
    for (const EntryPtr &entry : batch) {
        streamBatch.items.push_back({entry->sequence, entry->payload});
    }
    std::vector<std::string> records;
    records.push_back(streamBatch.toText());
    const TimePoint begin = Clock::now();
    m_metrics.count(Counter::AppendsSent);
    bool failed = false;
    AppendFailure failure = AppendFailure::Unknown;
    try {
        co_await m_log.append(m_stream, std::move(records), begin + m_appendTimeout);
    } catch (const AppendError &error) {
        failed = true;
        failure = error.failure();
        m_metrics.count(failure == AppendFailure::Unknown ? Counter::AppendsUnknown : Counter::AppendsFailed);
        logEvent(LogLevel::Warning, "append-failed", {{"stream", m_stream}, {"error", error.what()}});
    }
    {
        const std::lock_guard lock(m_mutex);
        m_lastAppendTime = Clock::now() - begin;
        const bool timedOut = failed && m_lastAppendTime >= m_appendTimeout;
        const Duration next =
            timedOut ? m_appendTimeout * 2 : std::max<Duration>(MIN_APPEND_TIMEOUT, m_lastAppendTime * 3);
        m_appendTimeout = std::min<Duration>(next, MAX_APPEND_TIMEOUT);
    }
    if (failed) {
        requeue(batch, failure);
        co_await sleepFor(RETRY_INTERVAL);
    }
}

Asio::awaitable<void> StreamWriter::run(std::shared_ptr<StreamWriter> self)
{
    while (true) {
        auto wake = self->m_wake.subscribe(self->m_strand);
        {
            const std::lock_guard lock(self->m_mutex);
            if (self->m_stopped) {
                co_return;
            }
        }
        const TimePoint begin = Clock::now();
        const std::vector<EntryPtr> batch = self->takeBatch();
        if (batch.empty()) {
            co_await wake->wait(begin + IDLE_WAKE_INTERVAL);
            continue;
        }
        co_await self->send(batch);
        const Duration untilNextAppend = begin + self->m_limits.minInterval - Clock::now();
        if (untilNextAppend > Duration::zero()) {
            co_await sleepFor(untilNextAppend);
        }
    }
}

} // namespace Papaya
