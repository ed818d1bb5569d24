#pragma once

#include "steps/minionfleet.h"
#include "steps/stepjob.h"

// Rates the minions on which a task fits by what their capacity does not show, such as their speed. A preference only
// orders minions with room. It never makes a unit wait.

namespace Papaya
{

/** A reason to prefer some minions to others for the tasks of a step. */
class PlacementPreference
{
public:
    virtual ~PlacementPreference() = default;

    /**
     * @return the cost of running a task of @p step of @p job on @p minion, from 0 (nothing speaks against it) to 1.
     * Costs of minions that differ only by noise should be equal, as any difference outweighs the best fit by GPUs.
     */
    [[nodiscard]] virtual double cost(const StepJob &job, const StepSpec &step, const MinionView &minion) const = 0;
};

} // namespace Papaya
