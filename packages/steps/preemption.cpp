#include "steps/preemption.h"

#include <algorithm>
#include <limits>

namespace Papaya
{

namespace
{

constexpr double CORES_PER_GPU = 8;   // weight of a GPU in cores
constexpr double FIXED_STOP_COST = 1; // core-seconds; so that a stop that loses no work has a cost too
constexpr double INFEASIBLE_COST = std::numeric_limits<double>::max();

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

bool Preemption::mayPreempt(const PreemptionRights &rights, const ActiveUnit &victim) const
{
    if (!victim.preemptible || victim.stopping) {
        return false;
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
        auto plan = findOnRack(request, rack, rights, best ? best->cost : rights.limit);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

std::optional<PreemptionPlan> Preemption::findOnRack(const PlacementRequest &request, std::size_t rack,
                                                     const PreemptionRights &rights, double limit)
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
                selections[m] = selectVictims(m, available[m], request.need, rights, result.victims);
            }
            if (selections[m]->cost < (best == SIZE_MAX ? INFEASIBLE_COST : selections[best]->cost)) {
                best = m;
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

Preemption::VictimSelection Preemption::selectVictims(std::size_t minion, Resources available, const Resources &need,
                                                      const PreemptionRights &rights,
                                                      const std::set<std::size_t> &victims) const
{
    VictimSelection selection;
    if (available.covers(need)) {
        return selection;
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t v : m_activeOn[minion]) {
        if (!victims.contains(v) && mayPreempt(rights, m_active[v])) {
            order.emplace_back(m_stopCosts[v], v);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, v] : order) {
        const ActiveUnit &victim = m_active[v];
        for (const std::size_t at : victim.minions) {
            if (at == minion) {
                available += victim.need;
            }
        }
        selection.cost += cost;
        selection.victims.push_back(v);
        if (available.covers(need)) {
            return selection;
        }
    }
    return {INFEASIBLE_COST, {}};
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
