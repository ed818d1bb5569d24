#include "steps/preemption.h"

#include <algorithm>
#include <limits>

namespace Papaya
{

namespace
{

constexpr double GPU_IN_CORES = 8; // a GPU weighs as much as this many cores
constexpr double STOP_COST = 1;    // core-seconds; keeps needless stops away
constexpr double NO_ROOM = std::numeric_limits<double>::max();

double stopCost(const ActiveUnit &victim)
{
    return STOP_COST + weightOf(victim.need) * double(victim.minions.size()) * double(victim.lossMs) / 1000;
}

} // namespace

double weightOf(const Resources &need)
{
    return double(need.cores) / 1000 + GPU_IN_CORES * double(need.gpus);
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

bool Preemption::mayStop(const StopRight &right, const ActiveUnit &victim) const
{
    if (!victim.stoppable || victim.stopping) {
        return false;
    }
    if (victim.priority > right.priority) {
        return true;
    }
    return right.guaranteed && victim.team != right.team && m_borrowers.contains(victim.team);
}

bool Preemption::tooDear(const PlacementRequest &request, std::size_t rack, const StopRight &right) const
{
    const auto bounds = m_bounds.find({request.group, rack});
    return !right.guaranteed && bounds != m_bounds.end()
           && std::any_of(bounds->second.begin(), bounds->second.end(), [&](const Bound &bound) {
                  return right.priority >= bound.priority && request.need.covers(bound.need)
                         && request.members >= bound.members && right.limit < bound.cost;
              });
}

std::optional<PreemptedRoom> Preemption::find(const PlacementRequest &request, const std::vector<std::size_t> &racks,
                                              const StopRight &right)
{
    std::optional<PreemptedRoom> best;
    for (const std::size_t rack : racks) {
        if (tooDear(request, rack, right)) {
            continue;
        }
        auto room = findOn(request, rack, right, best ? best->cost : right.limit);
        if (room && (!best || room->cost < best->cost)) {
            best = std::move(room);
        }
    }
    return best;
}

std::optional<PreemptedRoom> Preemption::findOn(const PlacementRequest &request, std::size_t rack,
                                                const StopRight &right, double limit)
{
    // 1. Room per minion: what is free and what is already being freed.
    const std::vector<std::size_t> &minions = request.group->on(rack);
    std::vector<Resources> room(m_fleet.size());
    for (const std::size_t m : minions) {
        room[m] = m_fleet[m].free;
        room[m] += m_fleet[m].soon;
    }
    PreemptedRoom result;
    std::vector<std::optional<Offer>> offers(m_fleet.size());
    std::map<std::size_t, std::uint32_t> taken;
    // 2. Takes the cheapest minion for one member after the other.
    while (result.chosen.size() < request.members) {
        std::size_t best = SIZE_MAX;
        for (const std::size_t m : minions) {
            if (request.maxPerMinion > 0 && placedOn(request, m) + taken[m] >= request.maxPerMinion) {
                continue;
            }
            if (!offers[m]) {
                offers[m] = offerOf(m, room[m], request.need, right, result.victims);
            }
            if (offers[m]->cost < (best == SIZE_MAX ? NO_ROOM : offers[best]->cost)) {
                best = m;
            }
        }
        // 3. Gives up once it is too dear, and remembers what it costs at least.
        result.cost = best == SIZE_MAX ? NO_ROOM : result.cost + offers[best]->cost;
        if (best == SIZE_MAX || result.cost > limit) {
            if (!right.guaranteed && request.maxPerMinion == 0) {
                m_bounds[{request.group, rack}].push_back({right.priority, request.need, request.members, result.cost});
            }
            return std::nullopt;
        }
        // 4. What is stopped for this member frees room on all minions of its unit.
        const std::vector<std::size_t> victims = offers[best]->victims;
        for (const std::size_t v : victims) {
            result.victims.insert(v);
            for (const std::size_t m : m_active[v].minions) {
                room[m] += m_active[v].need;
                offers[m].reset();
            }
        }
        room[best] -= request.need;
        offers[best].reset();
        ++taken[best];
        result.chosen.push_back(best);
    }
    return result;
}

Preemption::Offer Preemption::offerOf(std::size_t minion, Resources room, const Resources &need, const StopRight &right,
                                      const std::set<std::size_t> &victims) const
{
    Offer offer;
    if (room.covers(need)) {
        return offer;
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t v : m_activeOn[minion]) {
        if (!victims.contains(v) && mayStop(right, m_active[v])) {
            order.emplace_back(m_stopCosts[v], v);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, v] : order) {
        const ActiveUnit &victim = m_active[v];
        for (const std::size_t at : victim.minions) {
            if (at == minion) {
                room += victim.need;
            }
        }
        offer.cost += cost;
        offer.victims.push_back(v);
        if (room.covers(need)) {
            return offer;
        }
    }
    return {NO_ROOM, {}};
}

void Preemption::stop(const PreemptedRoom &room)
{
    for (const std::size_t v : room.victims) {
        ActiveUnit &victim = m_active[v];
        victim.stopping = true;
        for (const std::size_t m : victim.minions) {
            m_fleet.addSoon(m, victim.need);
        }
    }
}

} // namespace Papaya
