#pragma once

#include "process/guaranteescheduling.h"

#include <algorithm>

// What lives for one planning pass: the fleet as it is taken up step by step, what is used by whom, and the decision.

namespace Papaya
{

/** Waiting gangs that are ordered among each other by their submission alone. */
struct QueueKey {
    Urgency urgency = Urgency::Normal;
    TeamName team;
    CallerName caller;

    auto operator<=>(const QueueKey &) const = default;
};

/** A shape for which no room was found, and the shortest run time with which it was tried. */
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
                reclaimable.takeAll(gang.workers, gang.shape.part);
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

    /** @return what stopping the running gang @p index costs; one that is being stopped already costs nothing more. */
    [[nodiscard]] std::int64_t stopCost(std::size_t index) const;
    /** @return true if the running gang @p index may be stopped for @p gang: a guaranteed gang may take from any
     *  borrower, an urgent one only from less urgent borrowers. */
    [[nodiscard]] bool mayStopFor(std::size_t index, const WaitingGang &gang, bool guaranteed) const;
    /** @return the running gangs with a part on @p worker. */
    [[nodiscard]] const std::set<std::size_t> &gangsOn(WorkerIndex worker) const;

    /** @return how many of the guarantees that nothing uses cannot be had. */
    [[nodiscard]] std::size_t brokenCount() const
    {
        return assignGuarantees(reclaimable, unusedGuarantees).broken.size();
    }

    /** @return true if, with @p workers taken for good, no more than @p allowed guarantees cannot be had. */
    [[nodiscard]] bool keepsGuarantees(const PartWorkers &workers, const Resources &part, std::size_t allowed) const
    {
        FleetModel fleet = reclaimable;
        fleet.takeAll(workers, part);
        return assignGuarantees(fleet, unusedGuarantees).broken.size() <= allowed;
    }

    /** @return the share that decides between two queues of a band. */
    [[nodiscard]] double teamShare(const TeamName &team) const
    {
        const auto weight = view.weights.find(team);
        const auto used = gpusByTeam.find(team);
        const double divisor = weight == view.weights.end() ? 1.0 : weight->second;
        return used == gpusByTeam.end() ? 0.0 : static_cast<double>(used->second) / divisor;
    }

    /** @return true if queue @p a is served before queue @p b. */
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

    /** @return true if a gang that needs no more than @p gang has found no room in this pass. */
    [[nodiscard]] bool knownNotToFit(const WaitingGang &gang) const
    {
        return std::any_of(failed.begin(), failed.end(), [&](const FailedShape &entry) {
            return entry.shape == gang.shape && gang.runMs >= entry.runMs;
        });
    }

    const PlanningView &view;
    FleetModel free;                                            ///< what nothing holds
    FleetModel reclaimable;                                     ///< what is free or held by work that may be stopped
    std::map<WorkerIndex, std::set<std::size_t>> gangsByWorker; ///< indices into view.running
    std::vector<GuaranteedGang> unusedGuarantees;               ///< guaranteed gangs that nothing uses
    std::vector<const WaitingGang *> borrowers;
    std::vector<Reservation> reservations;
    std::vector<FailedShape> failed;
    std::set<std::size_t> stopped; ///< indices into view.running
    std::array<std::int64_t, URGENCY_COUNT> gpusByUrgency {};
    std::map<TeamName, std::int64_t> gpusByTeam;
    std::map<std::pair<TeamName, CallerName>, std::int64_t> gpusByCaller;
    ScheduleDecision decision;
};

} // namespace Papaya
