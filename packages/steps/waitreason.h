#pragma once

#include "steps/stepscheduler.h"

#include <string>

// Why a unit does not run, for callers and operators. Pure; it looks at the same input as the scheduler.

namespace Papaya
{

/** What a unit waits for. */
enum class WaitReason {
    None,         ///< it runs, or has ended
    JobEnded,     ///< the job was cancelled or given up
    NotDue,       ///< its occurrence comes later
    Dependencies, ///< earlier steps are not done
    HeldBack,     ///< a start of it has just failed
    NoMinion,     ///< no usable minion serves its queue and has its label
    TooLarge,     ///< no minion could hold one of its tasks if it were empty
    NoTicket,     ///< the admission oracle has admitted no minion, or not yet
    NoRoom,       ///< minions are full
    NextPass,     ///< nothing is in the way
};

/** @return the name of @p reason for logs and callers. */
std::string_view toString(WaitReason reason);

/** Why a unit does not run. */
struct WaitExplanation {
    WaitReason reason = WaitReason::None;
    std::string detail; ///< one sentence with the figures
};

/** @return why @p unit, which must exist, does not run. */
WaitExplanation explainWait(const PlanInput &input, const UnitKey &unit);

} // namespace Papaya
