#pragma once

#include "speeds/minionspeeds.h"
#include "steps/placementpreference.h"

#include <algorithm>

// Sends urgent work and wide gangs to fast minions: the first has the least time, and a gang is as slow as its slowest
// member. Other work avoids only minions on which it would take about three times as long.

namespace Papaya
{

/** Prefers minions by their learned speed. */
class FastMinions : public PlacementPreference
{
public:
    [[nodiscard]] double cost(const StepJob &job, const StepSpec &step, const MinionView &minion) const override
    {
        const int level = std::clamp(minion.slowness, -FASTEST, SLOWEST) + FASTEST;
        const bool needsSpeed = job.priority == 0 || (step.gang && step.count >= WIDE_GANG);
        return needsSpeed || level >= MinionSpeeds::VERY_SLOW + FASTEST ? double(level) / (FASTEST + SLOWEST) : 0;
    }

private:
    static constexpr std::uint32_t WIDE_GANG = 4;
    static constexpr int FASTEST = 2;
    static constexpr int SLOWEST = 8;
};

} // namespace Papaya
