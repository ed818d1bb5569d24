#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

// Client interface of the platform's log service, which holds append-only streams that are read by offset.

namespace Papaya
{

/** A record read from a stream. */
struct LogRecord {
    Offset offset;
    /** When the service appended the record, in milliseconds since the Unix epoch by the service's clock. */
    std::int64_t timeMs = 0;
    std::string data;
};

/** Consecutive records of a stream, as returned by one read. */
struct LogPage {
    /** Oldest offset that the service retains. */
    Offset start;
    /** Offset of the next record to be appended. */
    Offset end;
    std::vector<LogRecord> records;
};

/** Whether a failed append may have taken effect. */
enum class AppendFailure {
    NotTaken, ///< the records were not appended and will not be
    Unknown   ///< the records may have been appended, or may still be
};

/** A failed append. */
class AppendError : public std::runtime_error
{
public:
    AppendError(AppendFailure failure, const std::string &message)
        : std::runtime_error(message)
        , m_failure(failure)
    {
    }
    [[nodiscard]] AppendFailure failure() const
    {
        return m_failure;
    }

private:
    AppendFailure m_failure;
};

/** A failed read. Retrying it may succeed. */
class ReadError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** The requested records are older than the service's retention. */
class RecordsExpiredError : public std::runtime_error
{
public:
    explicit RecordsExpiredError(Offset start)
        : std::runtime_error("the requested log records have expired")
        , m_start(start)
    {
    }
    /** @return the oldest offset that the service retains. */
    [[nodiscard]] Offset start() const
    {
        return m_start;
    }

private:
    Offset m_start;
};

/** The platform's log service. */
class LogService
{
public:
    virtual ~LogService() = default;

    /**
     * Appends @p records atomically.
     * @return the offset of the first record
     * @throws AppendError
     */
    virtual Asio::awaitable<Offset> append(std::string stream, std::vector<std::string> records,
                                           TimePoint deadline) = 0;

    /**
     * Reads up to @p limit records, starting at offset @p from.
     * @param wait how long the service waits for the first record if there is none yet
     * @throws ReadError, RecordsExpiredError
     */
    virtual Asio::awaitable<LogPage> read(std::string stream, Offset from, std::size_t limit, Millis wait,
                                          TimePoint deadline) = 0;
};

/** @return an HTTP client of the log service at @p endpoint; @p pool must outlive it. */
std::unique_ptr<LogService> makeHttpLogService(HttpPool &pool, const Endpoint &endpoint);

} // namespace Papaya
