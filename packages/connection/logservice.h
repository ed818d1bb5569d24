#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

// The platform's log service: append-only streams read by offset.

namespace Papaya
{

/** One record as read back. */
struct LogRecord {
    Offset offset;
    /** When the service took the record, in milliseconds since the Unix epoch by its own clock. */
    std::int64_t timeMs = 0;
    std::string data;
};

/** A run of records. */
struct LogPage {
    /** Oldest offset that is still kept. */
    Offset start;
    /** Offset that the next append will get. */
    Offset end;
    std::vector<LogRecord> records;
};

/** Whether a failed append can still take effect. */
enum class AppendFailure { NotTaken, Unknown };

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

/** A failed read; the same call may succeed later. */
class ReadError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** The records asked for have aged out. */
class RecordsExpiredError : public std::runtime_error
{
public:
    explicit RecordsExpiredError(Offset start)
        : std::runtime_error("records aged out")
        , m_start(start)
    {
    }
    /** @return the oldest offset that is still kept. */
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
     * Appends @p records as one atomic append.
     * @return the offset of the first record
     * @throws AppendError
     */
    virtual Asio::awaitable<Offset> append(std::string stream, std::vector<std::string> records,
                                           TimePoint deadline) = 0;

    /**
     * Reads up to @p limit records from @p from, waiting up to @p wait for the first.
     * @throws ReadError, RecordsExpiredError
     */
    virtual Asio::awaitable<LogPage> read(std::string stream, Offset from, std::size_t limit, Millis wait,
                                          TimePoint deadline) = 0;
};

/** @return a client of the log service's HTTP form at @p endpoint; @p pool must outlive it. */
std::unique_ptr<LogService> makeHttpLogService(HttpPool &pool, const Endpoint &endpoint);

} // namespace Papaya
