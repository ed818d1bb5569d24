#pragma once

#include "steps/placementpreference.h"

// Minions of a failure domain may be cold after its evacuation: they run slower for a while. Work goes to other minions
// with room meanwhile.

namespace Papaya
{

/** Prefers minions that are not cold. */
class ColdMinions : public PlacementPreference
{
public:
    [[nodiscard]] double cost(const StepJob & /*job*/, const StepSpec & /*step*/,
                              const MinionView &minion) const override
    {
        return minion.cold ? 1 : 0;
    }
};

} // namespace Papaya
