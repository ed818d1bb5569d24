#include "dispatch/journalwriter.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_BATCH_BYTES = 512UL * 1024; // well below the limit of the store for one call
constexpr Millis MIN_ATTEMPT_TIMEOUT {600};
constexpr Millis MAX_ATTEMPT_TIMEOUT {2'400}; // the store refuses an append that would wait for more than 2 s
constexpr int READ_DELAY_FACTOR = 6;          // appends to a partition wait for each other, unlike reads
constexpr Millis RETRY_INTERVAL {60};

std::size_t sizeOf(const std::vector<StoredRecord> &records)
{
    std::size_t bytes = 0;
    for (const StoredRecord &record : records) {
        bytes += record.key.size() + record.value.size();
    }
    return bytes;
}

} // namespace

std::shared_ptr<JournalWriter> JournalWriter::create(Asio::io_context &io, RecordStore &store,
                                                     std::optional<Producer> producer,
                                                     std::function<Millis()> readDelay, Topic topic)
{
    return std::shared_ptr<JournalWriter>(
        new JournalWriter(io, store, std::move(producer), std::move(readDelay), topic));
}

JournalWriter::JournalWriter(Asio::io_context &io, RecordStore &store, std::optional<Producer> producer,
                             std::function<Millis()> readDelay, Topic topic)
    : m_io(io)
    , m_store(store)
    , m_producer(std::move(producer))
    , m_readDelay(std::move(readDelay))
    , m_topic(topic)
{
}

void JournalWriter::append(std::vector<StoredRecord> records, TimePoint deadline, Callback done)
{
    if (m_stopped) {
        done(AppendOutcome::Unknown);
        return;
    }
    m_queue.push_back({std::move(records), deadline, std::move(done)});
    if (!m_sending) {
        m_sending = true;
        Asio::co_spawn(m_io, sendLoop(shared_from_this()), Asio::detached);
    }
}

Asio::awaitable<AppendOutcome> JournalWriter::append(std::vector<StoredRecord> records, TimePoint deadline)
{
    struct Wait {
        std::shared_ptr<Waiter> waiter;
        AppendOutcome outcome = AppendOutcome::Unknown;
    };
    auto wait = std::make_shared<Wait>();
    wait->waiter = Waiter::create(co_await Asio::this_coro::executor);
    append(std::move(records), deadline, [wait](AppendOutcome outcome) {
        wait->outcome = outcome;
        wait->waiter->notify();
    });
    co_await wait->waiter->wait(deadline + ANSWER_MARGIN);
    co_return wait->outcome;
}

void JournalWriter::stop()
{
    m_stopped = true;
    for (Entry &entry : m_queue) {
        entry.done(AppendOutcome::Unknown);
    }
    m_queue.clear();
}

std::vector<JournalWriter::Entry> JournalWriter::takeBatch()
{
    std::vector<Entry> batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && (batch.empty() || bytes + sizeOf(m_queue.front().records) <= MAX_BATCH_BYTES)) {
        bytes += sizeOf(m_queue.front().records);
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return batch;
}

Asio::awaitable<void> JournalWriter::sendLoop(std::shared_ptr<JournalWriter> self)
{
    while (!self->m_queue.empty() && !self->m_stopped) {
        std::vector<Entry> batch = self->takeBatch();
        self->m_inFlight = true;
        co_await self->send(batch);
        self->m_inFlight = false;
    }
    self->m_sending = false;
}

void JournalWriter::expireOverdue(std::vector<Entry> &batch)
{
    const TimePoint now = Clock::now();
    for (Entry &entry : batch) {
        if (entry.deadline <= now) {
            entry.done(entry.inDoubt ? AppendOutcome::Unknown : AppendOutcome::NotStored);
        }
    }
    std::erase_if(batch, [now](const Entry &entry) { return entry.deadline <= now; });
}

Millis JournalWriter::attemptTimeout() const
{
    return std::clamp(READ_DELAY_FACTOR * m_readDelay(), MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
}

Asio::awaitable<void> JournalWriter::send(std::vector<Entry> &batch)
{
    if (m_producer) {
        ++m_producer->sequence;
    }
    for (;;) {
        std::vector<StoredRecord> records;
        const TimePoint attemptDeadline = Clock::now() + attemptTimeout();
        for (const Entry &entry : batch) {
            records.insert(records.end(), entry.records.begin(), entry.records.end());
        }
        const std::int64_t sent = bootMillis();
        const AppendOutcome outcome =
            co_await m_store.append(m_topic, std::move(records), m_producer, std::nullopt, attemptDeadline);
        if (outcome == AppendOutcome::Stored) {
            m_lastStoredMs = std::max(m_lastStoredMs, sent);
        }
        if (outcome == AppendOutcome::Stored || outcome == AppendOutcome::Fenced || m_stopped) {
            for (Entry &entry : batch) {
                entry.done(outcome);
            }
            co_return;
        }
        for (Entry &entry : batch) {
            entry.inDoubt = entry.inDoubt || outcome == AppendOutcome::Unknown;
        }
        if (!m_producer) {
            expireOverdue(batch);
        }
        if (batch.empty()) {
            co_return;
        }
        co_await sleepFor(RETRY_INTERVAL);
    }
}

} // namespace Papaya
