#include "process/journal.h"

#include "base/codec.h"
#include "base/objectreader.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr const char *STREAM = "journal";
constexpr std::uint64_t RECORDS_PER_SNAPSHOT = 5'000;
// Under one planner the newest snapshot is less than a third of the retention period old, so the records after it are
// still kept.
constexpr int SNAPSHOTS_PER_RETENTION = 4;
constexpr Millis SNAPSHOT_CALL_TIMEOUT {5'000};
constexpr Millis RETRY_INTERVAL {200};

} // namespace

Journal::Journal(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation, Metrics &metrics)
    : m_log(log)
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_metrics(metrics)
    , m_tail(StreamTail::create(io, log, STREAM, *this, metrics))
    , m_writer(StreamWriter::create(io, log, STREAM, m_instance, incarnation, {}, metrics))
    , m_snapshotAt(Clock::now())
{
}

void Journal::start()
{
    m_writer->start();
    m_tail->startAfterRecovery();
}

void Journal::stop()
{
    m_writer->stop();
    m_tail->stop();
}

Asio::awaitable<AppendStatus> Journal::append(JournalRecord record, TimePoint deadline, AppendPriority priority)
{
    co_return co_await m_writer->append(toJsonValue(record), deadline, priority);
}

TimePoint Journal::lastPlannerRecordAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastPlannerRecordAt;
}

void Journal::apply(const LogRecord &record)
{
    const auto batch = StreamBatch::fromText(record.data);
    const std::lock_guard lock(m_mutex);
    m_nextOffset = Offset(record.offset.value() + 1);
    if (!batch) {
        m_metrics.count(Counter::JournalRecordsMalformed);
        logEvent(LogLevel::Warning, "journal-record-malformed",
                 {{"offset", record.offset.value()}, {"error", batch.errors().front().message}});
        return;
    }
    for (const BatchItem &item : batch->items) {
        applyItem(*batch, item, record.timeMs);
    }
}

void Journal::applyItem(const StreamBatch &batch, const BatchItem &item, std::int64_t timeMs)
{
    if (!m_duplicateFilter.accept(batch.writer, batch.incarnation, item.sequence)) {
        return;
    }
    ApplyResult result {false, "malformed"};
    if (const auto record = parseJournalRecord(item.payload)) {
        const Epoch before = m_ledger.planner().epoch;
        result = m_ledger.apply(*record, {batch.writer, batch.incarnation, timeMs});
        const bool byPlanner = batch.writer == m_ledger.planner().holder;
        if (result.accepted && (byPlanner || m_ledger.planner().epoch != before)) {
            m_lastPlannerRecordAt = Clock::now();
        }
    } else {
        m_metrics.count(Counter::JournalRecordsMalformed);
    }
    if (!result.accepted) {
        m_metrics.count(Counter::JournalRecordsVoid);
        logEvent(LogLevel::Debug, "journal-record-void",
                 {{"writer", batch.writer.value()}, {"sequence", item.sequence}, {"reason", result.reason}});
    }
    if (batch.writer == m_instance && batch.incarnation == m_incarnation) {
        m_writer->onReadBack(item.sequence, result.accepted);
    }
}

Asio::awaitable<Offset> Journal::skipTo(Offset start)
{
    co_return co_await restore(start);
}

Asio::awaitable<Offset> Journal::restore(Offset fallback)
{
    const TimePoint begin = Clock::now();
    std::optional<Snapshot> snapshot;
    bool done = false;
    while (!done) {
        try {
            snapshot = co_await readNewestSnapshot(m_log, SNAPSHOT_CALL_TIMEOUT);
            done = true;
        } catch (const ReadError &error) {
            logEvent(LogLevel::Debug, "snapshot-read-failed", {{"error", error.what()}});
        }
        if (!done) {
            co_await sleepFor(RETRY_INTERVAL);
        }
    }
    if (!snapshot || snapshot->next < fallback) {
        if (fallback > Offset(0)) {
            logEvent(LogLevel::Error, "journal-gap", {{"start", fallback.value()}});
        }
        co_return fallback;
    }
    const auto document = parseCbor(snapshot->state);
    Errors errors;
    static const Json EMPTY = Json::object();
    ObjectReader reader(document ? *document : EMPTY, "", errors);
    const Json *ledgerState = reader.object("ledger", Presence::Required);
    const Json *writers = reader.object("writers", Presence::Required);
    auto ledger = Ledger::fromJson(ledgerState == nullptr ? EMPTY : *ledgerState);
    auto filter = DuplicateFilter::fromJson(writers == nullptr ? EMPTY : *writers);
    if (!ledger || !filter) {
        logEvent(LogLevel::Error, "snapshot-malformed", {{"next", snapshot->next.value()}});
        co_return fallback;
    }
    const std::lock_guard lock(m_mutex);
    m_ledger = std::move(*ledger);
    m_duplicateFilter = std::move(*filter);
    m_nextOffset = snapshot->next;
    m_snapshotOffset = snapshot->next.value();
    m_lastPlannerRecordAt = Clock::now();
    logEvent(LogLevel::Info, "snapshot-loaded",
             {{"next", snapshot->next.value()},
              {"jobs", std::uint64_t(m_ledger.jobs().size())},
              {"ms", toMillis(Clock::now() - begin)}});
    co_return snapshot->next;
}

Snapshot Journal::makeSnapshot() const
{
    const std::lock_guard lock(m_mutex);
    Json state;
    state["ledger"] = m_ledger.toJsonValue();
    state["writers"] = m_duplicateFilter.toJsonValue();
    return {m_nextOffset, toCbor(state)};
}

Asio::awaitable<void> Journal::snapshotIfDue(Millis retention)
{
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t records = m_nextOffset.value() - m_snapshotOffset;
        const bool maxAgeReached = Clock::now() - m_snapshotAt >= retention / SNAPSHOTS_PER_RETENTION;
        if (records == 0 || (records < RECORDS_PER_SNAPSHOT && !maxAgeReached)) {
            co_return;
        }
    }
    Snapshot snapshot = makeSnapshot();
    const std::uint64_t next = snapshot.next.value();
    const std::uint64_t bytes = snapshot.state.size();
    try {
        co_await appendSnapshot(m_log, std::move(snapshot), SNAPSHOT_CALL_TIMEOUT);
    } catch (const AppendError &error) {
        logEvent(LogLevel::Warning, "snapshot-failed", {{"error", error.what()}});
        co_return;
    }
    const std::lock_guard lock(m_mutex);
    m_snapshotOffset = next;
    m_snapshotAt = Clock::now();
    logEvent(LogLevel::Info, "snapshot-written", {{"next", next}, {"bytes", bytes}});
}

} // namespace Papaya
