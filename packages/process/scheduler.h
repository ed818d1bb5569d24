#pragma once

#include "process/ledger.h"
#include "process/placement.h"

#include <memory>
#include <string>
#include <vector>

// One pass of planning: from the ledger and the fleet to the decisions that the planner carries out. Pure decision
// code.

namespace Papaya
{

/** A gang to be started. */
struct PlaceDecision {
    JobId job;
    std::vector<WorkerId> workers; ///< by part
    bool guaranteed = false;
};

/** A change in whether a job can be placed at all. */
struct FitnessDecision {
    JobId job;
    bool fits = true;
    std::string reason;
};

/** What one pass decided. */
struct ScheduleDecision {
    std::vector<PlaceDecision> placements;
    std::vector<JobId> preemptions;
    std::vector<FitnessDecision> fitness;
};

/** @return the fleet with everything taken that the ledger's placed jobs hold. */
FleetModel occupiedFleet(FleetModel fleet, const Ledger &ledger);

/** The planning pass. */
class Scheduler
{
public:
    explicit Scheduler(std::unique_ptr<PlacementPolicy> policy);

    /** @param fleet every listed worker, wholly free */
    ScheduleDecision plan(const Ledger &ledger, const FleetModel &fleet);

private:
    std::unique_ptr<PlacementPolicy> m_policy;
};

} // namespace Papaya
