#pragma once

#include "process/ledger.h"
#include "version/guaranteemap.h"
#include "version/placement.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// One pass of planning: from what waits, what runs and the fleet to the decisions that the planner carries out. Pure
// decision code: it reads no clock and does no I/O.

namespace Papaya
{

/** Whose a gang is and what it asks for. */
struct GangDemand {
    JobId job;
    TeamName team;
    CallerName caller;
    Urgency urgency = Urgency::Normal;
    RestartRule restart = RestartRule::Scratch;
    Shape shape;
};

/** A gang that waits for workers. */
struct WaitingGang : GangDemand {
    std::int64_t submittedMs = 0;
    std::int64_t runMs = 0;      ///< expected, as learned
    std::set<WorkerIndex> avoid; ///< workers on which it failed
};

/** A gang that holds workers. */
struct RunningGang : GangDemand {
    PartWorkers workers;
    bool guaranteed = false;
    bool stopping = false;
    std::int64_t startedMs = 0;
    std::int64_t runMs = 0; ///< expected, as learned

    /** @return true if the gang may be stopped for another one. */
    [[nodiscard]] bool preemptible() const
    {
        return !guaranteed && restart != RestartRule::Never;
    }
    /** @return when the gang is expected to end; one that has overrun is expected to run on for half as long again. */
    [[nodiscard]] std::int64_t expectedEndMs(std::int64_t nowMs) const;
};

/** All that a pass decides by. */
struct PlanningView {
    FleetModel fleet;                 ///< every listed worker, wholly free
    std::vector<WaitingGang> waiting; ///< in the order of submission
    std::vector<RunningGang> running;
    std::vector<TeamGuarantee> guarantees;
    std::map<TeamName, std::uint32_t> weights;
    std::array<std::uint32_t, URGENCY_COUNT> floors {70, 25, 5};
    std::int64_t nowMs = 0;
};

/** Why a gang was not placed. */
enum class WaitCause {
    NoCapacity,          ///< no group of workers has enough free
    Reserved,            ///< as NoRoom, and workers are being kept for it
    WouldBreakGuarantee, ///< it may not be stopped, and would stand in the way of a guarantee
    ReservedForOthers,   ///< the room that is free is kept for a gang before it
    Reclaiming,          ///< borrowed work is being stopped for it
    NeverFits,           ///< not even an empty fleet would hold it
};

/** A gang that waits, and why. */
struct WaitReason {
    JobId job;
    WaitCause cause = WaitCause::NoCapacity;
    std::int64_t expectedStartMs = 0; ///< of a reserved gang
};

/** A gang to be started. */
struct PlaceDecision {
    JobId job;
    PartWorkers workers;
    bool guaranteed = false;
};

/** A gang to be stopped for another. */
struct StopDecision {
    JobId job;
    JobId beneficiary;
    bool move = false; ///< to be placed elsewhere at once, so that the beneficiary's workers lie together
};

/** What one pass decided. */
struct ScheduleDecision {
    std::vector<PlaceDecision> placements;
    std::vector<StopDecision> stops;
    std::vector<WaitReason> waits;
    std::vector<GuaranteedGang> brokenGuarantees;
};

/** How gangs are placed, in which order, and at whose cost. */
class SchedulingPolicy
{
public:
    virtual ~SchedulingPolicy() = default;
    virtual ScheduleDecision plan(const PlanningView &view) = 0;
};

/** Places what fits, by urgency and then by submission, and stops nothing; the baseline. */
class FifoScheduling : public SchedulingPolicy
{
public:
    explicit FifoScheduling(std::unique_ptr<PlacementPolicy> placement);
    ScheduleDecision plan(const PlanningView &view) override;

private:
    std::unique_ptr<PlacementPolicy> m_placement;
};

/** @return the word for @p cause in explanations. */
const char *toString(WaitCause cause);

/** @return the fleet of @p view with everything taken that its gangs hold. */
FleetModel occupiedFleet(const PlanningView &view);

} // namespace Papaya
