#include "dispatch/journalwriter.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Papaya
{

namespace
{

constexpr Millis MIN_ATTEMPT_TIMEOUT {600};
constexpr Millis MAX_ATTEMPT_TIMEOUT {2'400}; // the store refuses an append that would wait for more than 2 s
constexpr int READ_DELAY_FACTOR = 6;          // appends to a partition wait for each other, unlike reads
constexpr Millis RETRY_INTERVAL {60};

} // namespace

JournalWriter::Completion::Completion(Callback done, std::size_t parts)
    : m_done(std::move(done))
    , m_left(parts)
{
}

void JournalWriter::Completion::partDone(AppendOutcome outcome)
{
    if (!m_done) {
        return;
    }
    --m_left;
    // If the parts differ, some of the records may be stored.
    m_outcome = !m_outcome || *m_outcome == outcome ? outcome : AppendOutcome::Unknown;
    if (outcome == AppendOutcome::Fenced) {
        m_outcome = outcome; // no later part is stored either
        m_left = 0;
    }
    if (m_left == 0) {
        std::exchange(m_done, nullptr)(*m_outcome);
    }
}

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
    const auto tooLarge =
        std::find_if(records.begin(), records.end(), [this](const StoredRecord &record) { return !fits(record); });
    if (tooLarge != records.end()) {
        logEvent(LogLevel::Error, "record-too-large",
                 {{"key", tooLarge->key}, {"bytes", std::uint64_t(storedBytes(*tooLarge))}});
        done(AppendOutcome::NotStored);
        return;
    }
    std::vector<Entry> parts(1);
    for (StoredRecord &record : records) {
        const std::size_t bytes = storedBytes(record);
        if (!parts.back().records.empty() && parts.back().bytes + bytes > maxBatchBytes()) {
            parts.emplace_back();
        }
        parts.back().bytes += bytes;
        parts.back().records.push_back(std::move(record));
    }
    const auto completion = std::make_shared<Completion>(std::move(done), parts.size());
    for (Entry &part : parts) {
        part.deadline = deadline;
        part.completion = completion;
        m_queue.push_back(std::move(part));
    }
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
    for (const Entry &entry : std::exchange(m_queue, {})) {
        entry.completion->partDone(AppendOutcome::Unknown);
    }
}

bool JournalWriter::fits(const StoredRecord &record) const
{
    return storedBytes(record) <= m_store.limits().recordBytes;
}

bool JournalWriter::storesAtomically(const std::vector<StoredRecord> &records) const
{
    const std::size_t bytes =
        std::accumulate(records.begin(), records.end(), std::size_t(0),
                        [](std::size_t sum, const StoredRecord &record) { return sum + storedBytes(record); });
    return bytes <= maxBatchBytes();
}

std::size_t JournalWriter::maxBatchBytes() const
{
    return std::min(MAX_BATCH_BYTES, m_store.limits().callBytes);
}

std::vector<JournalWriter::Entry> JournalWriter::takeBatch()
{
    std::vector<Entry> batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && (batch.empty() || bytes + m_queue.front().bytes <= maxBatchBytes())) {
        bytes += m_queue.front().bytes;
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
            entry.completion->partDone(entry.inDoubt ? AppendOutcome::Unknown : AppendOutcome::NotStored);
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
                entry.completion->partDone(outcome);
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
