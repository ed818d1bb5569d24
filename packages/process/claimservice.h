#pragma once

#include "process/streamtail.h"
#include "process/streamwriter.h"
#include "request/claimtable.h"

#include <memory>
#include <mutex>
#include <optional>

// Claims on idempotency keys: the claim table of this instance, the tail that fills it from the claims stream and the
// writer that appends to the stream.

namespace Papaya
{

/** Claims on idempotency keys, shared by all instances through the log service. Thread-safe. */
class ClaimService : private StreamSink
{
public:
    /** @param horizon how long a key is remembered; must be shorter than the log service's retention */
    ClaimService(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation, Millis horizon,
                 Metrics &metrics);

    /** Starts to follow the stream from its start, and to append to it. */
    void start();
    void stop();

    /** @return true once the stream has been read to its end, so that every key within the horizon is known. */
    [[nodiscard]] bool ready() const;

    /** @return what is known about @p key. */
    [[nodiscard]] std::optional<Claim> find(const ClaimKey &key) const;

    /**
     * Tries to make a request the owner of a key.
     * @return Applied if the request owns the key, Void if another one does, NotTaken or Unknown if the claim was not
     *  read back by @p deadline
     */
    Asio::awaitable<AppendStatus> claim(ClaimRecord record, TimePoint deadline);

    /** Appends the outcome of an owned key in the background. */
    void recordOutcome(ClaimOutcome outcome);

    /** Releases a key whose claim was read back or may still reach the stream; appends in the background. */
    void release(ClaimRelease release);

    /** @return records whose append has no known result yet. */
    [[nodiscard]] std::size_t pendingRecords() const
    {
        return m_writer->pendingRecords();
    }
    /** @return keys that are remembered. */
    [[nodiscard]] std::size_t size() const;
    /** @return the broadcast that is notified after each successful read of the stream. */
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
