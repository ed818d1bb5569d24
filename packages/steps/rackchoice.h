#pragma once

#include "steps/minionfleet.h"

#include <vector>

// Which racks a unit is tried on. A step that runs away from its data, or a gang that is spread over racks although its
// members should share one, takes several times as long. Such a step is rack-bound: it waits for a rack that can hold a
// unit of it, unless there is none or the fleet is lightly loaded.

namespace Papaya
{

/** @return true if @p step is bound to a rack by its data, or is a gang whose members should share a rack. */
bool isRackBound(const StepSpec &step);

/**
 * @param group minions that the step may use
 * @param need counted resources of one task
 * @return the racks whose total capacity holds a unit of @p step within its limit of tasks on one minion; empty if the
 * step is not rack-bound
 */
std::vector<std::size_t> feasibleRacks(const MinionFleet &fleet, const MinionGroup &group, const StepSpec &step,
                                       const Resources &need);

/** @return the racks to try for a unit of @p step with the @p feasible racks, perhaps with MinionGroup::ANY_RACK. */
std::vector<std::size_t> racksToTry(const MinionFleet &fleet, const StepSpec &step,
                                    const std::vector<std::size_t> &feasible);

} // namespace Papaya
