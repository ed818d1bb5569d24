#pragma once

#include "steps/deploymentconfig.h"
#include "steps/jobtable.h"
#include "steps/preemption.h"
#include "steps/runtimes.h"
#include "steps/ticketbook.h"
#include "steps/timeliness.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Decides which units start where and which are stopped for others. Pure: it reads no clock and does no I/O, and the
// same input gives the same decisions.
//
// Units are taken in this order: urgent work of a team within its guarantee; what can still be in time; what is late;
// what has lost its worth; and among these by priority, then by age. What does not fit waits, and what comes after it
// may fill the room. Urgent work that does not fit has less urgent work stopped; its room is then kept for it.
//
// Steps of an advised queue start only where the admission oracle has admitted them. Where that leaves no room, the
// pass names the minions to ask about.

namespace Papaya
{

/** What a pass decides upon. */
struct PlanInput {
    const JobTable &jobs;
    const DeploymentConfig &config;
    const RunTimes &times;
    const TicketBook &tickets;
    std::vector<MinionView> minions;
    std::vector<ActiveUnit> active;
    std::set<UnitKey> heldBack;                     ///< units that must not start now
    std::map<UnitKey, std::vector<MinionId>> avoid; ///< where a unit has failed
    std::int64_t nowMs = 0;                         ///< milliseconds since 1970
    std::int64_t steadyMs = 0;                      ///< the clock of the tickets
};

/** Minions that the admission oracle should be asked about. */
struct AdmissionQuery {
    StepKey step;
    std::vector<MinionId> minions;
};

struct UnitStart {
    UnitKey unit;
    std::vector<std::size_t> minions; ///< of the members, as indices of the views
};

struct UnitStop {
    UnitKey unit;
    UnitKey beneficiary;
};

struct PlanDecisions {
    std::vector<UnitStart> starts;
    std::vector<UnitStop> stops;
    std::vector<AdmissionQuery> admissionQueries; ///< in the order in which the steps are served
};

/** @return what a task of @p step takes of a minion; the cores of a task that fills are not counted. */
Resources countedNeed(const StepSpec &step);

/** @return the service that runs tasks of @p job: its queue's present one, or that of the submission if the queue is
 * gone. */
const ServiceName &serviceOf(const DeploymentConfig &config, const StepJob &job);

/** One pass. */
PlanDecisions planSteps(PlanInput input);

} // namespace Papaya
