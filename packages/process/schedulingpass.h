#pragma once

#include "process/guaranteescheduling.h"

#include <algorithm>

// The state of one planning pass: the fleet as capacity is allocated step by step, the use of each team and caller, and
// the decision so far.

namespace Papaya
{

/** Key of a queue of waiting gangs; gangs in one queue are served in submission order. */
struct QueueKey {
    Urgency urgency = Urgency::Normal;
    TeamName team;
    CallerName caller;

    auto operator<=>(const QueueKey &) const = default;
};

/** A shape that could not be placed, and the run time of the gang that was tried. */
struct FailedShape {
    Shape shape;
    std::int64_t runMs = 0;
};

/** The state of one pass. */
struct GuaranteeScheduling::Pass {
    explicit Pass(const PlanningView &planningView)
        : view(planningView)
        , free(occupiedFleet(planningView))
        , reclaimable(planningView.fleet)
    {
        for (std::size_t i = 0; i < view.running.size(); ++i) {
            const RunningGang &gang = view.running[i];
            if (!gang.preemptible()) {
                reclaimable.allocateAll(gang.workers, gang.shape.part);
            }
            for (const WorkerIndex worker : gang.workers) {
                gangsByWorker[worker].insert(i);
            }
            countUse(gang.urgency, gang.team, gang.caller, gang.shape.totalGpus());
        }
    }

    void countUse(Urgency urgency, const TeamName &team, const CallerName &caller, std::int64_t gpus)
    {
        gpusByUrgency[static_cast<std::size_t>(urgency)] += gpus;
        gpusByTeam[team] += gpus;
        gpusByCaller[{team, caller}] += gpus;
    }

    /** @return the cost of stopping the running gang @p index; 0 if it is already being stopped. */
    [[nodiscard]] std::int64_t stopCost(std::size_t index) const;
    /** @return true if the running gang @p index may be stopped for @p gang: any preemptible gang if @p guaranteed,
     * else only a less urgent preemptible gang. */
    [[nodiscard]] bool mayStopFor(std::size_t index, const WaitingGang &gang, bool guaranteed) const;
    /** @return the running gangs with a part on @p worker. */
    [[nodiscard]] const std::set<std::size_t> &gangsOn(WorkerIndex worker) const;

    /** @return the number of unused guarantees that could not be satisfied, even by stopping all preemptible gangs. */
    [[nodiscard]] std::size_t brokenCount() const
    {
        return assignGuarantees(reclaimable, unusedGuarantees).broken.size();
    }

    /** @return true if at most @p allowed unused guarantees are unsatisfiable once each of @p workers runs a part that
     *  takes @p part and cannot be stopped. */
    [[nodiscard]] bool keepsGuarantees(const PartWorkers &workers, const Resources &part, std::size_t allowed) const
    {
        FleetModel fleet = reclaimable;
        fleet.allocateAll(workers, part);
        return assignGuarantees(fleet, unusedGuarantees).broken.size() <= allowed;
    }

    /** @return the accelerators that the team uses, divided by its weight; the team with the lower value goes first. */
    [[nodiscard]] double teamShare(const TeamName &team) const
    {
        const auto weight = view.weights.find(team);
        const auto used = gpusByTeam.find(team);
        const double divisor = weight == view.weights.end() ? 1.0 : weight->second;
        return used == gpusByTeam.end() ? 0.0 : static_cast<double>(used->second) / divisor;
    }

    /** @return true if queue @p a is served before queue @p b: first the urgency that uses least relative to its floor,
     *  then the team with the lowest weighted use, then the caller with the lowest use. */
    [[nodiscard]] bool servedBefore(const QueueKey &a, const QueueKey &b) const
    {
        if (a.urgency != b.urgency) {
            const auto bandUse = [&](Urgency urgency) {
                const auto band = static_cast<std::size_t>(urgency);
                return static_cast<double>(gpusByUrgency[band] + 1) / std::max(1U, view.floors[band]);
            };
            return bandUse(a.urgency) < bandUse(b.urgency);
        }
        if (a.team != b.team) {
            const double shareA = teamShare(a.team);
            const double shareB = teamShare(b.team);
            return shareA != shareB ? shareA < shareB : a.team < b.team;
        }
        const auto callerUse = [&](const QueueKey &key) {
            const auto used = gpusByCaller.find({key.team, key.caller});
            return used == gpusByCaller.end() ? 0 : used->second;
        };
        const std::int64_t useA = callerUse(a);
        const std::int64_t useB = callerUse(b);
        return useA != useB ? useA < useB : a.caller < b.caller;
    }

    /** @return true if a gang of the same shape with the same or a shorter expected run time could not be placed in
     * this pass, so that @p gang cannot be placed either. */
    [[nodiscard]] bool knownNotToFit(const WaitingGang &gang) const
    {
        return std::any_of(failed.begin(), failed.end(), [&](const FailedShape &entry) {
            return entry.shape == gang.shape && gang.runMs >= entry.runMs;
        });
    }

    const PlanningView &view;
    FleetModel free;                                            ///< capacity that is neither used nor held
    FleetModel reclaimable;                                     ///< capacity that is free or used by preemptible gangs
    std::map<WorkerIndex, std::set<std::size_t>> gangsByWorker; ///< indices into view.running
    std::vector<GuaranteedGang> unusedGuarantees;               ///< guarantees that no gang uses
    std::vector<const WaitingGang *> borrowers;                 ///< waiting gangs outside their team's guarantees
    std::vector<Reservation> reservations;
    std::vector<FailedShape> failed;
    std::set<std::size_t> stopped; ///< indices into view.running
    std::array<std::int64_t, URGENCY_COUNT> gpusByUrgency {};
    std::map<TeamName, std::int64_t> gpusByTeam;
    std::map<std::pair<TeamName, CallerName>, std::int64_t> gpusByCaller;
    ScheduleDecision decision;
};

} // namespace Papaya
