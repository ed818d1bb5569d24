#pragma once

#include "process/streamtail.h"
#include "process/streamwriter.h"
#include "request/claimtable.h"

#include <memory>
#include <mutex>
#include <optional>

// The claims stream of this instance: its table of keys, the tail that feeds it and the writer that adds to it.

namespace Papaya
{

/** Claims on idempotency keys, shared by all instances through the log. */
class ClaimService : private StreamSink
{
public:
    ClaimService(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation, Millis horizon,
                 Metrics &metrics);

    void start();
    void stop();

    /** @return true once every key that matters has been read. */
    [[nodiscard]] bool ready() const;

    /** @return what is known about @p key. */
    [[nodiscard]] std::optional<Claim> find(const ClaimKey &key) const;

    /** Tries to own a key. @return Applied if it is owned, Void if another request owns it. */
    Asio::awaitable<AppendStatus> claim(ClaimRecord record, TimePoint deadline);

    /** Records the outcome of an owned key; goes on in the background until it is written. */
    void recordOutcome(ClaimOutcome outcome);

    /** Gives a key back that was claimed, or may still turn out to be. */
    void release(ClaimRelease release);

    /** @return records that are not settled yet. */
    [[nodiscard]] std::size_t pendingRecords() const
    {
        return m_writer->pendingRecords();
    }
    [[nodiscard]] std::size_t size() const;
    Broadcast &progress()
    {
        return m_tail->progress();
    }
    [[nodiscard]] const StreamTail &tail() const
    {
        return *m_tail;
    }

private:
    void apply(const LogRecord &record) override;
    Asio::awaitable<Offset> skipTo(Offset start) override;
    void appendInBackground(const ClaimStreamRecord &record);

    Asio::io_context &m_io;
    const InstanceId m_instance;
    const Incarnation m_incarnation;
    std::shared_ptr<StreamTail> m_tail;
    std::shared_ptr<StreamWriter> m_writer;

    mutable std::mutex m_mutex;
    ClaimTable m_table;
    DuplicateFilter m_filter;
};

} // namespace Papaya
