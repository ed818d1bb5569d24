#pragma once

#include "process/runtimebook.h"
#include "process/schedulingpolicy.h"
#include "process/sizebook.h"

#include <map>

// Builds the input of a planning pass from the ledger, the fleet and the attempts in progress.

namespace Papaya
{

/** An attempt that the planner is driving. */
struct ActiveAttempt {
    std::vector<WorkerId> workers; ///< of each part
    bool guaranteed = false;
    bool stopping = false;
};

/** The attempts in progress, by job. */
using ActiveAttempts = std::map<JobId, ActiveAttempt>;

/** Estimates from observed jobs, since declared run times and sizes are far off. */
struct LearnedDemand {
    const RunTimeEstimator &runTimes;
    const SizeEstimator &sizes;
};

/**
 * Builds the view of a pass.
 * @param fleet every listed worker, with all of its capacity free
 * @param attempts attempts in progress; an attempt uses its workers even if its placement is not in the ledger yet
 * @param nowMs wall clock time, in milliseconds since the Unix epoch
 */
PlanningView makePlanningView(FleetModel fleet, const FleetConfig &config, const Ledger &ledger,
                              const ActiveAttempts &attempts, const LearnedDemand &learned, std::int64_t nowMs);

} // namespace Papaya
