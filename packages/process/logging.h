#pragma once

#include "process/settings.h"

#include <initializer_list>
#include <string>
#include <string_view>

// Structured logs: one line of key=value pairs for each event, written to standard output.

namespace Papaya
{

/** One key=value pair of a log line; a value with spaces or special characters is quoted. */
struct LogField {
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);

    std::string_view key;
    std::string value;
};

/** Sets up logging. Lines below @p level are dropped; each line names @p instance. */
void startLogging(LogLevel level, const InstanceId &instance);

/** Changes the level below which lines are dropped. */
void setLogLevel(LogLevel level);

/** Writes one line for @p event with its fields. Never blocks on the reader of standard output. */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Papaya
