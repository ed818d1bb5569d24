#pragma once

#include "process/ledger.h"
#include "version/guaranteemap.h"
#include "version/placement.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Input, output and interface of a planning pass: from the waiting gangs, the running gangs and the fleet to the
// decisions that the planner executes. The code is deterministic: it reads no clock and does no I/O.

namespace Papaya
{

/** The owner of a gang and the resources that it requests. */
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
    std::int64_t submittedMs = 0; ///< milliseconds since the Unix epoch
    std::int64_t runMs = 0;       ///< expected run time
    std::set<WorkerIndex> avoid;  ///< workers that failed to prepare, start or complete a part of it
};

/** A gang that is placed on workers. */
struct RunningGang : GangDemand {
    PartWorkers workers;
    bool guaranteed = false;
    bool stopping = false;
    std::int64_t startedMs = 0; ///< milliseconds since the Unix epoch
    std::int64_t runMs = 0;     ///< expected run time

    /** @return true if the gang may be stopped in favour of another one. */
    [[nodiscard]] bool preemptible() const
    {
        return !guaranteed && restart != RestartRule::Never;
    }
    /**
     * @param nowMs milliseconds since the Unix epoch
     * @return when the gang is expected to end, in milliseconds since the Unix epoch. A gang that has exceeded its
     * expected run time is expected to run for another half of the time that it has run so far.
     */
    [[nodiscard]] std::int64_t expectedEndMs(std::int64_t nowMs) const;
};

/** The input of a planning pass. */
struct PlanningView {
    FleetModel fleet;                 ///< every listed worker, with all of its capacity free
    std::vector<WaitingGang> waiting; ///< in submission order
    std::vector<RunningGang> running;
    std::vector<TeamGuarantee> guarantees;
    std::map<TeamName, std::uint32_t> weights;
    /** Percent of contended capacity kept for each urgency. */
    std::array<std::uint32_t, URGENCY_COUNT> floors {70, 25, 5};
    std::int64_t nowMs = 0; ///< milliseconds since the Unix epoch
};

/** Why a gang was not placed. */
enum class WaitCause {
    NoCapacity,          ///< no group of workers has enough free capacity
    Reserved,            ///< as NoCapacity, and workers are reserved for the gang as they become free
    WouldBreakGuarantee, ///< the gang may not be restarted, so it could not yield capacity that a guarantee needs
    ReservedForOthers,   ///< the free capacity is reserved for gangs ahead of it
    Reclaiming,          ///< borrowing gangs are being stopped for it
    NeverFits,           ///< it does not fit on an empty fleet
};

/** Why a gang waits. */
struct WaitReason {
    JobId job;
    WaitCause cause = WaitCause::NoCapacity;
    std::int64_t expectedStartMs = 0; ///< of a gang with a reservation, in milliseconds since the Unix epoch; else 0
};

/** A gang to be started. */
struct PlaceDecision {
    JobId job;
    PartWorkers workers;
    bool guaranteed = false;
};

/** A gang to be stopped in favour of another. */
struct StopDecision {
    JobId job;
    JobId beneficiary;
    bool move = false; ///< stopped to be placed elsewhere, so that the beneficiary gets workers close together
};

/** The result of a planning pass. */
struct ScheduleDecision {
    std::vector<PlaceDecision> placements;
    std::vector<StopDecision> stops;
    std::vector<WaitReason> waits;
    std::vector<GuaranteedGang> brokenGuarantees; ///< guarantees that the fleet cannot satisfy now
};

/** Decides the order in which gangs are placed, their workers, and which gangs are stopped for them. */
class SchedulingPolicy
{
public:
    virtual ~SchedulingPolicy() = default;
    /** @return the decisions of one pass; the caller must execute them. */
    virtual ScheduleDecision plan(const PlanningView &view) = 0;
};

/** Places every gang that fits, in order of urgency and then of submission, and stops none. The baseline policy. */
class FifoScheduling : public SchedulingPolicy
{
public:
    explicit FifoScheduling(std::unique_ptr<PlacementPolicy> placement);
    ScheduleDecision plan(const PlanningView &view) override;

private:
    std::unique_ptr<PlacementPolicy> m_placement;
};

/** @return a description of @p cause for operators. */
const char *toString(WaitCause cause);

/** @return the fleet of @p view without the capacity that its running gangs use. */
FleetModel occupiedFleet(const PlanningView &view);

} // namespace Papaya
