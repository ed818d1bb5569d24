#pragma once

#include "process/schedulingpolicy.h"

// Scheduling under team guarantees. Gangs within a guarantee are placed first and may preempt borrowers, that is, gangs
// outside their team's guarantees. Borrowers are ordered by the floors of the urgencies and by fair shares; workers are
// reserved for borrowers that do not fit yet.

namespace Papaya
{

/** Limits of the policy. */
struct GuaranteeSchedulingLimits {
    std::size_t reservations = 4;                 ///< gangs with a reservation at one time
    std::int64_t agingThresholdMs = 120 * 60'000; ///< a borrower that waits longer is served before other borrowers
    std::int64_t movesPerHour = 20;               ///< gangs that may be moved to consolidate free workers
    std::int64_t holdTimeoutMs = 60'000;          ///< longest hold of workers for a gang while others are stopped
};

/** The policy that the planner uses. It keeps holds and the budget for moves from one pass to the next. */
class GuaranteeScheduling : public SchedulingPolicy
{
public:
    explicit GuaranteeScheduling(GuaranteeSchedulingLimits limits = {});
    ScheduleDecision plan(const PlanningView &view) override;

private:
    /** Workers held for a gang while other gangs on them are being stopped. */
    struct Hold {
        std::vector<WorkerId> workerIds;
        PartWorkers workers; ///< their indices in this pass
        Resources part;      ///< resources of each part
        std::int64_t sinceMs = 0;
        bool guaranteed = false;
    };

    /** Workers reserved for a gang until enough running gangs have ended; valid for one pass. */
    struct Reservation {
        JobId job;
        std::set<WorkerIndex> workers;
        std::int64_t startMs = 0;
    };

    struct Pass;
    struct ReclaimOption;

    void refreshHolds(Pass &pass);
    void placeGuaranteedGangs(Pass &pass);
    bool placeGuaranteed(Pass &pass, const WaitingGang &gang, const Shape &guaranteed);
    /** Releases the holds of borrowers. @return true if there were any */
    bool dropBorrowerHolds(Pass &pass);
    bool placeFromHold(Pass &pass, const WaitingGang &gang, bool guaranteed);
    void hold(Pass &pass, const WaitingGang &gang, PartWorkers workers, bool guaranteed);
    /** @param assigned workers to take if no others keep the guarantees; empty if there are none */
    bool reclaim(Pass &pass, const WaitingGang &gang, bool guaranteed, std::size_t allowedBroken,
                 const PartWorkers &assigned = {});
    static std::optional<ReclaimOption> reclaimInGroup(const Pass &pass, const FleetModel &base,
                                                       const WorkerGroup &group, const WaitingGang &gang,
                                                       bool guaranteed);
    static std::optional<ReclaimOption> reclaimAssigned(const Pass &pass, const FleetModel &base,
                                                        const PartWorkers &assigned, const WaitingGang &gang);
    static void chooseVictims(const Pass &pass, const WaitingGang &gang, bool guaranteed, ReclaimOption &option);
    [[nodiscard]] std::optional<ReclaimOption> consolidateInGroup(const Pass &pass, const WorkerGroup &group,
                                                                  const WaitingGang &gang) const;
    void placeBorrowers(Pass &pass);
    void placeBorrower(Pass &pass, const WaitingGang &gang);
    bool reserve(Pass &pass, const WaitingGang &gang);
    bool consolidate(Pass &pass, const WaitingGang &gang);
    void recordPlacement(Pass &pass, const WaitingGang &gang, PartWorkers workers, bool guaranteed);
    void recordWait(Pass &pass, const WaitingGang &gang, WaitCause cause, std::int64_t startMs = 0);

    GuaranteeSchedulingLimits m_limits;
    LeastFragmentation m_placement;
    std::map<JobId, Hold> m_holds;
    double m_moveTokens;
    std::int64_t m_lastPassMs = 0;
};

} // namespace Papaya
