#pragma once

#include "process/ledger.h"
#include "process/snapshotstore.h"
#include "process/streamtail.h"
#include "process/streamwriter.h"

#include <memory>
#include <mutex>

// The journal of this instance: its ledger, the tail that feeds it and the writer that adds to the stream.

namespace Papaya
{

/** The journal and the ledger made from it. */
class Journal : private StreamSink
{
public:
    Journal(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation, Metrics &metrics);

    /** Loads the newest snapshot and follows the stream from there. */
    void start();
    void stop();

    /**
     * Appends @p record.
     * @return after this instance has read it back, or at @p deadline
     */
    Asio::awaitable<AppendStatus> append(JournalRecord record, TimePoint deadline,
                                         AppendPriority priority = AppendPriority::Normal);

    /** @return what @p reader returns for the ledger, which is locked meanwhile. */
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::lock_guard lock(m_mutex);
        return reader(static_cast<const Ledger &>(m_ledger));
    }

    /** Appends a snapshot if enough of the journal or of the retention has passed since the last. */
    Asio::awaitable<void> snapshotIfDue(Millis retention);

    [[nodiscard]] const StreamTail &tail() const
    {
        return *m_tail;
    }
    /** @return the broadcast that is notified when records have been applied or the end was reached. */
    Broadcast &progress()
    {
        return m_tail->progress();
    }
    /** @return when this instance last applied a record of the planner. */
    [[nodiscard]] TimePoint lastPlannerRecordAt() const;
    [[nodiscard]] Duration lastAppendTime() const
    {
        return m_writer->lastAppendTime();
    }
    [[nodiscard]] const InstanceId &instance() const
    {
        return m_instance;
    }
    [[nodiscard]] Incarnation incarnation() const
    {
        return m_incarnation;
    }

private:
    void apply(const LogRecord &record) override;
    Asio::awaitable<Offset> skipTo(Offset start) override;
    Asio::awaitable<Offset> restore(Offset fallback);
    void applyItem(const StreamBatch &batch, const BatchItem &item, std::int64_t timeMs);
    Snapshot makeSnapshot() const;

    LogService &m_log;
    const InstanceId m_instance;
    const Incarnation m_incarnation;
    Metrics &m_metrics;
    std::shared_ptr<StreamTail> m_tail;
    std::shared_ptr<StreamWriter> m_writer;

    mutable std::mutex m_mutex;
    Ledger m_ledger;
    DuplicateFilter m_duplicateFilter;
    Offset m_nextOffset; ///< first offset that the ledger does not cover
    TimePoint m_lastPlannerRecordAt;
    std::uint64_t m_snapshotOffset = 0; ///< covered by the last snapshot of this instance
    TimePoint m_snapshotAt;
};

} // namespace Papaya
