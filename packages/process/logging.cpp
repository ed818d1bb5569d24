#include "process/logging.h"

#include "process/linewriter.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <unistd.h>

namespace Papaya
{

namespace
{

namespace Log = boost::log;
namespace Expressions = boost::log::expressions;

constexpr std::array<std::string_view, 4> LEVEL_NAMES {"debug", "info", "warning", "error"};

std::string quotedIfNeeded(std::string_view value)
{
    if (!value.empty() && value.find_first_of(" =\"\\\n\r\t") == std::string_view::npos) {
        return std::string(value);
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + "\"";
}

/** Sink of log lines that writes to standard output and does not wait for its reader. */
class StandardOutputBackend : public Log::sinks::basic_formatted_sink_backend<char, Log::sinks::synchronized_feeding>
{
public:
    void consume(const Log::record_view & /*record*/, const string_type &line)
    {
        m_writer.write(line);
    }

private:
    LineWriter m_writer {STDOUT_FILENO};
};

std::string &instanceName()
{
    static std::string name;
    return name;
}

} // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key)
    , value(quotedIfNeeded(value))
{
}

LogField::LogField(std::string_view key, const char *value)
    : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, const std::string &value)
    : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, std::int64_t value)
    : key(key)
    , value(std::to_string(value))
{
}

LogField::LogField(std::string_view key, std::uint64_t value)
    : key(key)
    , value(std::to_string(value))
{
}

void startLogging(LogLevel level, const InstanceId &instance)
{
    instanceName() = quotedIfNeeded(instance.value());
    auto sink = boost::make_shared<Log::sinks::synchronous_sink<StandardOutputBackend>>();
    sink->set_formatter(Expressions::stream
                        << "time="
                        << Expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << " " << Expressions::smessage);
    Log::core::get()->add_global_attribute("TimeStamp", Log::attributes::utc_clock());
    Log::core::get()->add_sink(sink);
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    Log::core::get()->set_filter(Expressions::attr<int>("Severity") >= static_cast<int>(level));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    Log::sources::severity_logger<int> logger;
    Log::record record = logger.open_record(Log::keywords::severity = static_cast<int>(level));
    if (!record) {
        return;
    }
    Log::record_ostream stream(record);
    stream << "level=" << LEVEL_NAMES[static_cast<std::size_t>(level)] << " instance=" << instanceName()
           << " event=" << event;
    for (const LogField &field : fields) {
        stream << " " << field.key << "=" << field.value;
    }
    stream.flush();
    logger.push_record(boost::move(record));
}

} // namespace Papaya
