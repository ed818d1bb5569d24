#include "steps/placementsearch.h"

#include <algorithm>

namespace Papaya
{

namespace
{

// Weights of the terms of a placement score. Each term outweighs all that follow: a minion of last resort, a minion on
// which the unit has failed or got stuck, the penalty of the minion, the number of its tasks if that is high, the cost
// by the preferences, the GPUs that stay free, and the fraction of its memory that stays free. The fraction of its
// cores that stays free has weight 1.
constexpr double LAST_RESORT_SCORE = 1e11;
constexpr double AVOIDED_SCORE = 1e9;
constexpr double PENALTY_SCORE = 1e7;
constexpr double CROWD_SCORE = 1e6;
constexpr double PREFERENCE_SCORE = 1e5;
constexpr double GPU_SCORE = 100;
constexpr double MEMORY_SCORE = 10;
// Each poll of a minion lists all of its tasks. In steps of this many, tasks are spread over minions rather than
// packed.
constexpr std::uint32_t TASKS_OF_CROWD = 250;
constexpr std::uint32_t MAX_CROWDS = 9;

double shareOf(std::int64_t left, std::int64_t capacity)
{
    return double(left) / double(std::max<std::int64_t>(1, capacity));
}

} // namespace

std::uint32_t placedOn(const PlacementRequest &request, std::size_t minion)
{
    if (request.placed == nullptr) {
        return 0;
    }
    const auto found = request.placed->find(minion);
    return found == request.placed->end() ? 0 : found->second;
}

/** Scores the capacity that stays free once a member is placed on @p minion; lower is better. */
double PlacementSearch::placementScore(const PlacementRequest &request, const MinionView &minion) const
{
    const Resources &need = request.need;
    const bool avoided = request.avoid != nullptr
                         && std::find(request.avoid->begin(), request.avoid->end(), minion.id) != request.avoid->end();
    double score = (minion.usable ? 0 : LAST_RESORT_SCORE) + (avoided ? AVOIDED_SCORE : 0);
    score += PENALTY_SCORE * minion.penalty + CROWD_SCORE * std::min(minion.tasks / TASKS_OF_CROWD, MAX_CROWDS);
    if (request.job != nullptr && request.step != nullptr) {
        for (const PlacementPreference *preference : m_preferences) {
            score += PREFERENCE_SCORE * preference->cost(*request.job, *request.step, minion);
        }
    }
    score += GPU_SCORE * double(minion.free.gpus - need.gpus);
    score += MEMORY_SCORE * shareOf(minion.free.memoryMb - need.memoryMb, minion.capacity.memoryMb);
    score += shareOf(minion.free.cores - need.cores, minion.capacity.cores);
    return score;
}

bool PlacementSearch::isKnownInfeasible(const PlacementRequest &request, std::size_t rack) const
{
    const auto failedOn = [&](std::size_t where) {
        const auto failures = m_failures.find({request.group, where});
        return failures != m_failures.end()
               && std::any_of(failures->second.begin(), failures->second.end(), [&](const Failure &failure) {
                      return request.need.covers(failure.need) && request.members >= failure.members;
                  });
    };
    return failedOn(rack) || (rack != MinionGroup::ANY_RACK && failedOn(MinionGroup::ANY_RACK));
}

std::vector<std::size_t> PlacementSearch::find(const PlacementRequest &request, std::size_t rack)
{
    if (isKnownInfeasible(request, rack)) {
        return {};
    }
    // 1. Ranks the minions on which a member fits.
    std::vector<std::pair<double, std::size_t>> ranked;
    for (const std::size_t m : request.group->on(rack)) {
        if (m_fleet[m].free.covers(request.need)) {
            ranked.emplace_back(placementScore(request, m_fleet[m]), m);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    // 2. Places as many members on each as fit, the best minion first.
    std::vector<std::size_t> chosen;
    for (const auto &[score, m] : ranked) {
        Resources remaining = m_fleet[m].free;
        std::uint32_t membersHere = placedOn(request, m);
        while (chosen.size() < request.members && remaining.covers(request.need)
               && (request.maxPerMinion == 0 || membersHere < request.maxPerMinion)) {
            remaining -= request.need;
            ++membersHere;
            chosen.push_back(m);
        }
    }
    if (chosen.size() == request.members) {
        return chosen;
    }
    if (request.maxPerMinion == 0) {
        m_failures[{request.group, rack}].push_back({request.need, request.members});
    }
    return {};
}

} // namespace Papaya
