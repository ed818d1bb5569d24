#include "evacuation/servicemoves.h"

#include "steps/placementsearch.h"
#include "steps/upkeep.h"

#include <algorithm>
#include <map>

namespace Papaya
{

namespace
{

/** @return true if the stop of @p unit beside @p moving tasks of its step keeps to the disruption budget. */
bool isWithinBudget(const StepSpec &step, const StrandedUnit &unit, std::uint32_t moving)
{
    const std::uint32_t unavailable = unit.unavailable + moving;
    return step.maxUnavailable == 0 ? unavailable == 0
                                    : !exceedsBudget(step.maxUnavailable, unavailable, unit.availableTasks);
}

} // namespace

std::vector<UnitKey> unitsToMove(PlanInput input, const std::vector<StrandedUnit> &units)
{
    MinionFleet fleet(input.minions);
    PlacementSearch search(fleet);
    std::map<StepKey, std::uint32_t> moving; // available tasks of the units that are chosen
    std::vector<UnitKey> moves;
    for (const StrandedUnit &unit : units) {
        const StepJob &job = input.jobs.find(unit.unit.job)->job;
        const StepSpec &step = job.spec.steps[unit.unit.step];
        const QueueConfig *queue = input.config.queue(job.queue);
        const bool requiresAdmission = queue != nullptr && queue->oracle.has_value();
        std::uint32_t &alreadyMoving = moving[unit.unit.stepKey()];
        if (requiresAdmission || !isWithinBudget(step, unit, alreadyMoving)) {
            continue;
        }
        PlacementRequest request;
        request.group = &fleet.eligible(serviceOf(input.config, job), step);
        request.need = countedNeed(step);
        request.members = step.gang ? step.count : 1;
        request.maxPerMinion = step.maxPerMinion;
        const std::vector<std::size_t> chosen = search.find(request, MinionGroup::ANY_RACK);
        if (chosen.empty()) {
            continue;
        }
        for (const std::size_t minion : chosen) {
            fleet.allocate(minion, request.need);
        }
        alreadyMoving += std::max<std::uint32_t>(1, unit.availableTasks);
        moves.push_back(unit.unit);
    }
    return moves;
}

} // namespace Papaya
