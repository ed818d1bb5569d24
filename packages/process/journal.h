#pragma once

#include "process/ledger.h"
#include "process/snapshotstore.h"
#include "process/streamtail.h"
#include "process/streamwriter.h"

#include <memory>
#include <mutex>

// This instance's access to the journal stream: a tail that applies records to the ledger, a writer that appends
// records, and the snapshots from which the ledger is restored.

namespace Papaya
{

/** The journal and the ledger built from it. read() and lastPlannerRecordAt() may be called from any thread. */
class Journal : private StreamSink
{
public:
    /** @p instance and @p incarnation identify the writer of this instance's records. */
    Journal(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation, Metrics &metrics);

    /** Loads the newest snapshot and then follows the stream from the offset at which it was taken. */
    void start();
    void stop();

    /**
     * Appends @p record and waits until this instance has read it back and applied it, at most until @p deadline.
     * @return the outcome of the append, as far as it is known by then
     */
    Asio::awaitable<AppendStatus> append(JournalRecord record, TimePoint deadline,
                                         AppendPriority priority = AppendPriority::Normal);

    /** Calls @p reader with the ledger while the ledger is locked. @return the reader's result */
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::lock_guard lock(m_mutex);
        return reader(static_cast<const Ledger &>(m_ledger));
    }

    /**
     * Appends a snapshot if many records have followed the one last loaded or written, or if some have and this
     * instance has written none for a fraction of the @p retention.
     * @param retention how long the log service keeps records
     */
    Asio::awaitable<void> snapshotIfDue(Millis retention);

    [[nodiscard]] const StreamTail &tail() const
    {
        return *m_tail;
    }
    /** @return the broadcast that is notified after each successful read of the stream, even of no records. */
    Broadcast &progress()
    {
        return m_tail->progress();
    }
    /**
     * @return when this instance last loaded a snapshot, or applied an accepted record that claims the planner role or
     * was written by the instance that holds it
     */
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
    Offset m_nextOffset; ///< first journal offset that the ledger does not include
    TimePoint m_lastPlannerRecordAt;
    std::uint64_t m_snapshotOffset = 0; ///< end of the snapshot that was last loaded or written
    TimePoint m_snapshotAt;
};

} // namespace Papaya
