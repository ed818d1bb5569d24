#pragma once

#include <cstdint>

// Decides when runs are moved off a minion that is draining or being reclaimed at short notice. A run that is expected
// to end in time stays; any other is stopped and resumes elsewhere from its last checkpoint.

namespace Papaya
{

/** A run on a minion that is leaving. */
struct LeavingRun {
    std::int64_t elapsedMs = 0;  ///< time since its start
    std::int64_t percent = 0;    ///< progress
    std::int64_t estimateMs = 0; ///< the caller's estimate for the whole run
    std::int64_t leavesInMs = 0; ///< lower bound on the time until the minion leaves
    bool checkpointing = false;
};

/** @return the expected remaining time of @p run in milliseconds. */
std::int64_t expectedRemainingMs(const LeavingRun &run);

/**
 * @return true if @p run should be stopped now. A run with checkpoints is stopped as late as possible, since it makes
 * progress until then; a run without is stopped at once, since its work would be lost anyway.
 */
bool shouldLeave(const LeavingRun &run);

} // namespace Papaya
