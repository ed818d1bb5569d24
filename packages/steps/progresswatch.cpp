#include "steps/progresswatch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t LEAST_STILL_MS = 1'600; // longer than one report interval, and than a restore
constexpr double STILL_SHARE = 0.1;       // of the longest plausible time; one hundredth of a long run takes a while
constexpr std::int64_t FILL_PATIENCE = 5; // times as long for a task that may find little left to use

} // namespace

bool isStuck(const RunProgress &run)
{
    if (run.paced) {
        return false;
    }
    const auto share = static_cast<std::int64_t>(STILL_SHARE * double(run.plausibleMs));
    const std::int64_t longest = std::max(LEAST_STILL_MS, share) * (run.fills ? FILL_PATIENCE : 1);
    return run.percent < 100 && run.stillMs > longest;
}

} // namespace Papaya
