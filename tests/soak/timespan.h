#pragma once

#include <cstdint>
#include <vector>

// Spans of time, in milliseconds since the Unix epoch.

namespace Papaya::Testing
{

/** From fromMs until just before toMs. */
struct TimeSpan {
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;

    [[nodiscard]] std::int64_t length() const
    {
        return toMs - fromMs;
    }
    bool operator==(const TimeSpan &) const = default;
};

/** @return the parts of @p span that are outside of @p taken. */
std::vector<TimeSpan> without(TimeSpan span, std::vector<TimeSpan> taken);

} // namespace Papaya::Testing
