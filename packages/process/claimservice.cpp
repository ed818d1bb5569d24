#include "process/claimservice.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Papaya
{

namespace
{

constexpr const char *STREAM = "claims";
constexpr Millis BACKGROUND_APPEND_TIMEOUT {120'000}; // then the record is dropped, and the key's outcome stays unknown

Asio::awaitable<void> appendDetached(std::shared_ptr<StreamWriter> writer, nlohmann::json payload)
{
    co_await writer->append(std::move(payload), Clock::now() + BACKGROUND_APPEND_TIMEOUT);
}

} // namespace

ClaimService::ClaimService(Asio::io_context &io, LogService &log, InstanceId instance, Incarnation incarnation,
                           Millis horizon, Metrics &metrics)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_tail(StreamTail::create(io, log, STREAM, *this, metrics))
    , m_writer(StreamWriter::create(io, log, STREAM, m_instance, incarnation, {}, metrics))
    , m_table(horizon.count())
{
}

void ClaimService::start()
{
    m_writer->start();
    m_tail->start(Offset(0));
}

void ClaimService::stop()
{
    m_writer->stop();
    m_tail->stop();
}

bool ClaimService::ready() const
{
    return m_tail->caughtUp();
}

std::optional<Claim> ClaimService::find(const ClaimKey &key) const
{
    const std::lock_guard lock(m_mutex);
    const Claim *claim = m_table.find(key);
    return claim == nullptr ? std::nullopt : std::optional<Claim>(*claim);
}

std::size_t ClaimService::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.size();
}

Asio::awaitable<AppendStatus> ClaimService::claim(ClaimRecord record, TimePoint deadline)
{
    co_return co_await m_writer->append(toJsonValue(ClaimStreamRecord(std::move(record))), deadline);
}

void ClaimService::appendInBackground(const ClaimStreamRecord &record)
{
    Asio::co_spawn(Asio::make_strand(m_io), appendDetached(m_writer, toJsonValue(record)), Asio::detached);
}

void ClaimService::recordOutcome(ClaimOutcome outcome)
{
    appendInBackground(std::move(outcome));
}

void ClaimService::release(ClaimRelease release)
{
    appendInBackground(std::move(release));
}

void ClaimService::apply(const LogRecord &record)
{
    const auto batch = StreamBatch::fromText(record.data);
    if (!batch) {
        logEvent(LogLevel::Warning, "claim-record-malformed", {{"offset", record.offset.value()}});
        return;
    }
    const std::lock_guard lock(m_mutex);
    for (const BatchItem &item : batch->items) {
        if (!m_filter.accept(batch->writer, batch->incarnation, item.sequence)) {
            continue;
        }
        const auto parsed = parseClaimRecord(item.payload);
        const bool valid = parsed && m_table.apply(*parsed, record.timeMs);
        if (batch->writer == m_instance && batch->incarnation == m_incarnation) {
            m_writer->onReadBack(item.sequence, valid);
        }
    }
}

Asio::awaitable<Offset> ClaimService::skipTo(Offset start)
{
    // Keys are remembered for less than the log service's retention, so records that aged out no longer matter.
    co_return start;
}

} // namespace Papaya
