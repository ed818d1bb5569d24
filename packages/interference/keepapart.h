#pragma once

#include "interference/imageinterference.h"
#include "steps/placementpreference.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// Keeps images that are known to interfere on different minions, as far as there is room.

namespace Papaya
{

/** Prefers minions without images that a step's image disturbs, or that disturb it. */
class KeepApart : public PlacementPreference
{
public:
    /** The images that run on each minion. */
    using Running = std::map<MinionId, std::set<std::string>>;

    /** Replaces what the costs rest on. */
    void update(const std::vector<InterferingPair> &pairs, const Running &running);
    /** @return true if some cost is above 0. */
    [[nodiscard]] bool active() const
    {
        return !m_costs.empty();
    }

    [[nodiscard]] double cost(const StepJob &job, const StepSpec &step, const MinionView &minion) const override;

private:
    /** Costs above 0, quantised, by image and name of the minion. Hashed, since each placement reads many. */
    std::map<std::string, std::unordered_map<std::string, double>> m_costs;
};

} // namespace Papaya
