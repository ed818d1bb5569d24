#pragma once

#include "steps/stepscheduler.h"

#include <cstdint>
#include <vector>

// Decides which units of long-running steps move away from evacuated failure domains. Other work ends by itself, but a
// long-running task would stay for as long as its job. Moves keep to the disruption budget of a step, and a unit moves
// only if there is room for it elsewhere.

namespace Papaya
{

/** A running unit of a long-running step on a minion that gets no new work. */
struct StrandedUnit {
    UnitKey unit;
    std::uint32_t availableTasks = 1; ///< tasks that its stop may make unavailable
    std::uint32_t unavailable = 0;    ///< tasks of its step that are not available
};

/**
 * @param units in the order in which they should move
 * @return the units to stop now, so that they start elsewhere. Of a step without a disruption budget, one unit moves at
 * a time. Units of queues with an admission oracle stay, since there is no ticket for a step whose units all run.
 */
std::vector<UnitKey> unitsToMove(PlanInput input, const std::vector<StrandedUnit> &units);

} // namespace Papaya
