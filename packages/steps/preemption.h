#pragma once

#include "steps/placementsearch.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Which units are stopped so that more urgent work finds room: those whose stop loses least. Answers the pattern of
// urgent work that comes at once to a fleet full of other work. A search that was given up tells how much room costs at
// least, and is not repeated for work that asks for as much and may lose less. Pure.

namespace Papaya
{

/** A unit that has been placed and has not ended everywhere. */
struct ActiveUnit {
    UnitKey key;
    TeamName team;
    std::uint32_t priority = 0;
    Resources need;                   ///< of one member
    std::vector<std::size_t> minions; ///< of the members, as indices of the views
    std::int64_t lossMs = 0;          ///< what a stop costs: work that is not saved, or the restoring of it
    bool stopping = false;
    bool preemptible = true;
};

/** Whom a unit may have stopped. */
struct PreemptionRights {
    std::uint32_t priority = 0; ///< work of a lower urgency
    TeamName team;
    bool guaranteed = false; ///< also work that other teams run beyond their guarantee
    double limit = 0;        ///< core-seconds of other work that may be lost
};

/** Room that can be had by stopping units. */
struct PreemptionPlan {
    double cost = 0;                 ///< core-seconds that are lost
    std::set<std::size_t> victims;   ///< indices of the active units
    std::vector<std::size_t> chosen; ///< minions of the members
};

/** @return core-seconds for each second in which @p need is membersTaken; a GPU weighs as much as several cores. */
double equivalentCores(const Resources &need);

/** One pass's search for units to stop. */
class Preemption
{
public:
    /** @param borrowers teams that run more urgent work than they are guaranteed */
    Preemption(MinionFleet &fleet, std::vector<ActiveUnit> &active, std::set<TeamName> borrowers);

    /** @return the cheapest room on one of @p racks, if it costs no more than the limit. */
    std::optional<PreemptionPlan> find(const PlacementRequest &request, const std::vector<std::size_t> &racks,
                                       const PreemptionRights &rights);
    /** Counts the victims of @p plan as being stopped. */
    void stop(const PreemptionPlan &plan);

private:
    /** A minion's cheapest room for one member. */
    struct VictimSelection {
        double cost = 0;
        std::vector<std::size_t> victims;
    };
    /** Room for as much as this costs at least so many core-seconds. */
    struct CostBound {
        std::uint32_t priority = 0;
        Resources need;
        std::size_t members = 1;
        double cost = 0;
    };
    using SearchKey = std::pair<const MinionGroup *, std::size_t>;

    std::optional<PreemptionPlan> findOnRack(const PlacementRequest &request, std::size_t rack,
                                             const PreemptionRights &rights, double limit);
    [[nodiscard]] VictimSelection selectVictims(std::size_t minion, Resources available, const Resources &need,
                                                const PreemptionRights &rights,
                                                const std::set<std::size_t> &victims) const;
    [[nodiscard]] bool mayPreempt(const PreemptionRights &rights, const ActiveUnit &victim) const;
    [[nodiscard]] bool exceedsKnownBound(const PlacementRequest &request, std::size_t rack,
                                         const PreemptionRights &rights) const;

    MinionFleet &m_fleet;
    std::vector<ActiveUnit> &m_active;
    std::set<TeamName> m_borrowers;
    std::vector<std::vector<std::size_t>> m_activeOn; ///< units with members on each minion
    std::vector<double> m_stopCosts;
    std::map<SearchKey, std::vector<CostBound>> m_bounds;
};

} // namespace Papaya
