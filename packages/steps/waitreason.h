#pragma once

#include "steps/stepscheduler.h"

#include <string>

// Explains to callers and operators why a unit does not run, from the same input as the scheduler.

namespace Papaya
{

/** Reason why a unit does not run. */
enum class WaitReason {
    None,         ///< the unit runs or has ended
    JobEnded,     ///< the job was cancelled or has failed
    NotDue,       ///< its occurrence is not due yet
    Dependencies, ///< steps that it depends on are not done
    HeldBack,     ///< in back-off after a failed start
    NoMinion,     ///< no usable minion serves its queue and has the required label
    TooLarge,     ///< a task needs more than the capacity of any minion
    NoTicket,     ///< no minion has a valid ticket of the admission oracle
    NoCapacity,   ///< too little capacity is free
    SpreadLimit,  ///< enough is free, but not beyond the limit of tasks of its step on one minion
    Probation,    ///< enough is free only with minions on which runs have failed
    Upkeep,       ///< enough is free only with minions that are reserved for their upkeep
    Evacuated,    ///< enough is free only with minions of failure domains that are evacuated
    Headroom,     ///< the GPUs that are free stay free for urgent work for a while
    RackWait,     ///< enough is free, but on none of the racks that it is bound to
    NextPass,     ///< enough is free in total; the next pass decides
};

/** @return the name of @p reason for logs and callers. */
std::string_view toString(WaitReason reason);

/** Reason why a unit does not run, with details. */
struct WaitExplanation {
    WaitReason reason = WaitReason::None;
    std::string detail; ///< one phrase with the figures
};

/** Explains several waits from one input, which must outlive it. */
class WaitExplainer
{
public:
    explicit WaitExplainer(const PlanInput &input);
    WaitExplainer(const WaitExplainer &) = delete;
    WaitExplainer &operator=(const WaitExplainer &) = delete;

    /** @return why @p unit, which must exist, does not run; WaitReason::None if it does or has ended. */
    [[nodiscard]] WaitExplanation explain(const UnitKey &unit) const;

private:
    [[nodiscard]] WaitExplanation explainCapacity(const JobEntry &entry, const UnitKey &unit) const;

    const PlanInput &m_input;
    std::vector<MinionView> m_minions; ///< copy that m_fleet refers to
    MinionFleet m_fleet;
};

/** @return what a WaitExplainer says of @p unit. */
WaitExplanation explainWait(const PlanInput &input, const UnitKey &unit);

} // namespace Papaya
