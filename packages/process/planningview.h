#pragma once

#include "process/runtimeestimator.h"
#include "process/schedulingpolicy.h"
#include "process/sizeestimator.h"

#include <map>

// Makes what a planning pass decides by out of the ledger, the fleet and the attempts under way.

namespace Papaya
{

/** An attempt that the planner is driving. */
struct ActiveAttempt {
    std::vector<WorkerId> workers; ///< by part
    bool guaranteed = false;
    bool stopping = false;
};

/** Attempts by job. */
using ActiveAttempts = std::map<JobId, ActiveAttempt>;

/** What has been learned of jobs, since what they declare is far off. */
struct LearnedDemand {
    const RunTimeEstimator &runTimes;
    const SizeEstimator &sizes;
};

/**
 * Makes the view of a pass.
 * @param fleet every listed worker, wholly free
 * @param attempts attempts under way; one whose placement is not in the ledger yet takes its workers all the same
 * @param nowMs by the wall clock, in milliseconds since the Unix epoch
 */
PlanningView makePlanningView(FleetModel fleet, const FleetConfig &config, const Ledger &ledger,
                              const ActiveAttempts &attempts, const LearnedDemand &learned, std::int64_t nowMs);

} // namespace Papaya
