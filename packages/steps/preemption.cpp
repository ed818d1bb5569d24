#include "steps/preemption.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace Papaya
{

namespace
{

constexpr double CORES_PER_GPU = 8;   // weight of a GPU in cores
constexpr double FIXED_STOP_COST = 1; // core-seconds; so that a stop that loses no work has a cost too
constexpr double INFEASIBLE_COST = std::numeric_limits<double>::max();
constexpr double LONG_RUNNING_COST = 1e12; // core-seconds; more than the loss of any other victims together

double stopCost(const ActiveUnit &victim)
{
    return FIXED_STOP_COST
           + equivalentCores(victim.need) * double(victim.minions.size()) * double(victim.lossMs) / 1000;
}

} // namespace

double equivalentCores(const Resources &need)
{
    return double(need.cores) / 1000 + CORES_PER_GPU * double(need.gpus);
}

Preemption::Preemption(MinionFleet &fleet, std::vector<ActiveUnit> &active, std::set<TeamName> borrowers)
    : m_fleet(fleet)
    , m_active(active)
    , m_borrowers(std::move(borrowers))
    , m_activeOn(fleet.size())
{
    for (std::size_t v = 0; v < active.size(); ++v) {
        m_stopCosts.push_back(stopCost(active[v]));
        for (const std::size_t m : active[v].minions) {
            if (m_activeOn[m].empty() || m_activeOn[m].back() != v) {
                m_activeOn[m].push_back(v);
            }
        }
    }
}

bool Preemption::mayPreempt(const PreemptionRights &rights, const ActiveUnit &victim, const Reclaim *reclaim) const
{
    if (victim.stopping || (!victim.preemptible && reclaim == nullptr)) {
        return false;
    }
    if (victim.longRunning) {
        return reclaim != nullptr && reclaim->ledger.mayStop(victim, rights.team);
    }
    if (victim.priority > rights.priority) {
        return true;
    }
    return rights.guaranteed && victim.team != rights.team && m_borrowers.contains(victim.team);
}

bool Preemption::exceedsKnownBound(const PlacementRequest &request, std::size_t rack,
                                   const PreemptionRights &rights) const
{
    const auto bounds = m_bounds.find({request.group, rack});
    return !rights.guaranteed && bounds != m_bounds.end()
           && std::any_of(bounds->second.begin(), bounds->second.end(), [&](const CostBound &bound) {
                  return rights.priority >= bound.priority && request.need.covers(bound.need)
                         && request.members >= bound.members && rights.limit < bound.cost;
              });
}

std::optional<PreemptionPlan> Preemption::find(const PlacementRequest &request, const std::vector<std::size_t> &racks,
                                               const PreemptionRights &rights)
{
    std::optional<PreemptionPlan> best;
    for (const std::size_t rack : racks) {
        if (exceedsKnownBound(request, rack, rights)) {
            continue;
        }
        auto plan = findOnRack(request, rack, rights, best ? best->cost : rights.limit, nullptr);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

std::optional<PreemptionPlan> Preemption::findReclaiming(const PlacementRequest &request,
                                                         const std::vector<std::size_t> &racks,
                                                         const PreemptionRights &rights, ReclaimLedger &ledger,
                                                         std::int64_t awaitedMs)
{
    std::optional<PreemptionPlan> best;
    for (const std::size_t rack : racks) {
        ReclaimLedger remaining = ledger;
        Reclaim reclaim {remaining, awaitedMs};
        auto plan = findOnRack(request, rack, rights, best ? best->cost : rights.limit, &reclaim);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    if (best) {
        std::copy_if(best->victims.begin(), best->victims.end(), std::inserter(best->awaited, best->awaited.end()),
                     [&](std::size_t v) {
                         return isAwaited(m_active[v], {ledger, awaitedMs});
                     });
    }
    return best;
}

std::optional<PreemptionPlan> Preemption::findOnRack(const PlacementRequest &request, std::size_t rack,
                                                     const PreemptionRights &rights, double limit, Reclaim *reclaim)
{
    // 1. Available capacity of each minion: what is free and what is being released.
    const std::vector<std::size_t> &minions = request.group->on(rack);
    std::vector<Resources> available(m_fleet.size());
    for (const std::size_t m : minions) {
        available[m] = m_fleet[m].free;
        available[m] += m_fleet[m].releasing;
    }
    PreemptionPlan result;
    std::vector<std::optional<VictimSelection>> selections(m_fleet.size());
    std::map<std::size_t, std::uint32_t> membersTaken;
    // 2. Places one member after another on the minion that costs least.
    while (result.chosen.size() < request.members) {
        std::size_t best = SIZE_MAX;
        for (const std::size_t m : minions) {
            if (request.maxPerMinion > 0 && placedOn(request, m) + membersTaken[m] >= request.maxPerMinion) {
                continue;
            }
            if (!selections[m]) {
                selections[m] = selectVictims(m, available[m], request.need, rights, result.victims, reclaim);
            }
            if (selections[m]->cost < (best == SIZE_MAX ? INFEASIBLE_COST : selections[best]->cost)) {
                best = m;
            }
        }
        if (best != SIZE_MAX && reclaim != nullptr && !selections[best]->victims.empty()) {
            // Victims that were chosen since may have used up the disruption budgets that the selection needs.
            VictimSelection current =
                selectVictims(best, available[best], request.need, rights, result.victims, reclaim);
            const bool outdated = current.cost > selections[best]->cost;
            selections[best] = std::move(current);
            if (outdated) {
                continue;
            }
        }
        // 3. Gives up once the cost exceeds the limit, and records it as a lower bound.
        result.cost = best == SIZE_MAX ? INFEASIBLE_COST : result.cost + selections[best]->cost;
        if (best == SIZE_MAX || result.cost > limit) {
            if (!rights.guaranteed && request.maxPerMinion == 0) {
                m_bounds[{request.group, rack}].push_back(
                    {rights.priority, request.need, request.members, result.cost});
            }
            return std::nullopt;
        }
        // 4. Each victim releases capacity on all minions of its unit.
        const std::vector<std::size_t> victims = selections[best]->victims;
        for (const std::size_t v : victims) {
            result.victims.insert(v);
            if (reclaim != nullptr && !isAwaited(m_active[v], *reclaim)) {
                reclaim->ledger.stop(m_active[v]);
            }
            for (const std::size_t m : m_active[v].minions) {
                available[m] += m_active[v].need;
                selections[m].reset();
            }
        }
        available[best] -= request.need;
        selections[best].reset();
        ++membersTaken[best];
        result.chosen.push_back(best);
    }
    return result;
}

bool Preemption::isAwaited(const ActiveUnit &victim, const Reclaim &reclaim)
{
    return !victim.preemptible && !victim.longRunning && victim.remainingMs <= reclaim.awaitedMs;
}

double Preemption::costOf(std::size_t v, const Reclaim *reclaim) const
{
    if (reclaim == nullptr) {
        return m_stopCosts[v];
    }
    if (isAwaited(m_active[v], *reclaim)) {
        return 0;
    }
    return m_stopCosts[v] + (m_active[v].longRunning ? LONG_RUNNING_COST : 0);
}

Resources Preemption::heldOn(std::size_t minion, std::size_t v) const
{
    Resources held;
    for (const std::size_t at : m_active[v].minions) {
        if (at == minion) {
            held += m_active[v].need;
        }
    }
    return held;
}

Preemption::VictimSelection Preemption::selectVictims(std::size_t minion, Resources available, const Resources &need,
                                                      const PreemptionRights &rights,
                                                      const std::set<std::size_t> &victims, Reclaim *reclaim) const
{
    VictimSelection selection;
    if (available.covers(need)) {
        return selection;
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t v : m_activeOn[minion]) {
        if (!victims.contains(v) && mayPreempt(rights, m_active[v], reclaim)) {
            order.emplace_back(costOf(v, reclaim), v);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, v] : order) {
        const ActiveUnit &victim = m_active[v];
        if (reclaim != nullptr && victim.longRunning) {
            if (!reclaim->ledger.mayStop(victim, rights.team)) { // with those already selected here
                continue;
            }
            reclaim->ledger.stop(victim);
        }
        available += heldOn(minion, v);
        selection.cost += cost;
        selection.victims.push_back(v);
        if (available.covers(need)) {
            break;
        }
    }
    if (reclaim != nullptr) {
        for (const std::size_t v : selection.victims) {
            if (m_active[v].longRunning) {
                reclaim->ledger.spare(m_active[v]);
            }
        }
    }
    if (!available.covers(need)) {
        return {INFEASIBLE_COST, {}};
    }
    if (reclaim != nullptr) {
        dropUnneeded(selection, minion, available, need, *reclaim);
    }
    return selection;
}

void Preemption::dropUnneeded(VictimSelection &selection, std::size_t minion, Resources available,
                              const Resources &need, Reclaim &reclaim) const
{
    for (std::size_t i = selection.victims.size(); i-- > 0;) {
        const std::size_t v = selection.victims[i];
        Resources without = available;
        without -= heldOn(minion, v);
        if (without.covers(need)) {
            available = without;
            selection.cost -= costOf(v, &reclaim);
            selection.victims.erase(selection.victims.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
}

void Preemption::stop(const PreemptionPlan &plan)
{
    for (const std::size_t v : plan.victims) {
        ActiveUnit &victim = m_active[v];
        victim.stopping = true;
        for (const std::size_t m : victim.minions) {
            m_fleet.addReleasing(m, victim.need);
        }
    }
}

} // namespace Papaya
