#include "steps/rackchoice.h"

namespace Papaya
{

bool isRackBound(const StepSpec &step)
{
    return !step.dataRack.value().empty() || (step.gang && step.sameRack);
}

std::vector<std::size_t> feasibleRacks(const MinionFleet &fleet, const MinionGroup &group, const StepSpec &step,
                                       const Resources &need)
{
    const bool byData = !step.dataRack.value().empty();
    std::vector<std::size_t> racks;
    if (!isRackBound(step)) {
        return racks;
    }
    const std::size_t wanted = step.gang ? step.count : 1;
    for (const auto &[rack, minions] : group.byRack) {
        if (byData && rack != fleet.rackNumber(step.dataRack)) {
            continue;
        }
        std::size_t members = 0;
        for (const std::size_t m : minions) {
            members += membersThatFit(fleet[m].capacity, need, step.maxPerMinion);
        }
        if (members >= wanted) {
            racks.push_back(rack);
        }
    }
    return racks;
}

std::vector<std::size_t> racksToTry(const MinionFleet &fleet, const StepSpec &step,
                                    const std::vector<std::size_t> &feasible)
{
    std::vector<std::size_t> racks = feasible;
    if (!isRackBound(step) || racks.empty() || fleet.isLightlyLoaded()) {
        racks.push_back(MinionGroup::ANY_RACK);
    }
    return racks;
}

} // namespace Papaya
