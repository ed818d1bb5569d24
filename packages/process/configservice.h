#pragma once

#include "process/streamtail.h"
#include "version/configstate.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

// Follows the stream of fleet configurations, keeps the version in force, and publishes new versions for operators.

namespace Papaya
{

/** Result of publishing a version. */
struct PublishResult {
    enum class Status {
        Accepted, ///< the version is in force
        Conflict, ///< another version came into force first
        Invalid,  ///< the configuration has errors; nothing was appended
        NotTaken, ///< the log service did not append the record
        Unknown   ///< the record may still come into force
    };
    Status status = Status::Unknown;
    ConfigVersion version; ///< the accepted version; otherwise the version in force at this instance
    Errors errors;         ///< set if the configuration is invalid
};

/** A record of the config stream that was not accepted. */
struct IgnoredConfig {
    std::uint64_t offset = 0;
    std::string reason;
};

/** The fleet configuration in force at this instance. Thread-safe. */
class ConfigService : private StreamSink
{
public:
    /** @param retention how long the log service keeps records */
    ConfigService(Asio::io_context &io, LogService &log, Millis retention, Metrics &metrics);

    /** Starts to follow the stream from its start. */
    void start();
    void stop();

    /** @return the configuration in force, or null before the first. */
    [[nodiscard]] FleetConfigPtr config() const;
    /** @return the version in force; 0 before the first. */
    [[nodiscard]] ConfigVersion version() const;
    /** @return the record in force as text, for peers and operators; empty before the first. */
    [[nodiscard]] std::string recordText() const;
    /** @return the newest record that was not accepted. */
    [[nodiscard]] IgnoredConfig lastIgnored() const;
    /** @return true once a configuration is in force. */
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
     * @return the result, once this instance has read the record back, or at @p deadline
     */
    Asio::awaitable<PublishResult> publish(nlohmann::json config, ConfigVersion replaces, TimePoint deadline);

    /** Puts a peer's version in force if it is newer than the version in force here. */
    void adoptFromPeer(const std::string &recordText);

    /** Appends the version in force again before its record ages out. Only the planner calls this. */
    Asio::awaitable<void> renewIfDue(TimePoint deadline);

private:
    void apply(const LogRecord &record) override;
    Asio::awaitable<Offset> skipTo(Offset start) override;
    /** Keeps the verdict on a record that publish() waits for. */
    void recordVerdict(const std::string &id, const ConfigVerdict &verdict);

    LogService &m_log;
    const Millis m_retention;
    Metrics &m_metrics;
    std::shared_ptr<StreamTail> m_tail;
    Broadcast m_changed;

    mutable std::mutex m_mutex;
    ConfigState m_state;             ///< as the records of the stream give it
    ConfigState m_inForce;           ///< m_state, or a newer version from a peer
    std::int64_t m_recordTimeMs = 0; ///< of m_state's record, by the log service's clock
    std::int64_t m_newestTimeMs = 0; ///< of the newest record, by the log service's clock
    TimePoint m_recordReadAt;        ///< when m_state's record was read
    IgnoredConfig m_ignored;
    std::unordered_map<std::string, ConfigVerdict> m_verdicts; ///< by record id, of records that publish() waits for
};

} // namespace Papaya
