#include "steps/departure.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t STOP_MARGIN_MS = 1'200;        // a stop takes 0.2 s, and its order may be lost once
constexpr std::int64_t MIN_EXTRAPOLATION_PERCENT = 5; // less progress is too little to extrapolate from

} // namespace

std::int64_t expectedRemainingMs(const LeavingRun &run)
{
    if (run.percent >= MIN_EXTRAPOLATION_PERCENT && run.elapsedMs > 0) {
        return run.elapsedMs * (100 - run.percent) / run.percent;
    }
    return std::max<std::int64_t>(0, run.estimateMs - run.elapsedMs);
}

bool shouldLeave(const LeavingRun &run)
{
    if (expectedRemainingMs(run) <= run.leavesInMs) {
        return false;
    }
    return !run.checkpointing || run.leavesInMs <= STOP_MARGIN_MS;
}

} // namespace Papaya
