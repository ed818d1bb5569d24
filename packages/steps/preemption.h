#pragma once

#include "steps/placementsearch.h"
#include "steps/reclaim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Selects the running units to preempt for more urgent work: those whose stop loses the least work. A burst of urgent
// work on a full fleet makes many such searches in one pass. A search that exceeds its cost limit therefore records a
// lower bound of the cost. A search that needs at least as much, has no more urgent priority and has a limit below the
// bound is skipped.
//
// If guaranteed work finds no room this way, findReclaiming() searches again with the units that are spared otherwise.

namespace Papaya
{

/** A placed unit of which at least one member has not ended. */
struct ActiveUnit {
    UnitKey key;
    TeamName team;
    std::uint32_t priority = 0;
    Resources need;                   ///< of one member
    std::vector<std::size_t> minions; ///< minion of each member, as an index into the fleet
    std::int64_t lossMs = 0;          ///< time lost by a stop: unsaved work, or the restore from a checkpoint
    bool stopping = false;
    bool preemptible = true; ///< false if it is spared unless guaranteed work finds no other room
    bool longRunning = false;
    std::uint32_t availableTasks = 0; ///< tasks of a long-running unit that its stop may make unavailable
    std::int64_t remainingMs = 0;     ///< expected remaining time of a unit that is nearly done
};

/** Which units may be preempted for a unit, and at what cost. */
struct PreemptionRights {
    std::uint32_t priority = 0; ///< units with a greater number, which are less urgent, may be preempted
    TeamName team;
    bool guaranteed = false; ///< units of other teams whose urgent work exceeds their guarantee may be preempted too
    double limit = 0;        ///< maximum of PreemptionPlan::cost
};

/** A placement, and the units to preempt for it. */
struct PreemptionPlan {
    double cost = 0;                 ///< core-seconds of lost work, plus a fixed cost per victim
    std::set<std::size_t> victims;   ///< indices of the active units
    std::set<std::size_t> awaited;   ///< the part of victims that end soon and need no stop
    std::vector<std::size_t> chosen; ///< minion of each member
};

/** @return the weight of @p need in cores; a GPU weighs as much as several cores. */
double equivalentCores(const Resources &need);

/** Finds units to preempt within one scheduling pass. */
class Preemption
{
public:
    /** @param borrowers teams whose urgent work exceeds their guarantee */
    Preemption(MinionFleet &fleet, std::vector<ActiveUnit> &active, std::set<TeamName> borrowers);

    /**
     * Searches each of @p racks, placing one member after another at the least cost.
     * @return the cheapest plan found, or nothing if every plan exceeds the limit of @p rights
     */
    std::optional<PreemptionPlan> find(const PlacementRequest &request, const std::vector<std::size_t> &racks,
                                       const PreemptionRights &rights);
    /**
     * Searches like find(), but also for long-running and nearly done units. To be called only if find() has found
     * nothing for guaranteed work. The fewest long-running units possible on each minion are stopped; nearly done units
     * that end within @p awaitedMs are waited for.
     * @param ledger what may be reclaimed; unchanged after the call
     */
    std::optional<PreemptionPlan> findReclaiming(const PlacementRequest &request, const std::vector<std::size_t> &racks,
                                                 const PreemptionRights &rights, ReclaimLedger &ledger,
                                                 std::int64_t awaitedMs);
    /** Marks the victims of @p plan as stopping. */
    void stop(const PreemptionPlan &plan);

private:
    /** Victims on one minion whose stop releases enough for one member. */
    struct VictimSelection {
        double cost = 0;
        std::vector<std::size_t> victims;
    };
    /** A lower bound, in core-seconds, of the cost of preemption for a request. */
    struct CostBound {
        std::uint32_t priority = 0;
        Resources need;
        std::size_t members = 1;
        double cost = 0;
    };
    /** What findReclaiming() may do in addition. */
    struct Reclaim {
        ReclaimLedger &ledger;
        std::int64_t awaitedMs = 0;
    };
    using SearchKey = std::pair<const MinionGroup *, std::size_t>;

    /** @param reclaim null in an ordinary search */
    std::optional<PreemptionPlan> findOnRack(const PlacementRequest &request, std::size_t rack,
                                             const PreemptionRights &rights, double limit, Reclaim *reclaim);
    [[nodiscard]] VictimSelection selectVictims(std::size_t minion, Resources available, const Resources &need,
                                                const PreemptionRights &rights, const std::set<std::size_t> &victims,
                                                Reclaim *reclaim) const;
    /** @return true if @p victim ends so soon that it is waited for. */
    [[nodiscard]] static bool isAwaited(const ActiveUnit &victim, const Reclaim &reclaim);
    /** @return the cost of the stop of unit @p v. */
    [[nodiscard]] double costOf(std::size_t v, const Reclaim *reclaim) const;
    /** Removes victims on @p minion that @p need does not require, beside @p available with all of them stopped. */
    void dropUnneeded(VictimSelection &selection, std::size_t minion, Resources available, const Resources &need,
                      Reclaim &reclaim) const;
    [[nodiscard]] Resources heldOn(std::size_t minion, std::size_t v) const;
    [[nodiscard]] bool mayPreempt(const PreemptionRights &rights, const ActiveUnit &victim,
                                  const Reclaim *reclaim) const;
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
