#include "steps/progresswatch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_STALL_MS = 1'600; // longer than one report interval, and than a restore
constexpr double STALL_SHARE = 0.1;          // of the longest plausible time; one hundredth of a long run takes a while
constexpr std::int64_t FILL_STALL_FACTOR = 5; // times as long for a task that may find little left to use

} // namespace

bool isStuck(const RunProgress &run)
{
    if (run.paced) {
        return false;
    }
    const auto shareMs = static_cast<std::int64_t>(STALL_SHARE * double(run.plausibleMs));
    const std::int64_t limitMs = std::max(MIN_STALL_MS, shareMs) * (run.fills ? FILL_STALL_FACTOR : 1);
    return run.percent < 100 && run.stalledMs > limitMs;
}

} // namespace Papaya
