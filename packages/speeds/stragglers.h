#pragma once

#include "speeds/minionspeeds.h"
#include "steps/stepscheduler.h"

#include <cstdint>
#include <vector>

// Decides which units are stopped on minions that are known to be very slow, so that they run anew elsewhere. Load
// pattern: a unit that was placed before its minion became slow, or while nothing else had room, holds up its job for
// several times its run time.
//
// Moving slow runs by their progress alone measured worse, as most minions recover before a new run would have caught
// up. A move therefore needs all of this: a rate of a third of the expected one over more than a second, a minion that
// is known to be very slow by several observations, room on minions that are not, and an expected end there that is
// earlier by a margin even if nothing of the work done is kept.

namespace Papaya
{

/** A running task of a unit. */
struct SlowMember {
    MinionId minion;
    std::int64_t percent = 0;   ///< of its work
    std::int64_t elapsedMs = 0; ///< from its start to the last report, on the minion's clock
    std::int64_t ageMs = 0;     ///< of the last report
};

/** A running unit, all members of which have started. */
struct SlowUnit {
    UnitKey unit;
    std::vector<SlowMember> members; ///< those that have not ended
    std::int64_t expectedMs = 0;     ///< run time on the average minion
    std::uint32_t moves = 0;         ///< how often the unit was moved before
};

/** A unit to stop, and why. */
struct Rerun {
    UnitKey unit;
    std::vector<MinionId> avoid;  ///< the very slow minions of its members
    SlowMember slowest;           ///< the member that is expected to end last
    std::int64_t remainingMs = 0; ///< expected until its end if it stays
    std::int64_t elsewhereMs = 0; ///< expected until its end if it is stopped now
};

/**
 * @param input minions of the fleet and running units
 * @param units candidates, in the order in which they should move
 * @return the units to stop now. Units of queues with an admission oracle stay, since there is no ticket for a step
 * whose units all run.
 */
std::vector<Rerun> unitsToRerun(PlanInput input, const std::vector<SlowUnit> &units, const MinionSpeeds &speeds);

} // namespace Papaya
