#include "steps/progresswatch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_STALL_MS = 1'600; // longer than a report interval
constexpr double STALL_SHARE = 0.1; // of the plausible run time, since a long run takes a while for each percent
constexpr std::int64_t MIN_START_STALL_MS = 900; // for a run that has not progressed yet, which loses little by a move
constexpr double START_STALL_SHARE = 0.05;
constexpr std::int64_t RESTORE_MS = 1'000;    // longer than the restore from a checkpoint
constexpr std::int64_t FILL_STALL_FACTOR = 5; // for a filling task, which may find few idle cores
constexpr std::uint32_t MAX_DOUBLINGS = 4;

/** @return the stall from which @p run counts as stuck. It doubles with each move, so that no unit moves forever. */
std::int64_t stallLimitMs(const RunProgress &run)
{
    const double share = run.progressed ? STALL_SHARE : START_STALL_SHARE;
    const std::int64_t shortestMs = run.progressed ? MIN_STALL_MS : MIN_START_STALL_MS;
    std::int64_t limitMs = std::max(shortestMs, static_cast<std::int64_t>(share * double(run.plausibleMs)));
    limitMs += run.resumed && !run.progressed ? RESTORE_MS : 0;
    return (limitMs << std::min(run.moves, MAX_DOUBLINGS)) * (run.fills ? FILL_STALL_FACTOR : 1);
}

} // namespace

bool isStuck(const RunProgress &run)
{
    return !run.paced && run.percent < 100 && run.stalledMs > stallLimitMs(run);
}

} // namespace Papaya
