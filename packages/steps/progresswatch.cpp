#include "steps/progresswatch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_STALL_MS = 1'600; // longer than a report interval and than a restore from a checkpoint
constexpr double STALL_SHARE = 0.1; // of the plausible run time, since a long run takes a while for each percent
constexpr std::int64_t FILL_STALL_FACTOR = 5; // for a filling task, which may find few idle cores

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
