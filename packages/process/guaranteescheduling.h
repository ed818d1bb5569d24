#pragma once

#include "process/schedulingpolicy.h"

// Scheduling under team guarantees: guaranteed demand first and at the cost of borrowed work, the rest by floors and
// fair shares, with room kept for large gangs that wait.

namespace Papaya
{

/** Limits of the policy. */
struct GuaranteeSchedulingLimits {
    std::size_t reservations = 4;                 ///< gangs that workers are kept for at one time
    std::int64_t agingThresholdMs = 120 * 60'000; ///< a gang that waits longer goes before its band
    std::int64_t movesPerHour = 20;               ///< gangs that may be moved to bring free workers together
    std::int64_t holdTimeoutMs = 60'000;          ///< workers are kept this long for a gang that others are stopped for
};

/** The policy of the product. */
class GuaranteeScheduling : public SchedulingPolicy
{
public:
    explicit GuaranteeScheduling(GuaranteeSchedulingLimits limits = {});
    ScheduleDecision plan(const PlanningView &view) override;

private:
    /** Workers kept for a gang while others are being stopped for it. */
    struct Hold {
        std::vector<WorkerId> workerIds;
        PartWorkers workers; ///< indices of this pass
        Resources part;      ///< what each part takes
        std::int64_t sinceMs = 0;
        bool guaranteed = false;
    };

    /** A gang that workers are kept for as they come free. */
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
    /** Gives back what is kept for borrowers. @return true if anything was */
    bool dropBorrowerHolds(Pass &pass);
    bool placeFromHold(Pass &pass, const WaitingGang &gang, bool guaranteed);
    void hold(Pass &pass, const WaitingGang &gang, PartWorkers workers, bool guaranteed);
    bool reclaim(Pass &pass, const WaitingGang &gang, bool guaranteed, std::size_t allowedBroken);
    static std::optional<ReclaimOption> reclaimInGroup(const Pass &pass, const FleetModel &base,
                                                       const WorkerGroup &group, const WaitingGang &gang,
                                                       bool guaranteed);
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
    ShapeKeeping m_placement;
    std::map<JobId, Hold> m_holds;
    double m_moveTokens;
    std::int64_t m_lastPassMs = 0;
};

} // namespace Papaya
