#include "process/configservice.h"

#include "base/codec.h"
#include "base/digest.h"
#include "process/logging.h"

#include <boost/asio/this_coro.hpp>

namespace Papaya
{

namespace
{

constexpr const char *STREAM = "config";
constexpr std::size_t RECORD_ID_BYTES = 8;
constexpr int RENEWALS_PER_RETENTION = 3;
constexpr Millis APPEND_TIMEOUT {1'500};
constexpr Millis RETRY_INTERVAL {100};

} // namespace

ConfigService::ConfigService(Asio::io_context &io, LogService &log, Millis retention, Metrics &metrics)
    : m_log(log)
    , m_retention(retention)
    , m_metrics(metrics)
    , m_tail(StreamTail::create(io, log, STREAM, *this, metrics))
{
}

void ConfigService::start()
{
    m_tail->start(Offset(0));
}

void ConfigService::stop()
{
    m_tail->stop();
}

FleetConfigPtr ConfigService::config() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce.config();
}

ConfigVersion ConfigService::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce.version();
}

std::string ConfigService::recordText() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce.config() == nullptr ? std::string() : m_inForce.record().toText();
}

IgnoredConfig ConfigService::lastIgnored() const
{
    const std::lock_guard lock(m_mutex);
    return m_ignored;
}

bool ConfigService::ready() const
{
    return config() != nullptr;
}

Asio::awaitable<Offset> ConfigService::skipTo(Offset start)
{
    // The version in force is appended again before its record ages out, so the skipped records hold only older
    // versions.
    co_return start;
}

void ConfigService::apply(const LogRecord &record)
{
    const auto parsed = ConfigRecord::fromText(record.data);
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        m_newestTimeMs = std::max(m_newestTimeMs, record.timeMs);
        const ConfigVersion before = m_inForce.version();
        const ConfigVerdict verdict = m_state.apply(record.data);
        if (verdict.accepted) {
            m_recordTimeMs = record.timeMs;
            m_recordReadAt = Clock::now();
        } else {
            m_ignored = {record.offset.value(), verdict.reason};
        }
        // The stream decides. A version from a peer is one that this instance has yet to read from the stream, so it
        // stays in force until the stream has reached it.
        if (m_state.version() >= m_inForce.version()) {
            m_inForce = m_state;
        }
        changed = m_inForce.version() != before;
        if (parsed) {
            recordVerdict(parsed->id, verdict);
        }
        m_metrics.count(verdict.accepted ? Counter::ConfigAccepted : Counter::ConfigIgnored);
        logEvent(verdict.accepted ? LogLevel::Info : LogLevel::Warning,
                 verdict.accepted ? "config-in-force" : "config-ignored",
                 {{"offset", record.offset.value()}, {"version", verdict.inForce.value()}, {"reason", verdict.reason}});
    }
    if (changed) {
        m_changed.notifyAll();
    }
}

void ConfigService::recordVerdict(const std::string &id, const ConfigVerdict &verdict)
{
    // A record that was appended twice is read twice; the first verdict counts.
    const auto own = m_verdicts.find(id);
    if (own != m_verdicts.end() && own->second.inForce == ConfigVersion(0)) {
        own->second = verdict;
    }
}

Asio::awaitable<PublishResult> ConfigService::publish(nlohmann::json config, ConfigVersion replaces, TimePoint deadline)
{
    PublishResult result;
    const auto checked = FleetConfig::fromJson(config);
    if (!checked) {
        result.status = PublishResult::Status::Invalid;
        result.errors = checked.errors();
        result.version = version();
        co_return result;
    }
    result.version = version();
    if (result.version != replaces) {
        result.status = PublishResult::Status::Conflict;
        co_return result;
    }
    ConfigRecord record;
    record.version = ConfigVersion(replaces.value() + 1);
    record.replaces = replaces;
    record.id = randomHex(RECORD_ID_BYTES);
    record.config = std::move(config);
    {
        const std::lock_guard lock(m_mutex);
        m_verdicts[record.id] = {};
    }
    // 1. Appends the record again until the log service confirms it; a second copy of the record has no effect.
    const std::string text = record.toText();
    bool mayBeAppended = false;
    bool appended = false;
    while (!appended && Clock::now() < deadline) {
        try {
            std::vector<std::string> records;
            records.push_back(text);
            co_await m_log.append(STREAM, std::move(records), std::min(deadline, Clock::now() + APPEND_TIMEOUT));
            appended = true;
        } catch (const AppendError &error) {
            mayBeAppended |= error.failure() == AppendFailure::Unknown;
        }
        if (!appended) {
            co_await sleepFor(RETRY_INTERVAL);
        }
    }
    // 2. Waits until the record is read back; its place in the stream decides among concurrent versions.
    ConfigVerdict verdict;
    const auto executor = co_await Asio::this_coro::executor;
    while (true) {
        auto waiter = m_tail->progress().subscribe(executor);
        {
            const std::lock_guard lock(m_mutex);
            verdict = m_verdicts[record.id];
        }
        const bool settled = verdict.inForce != ConfigVersion(0) || !verdict.reason.empty();
        if (settled || (!appended && !mayBeAppended) || !co_await waiter->wait(deadline)) {
            break;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_verdicts.erase(record.id);
    }
    result.version = version();
    if (verdict.accepted) {
        result.status = PublishResult::Status::Accepted;
        result.version = record.version;
    } else if (!verdict.reason.empty()) {
        result.status = PublishResult::Status::Conflict;
    } else {
        result.status = appended || mayBeAppended ? PublishResult::Status::Unknown : PublishResult::Status::NotTaken;
    }
    co_return result;
}

void ConfigService::adoptFromPeer(const std::string &recordText)
{
    if (recordText.empty()) {
        return;
    }
    auto record = ConfigRecord::fromText(recordText);
    if (!record) {
        return;
    }
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        if (record->version <= m_inForce.version()) {
            return;
        }
        record->renewal = true;
        ConfigState peer;
        if (peer.apply(record->toText()).accepted) {
            m_inForce = peer;
            changed = true;
        }
    }
    if (changed) {
        logEvent(LogLevel::Info, "config-from-peer", {{"version", record->version.value()}});
        m_changed.notifyAll();
    }
}

Asio::awaitable<void> ConfigService::renewIfDue(TimePoint deadline)
{
    ConfigRecord record;
    {
        const std::lock_guard lock(m_mutex);
        const auto age = std::chrono::duration_cast<Millis>(Clock::now() - m_recordReadAt)
                         + Millis(std::max<std::int64_t>(0, m_newestTimeMs - m_recordTimeMs));
        if (m_state.config() == nullptr || age < m_retention / RENEWALS_PER_RETENTION) {
            co_return;
        }
        record = m_state.record();
    }
    record.renewal = true;
    try {
        std::vector<std::string> records;
        records.push_back(record.toText());
        co_await m_log.append(STREAM, std::move(records), deadline);
    } catch (const AppendError &error) {
        logEvent(LogLevel::Warning, "config-renewal-failed", {{"error", error.what()}});
    }
}

} // namespace Papaya
