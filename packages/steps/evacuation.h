#pragma once

#include <cstdint>

// When work is moved away from a minion that is about to leave. Answers the pattern of minions that drain or are taken
// back at short notice while they are full: what can end in time stays, what cannot is moved from its last checkpoint.

namespace Papaya
{

/** A run on a minion that leaves. */
struct LeavingRun {
    std::int64_t elapsedMs = 0;  ///< since its start
    std::int64_t percent = 0;    ///< of its work that is done
    std::int64_t estimateMs = 0; ///< the caller's guess for the whole run
    std::int64_t leavesInMs = 0; ///< at least so long until the minion leaves
    bool checkpointing = false;
};

/** @return how much longer @p run is likely to take. */
std::int64_t expectedRemainingMs(const LeavingRun &run);

/**
 * @return true if @p run should be stopped now. Work that saves its progress is moved late, since it goes on meanwhile;
 * work that would be lost anyway is moved at once.
 */
bool shouldEvacuate(const LeavingRun &run);

} // namespace Papaya
