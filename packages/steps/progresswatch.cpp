#include "steps/progresswatch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t LEAST_STILL_MS = 1'600; // longer than one report interval, and than a restore
constexpr double STILL_SHARE = 0.1; // of the longest plausible time; one hundredth of a long run takes a while

} // namespace

bool isStuck(const RunProgress &run)
{
    const auto share = static_cast<std::int64_t>(STILL_SHARE * double(run.plausibleMs));
    return run.percent < 100 && run.stillMs > std::max(LEAST_STILL_MS, share);
}

} // namespace Papaya
