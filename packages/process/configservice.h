#pragma once

#include "process/streamtail.h"
#include "version/configstate.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

// Keeps the fleet configuration in force: follows its stream, and publishes new versions on behalf of operators.

namespace Papaya
{

/** What became of a version that an operator wants in force. */
struct PublishResult {
    enum class Status { Accepted, Conflict, Invalid, NotTaken, Unknown };
    Status status = Status::Unknown;
    ConfigVersion version; ///< in force now
    Errors errors;         ///< of an invalid configuration
};

/** A record that did not count. */
struct IgnoredConfig {
    std::uint64_t offset = 0;
    std::string reason;
};

/** The configuration in force at this instance. */
class ConfigService : private StreamSink
{
public:
    ConfigService(Asio::io_context &io, LogService &log, Millis retention, Metrics &metrics);

    void start();
    void stop();

    /** @return the configuration in force, or null before the first. */
    [[nodiscard]] FleetConfigPtr config() const;
    [[nodiscard]] ConfigVersion version() const;
    /** @return the record in force as text, for peers and operators; empty before the first. */
    [[nodiscard]] std::string recordText() const;
    [[nodiscard]] IgnoredConfig lastIgnored() const;
    /** @return true once the stream has been read to its end, or a peer's version was taken. */
    [[nodiscard]] bool ready() const;
    [[nodiscard]] const StreamTail &tail() const
    {
        return *m_tail;
    }

    /** @return the broadcast that is notified when another version comes into force. */
    Broadcast &changed()
    {
        return m_changed;
    }

    /**
     * Publishes @p config if version @p replaces is still in force.
     * @return after this instance has seen the record applied, or at @p deadline
     */
    Asio::awaitable<PublishResult> publish(nlohmann::json config, ConfigVersion replaces, TimePoint deadline);

    /** Takes a version that a peer has in force, if it is newer than the own one. */
    void adoptFromPeer(const std::string &recordText);

    /** Appends the version in force again if it would age out otherwise; for the planner alone. */
    Asio::awaitable<void> renewIfDue(TimePoint deadline);

private:
    void apply(const LogRecord &record) override;
    Asio::awaitable<Offset> skipTo(Offset start) override;
    void recordVerdict(const std::string &id, const ConfigVerdict &verdict);

    LogService &m_log;
    const Millis m_retention;
    Metrics &m_metrics;
    std::shared_ptr<StreamTail> m_tail;
    Broadcast m_changed;

    mutable std::mutex m_mutex;
    ConfigState m_state;   ///< as the stream has it
    ConfigState m_inForce; ///< the stream's, or a newer one from a peer
    std::int64_t m_recordTimeMs = 0;
    std::int64_t m_newestTimeMs = 0;
    TimePoint m_recordReadAt;
    IgnoredConfig m_ignored;
    std::unordered_map<std::string, ConfigVerdict> m_verdicts; ///< of own records, until publish() takes them
};

} // namespace Papaya
