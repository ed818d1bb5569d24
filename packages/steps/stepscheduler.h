#pragma once

#include "steps/admissionturns.h"
#include "steps/deploymentconfig.h"
#include "steps/headroom.h"
#include "steps/idlejobs.h"
#include "steps/jobtable.h"
#include "steps/placementpreference.h"
#include "steps/preemption.h"
#include "steps/runtimes.h"
#include "steps/startwindow.h"
#include "steps/ticketbook.h"
#include "steps/timeliness.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Decides in one scheduling pass which units start on which minions, and which running units are preempted. The
// scheduler reads no clock and does no I/O; the same input gives the same decisions.
//
// Steps are scheduled in this order: guaranteed work, which is urgent work (priority 0) of a team within its GPU
// guarantee, then all other work; within both, work in time before late and late before expired work, then by priority
// and by submission time. Units that do not fit wait, and units after them may use the free capacity. Urgent work that
// does not fit preempts other units if it is guaranteed or in time; the capacity that they release is reserved for it.
// Guaranteed work that still finds no room may reclaim capacity from long-running and nearly done units, see reclaim.h.
// For a while, less urgent work leaves as many GPUs free as were preempted, see Headroom, and rack-bound work waits for
// a rack. The starts under way are limited as well, see StartWindow. Such waits by choice are limited: if nothing of a
// job runs, one unit of it is soon placed wherever it fits, as long as the free capacity holds it twice. For that it
// may use minions that are otherwise kept from new work, if no other has room.
//
// If its queue has an admission oracle, a step starts only on minions that the oracle has admitted. For a unit that
// finds no capacity on these, the pass returns a query about further minions.

namespace Papaya
{

/** Input of a scheduling pass. */
struct PlanInput {
    const JobTable &jobs;
    const DeploymentConfig &config;
    const RunTimes &times;
    const TicketBook &tickets;
    std::vector<MinionView> minions;
    std::vector<ActiveUnit> active;
    std::set<UnitKey> heldBack;                     ///< units that must not start in this pass, after a failed start
    std::map<UnitKey, std::vector<MinionId>> avoid; ///< minions on which a unit has failed or got stuck
    std::int64_t nowMs = 0;                         ///< milliseconds since 1970
    std::int64_t steadyMs = 0;                      ///< steady clock by which tickets expire
    Headroom headroom = {};                         ///< GPUs that less urgent work leaves free
    const IdleJobs *idleJobs = nullptr;             ///< since when jobs stand still; null if unknown
    std::vector<const PlacementPreference *> preferences = {}; ///< order minions that have room for a unit
    std::map<StepKey, DisruptionBudget> budgets = {};          ///< of long-running steps with a disruption budget
    /** How many tasks of a step run on a minion beside those of its placed units, until they have been stopped. */
    std::map<StepKey, std::map<MinionId, std::uint32_t>> strays = {};
    StartWindow startWindow = {}; ///< the starts that are under way before the pass
};

/** A query to the admission oracle: which of these minions may run the step? */
struct AdmissionQuery {
    AdmissionRequest request;
    std::vector<MinionId> minions;
};

/** A unit to start. */
struct UnitStart {
    UnitKey unit;
    std::vector<std::size_t> minions; ///< minion of each member, as an index into PlanInput::minions
};

/** A unit to preempt. */
struct UnitStop {
    UnitKey unit;
    UnitKey beneficiary;    ///< unit that gets the released capacity
    bool reclaimed = false; ///< it is spared unless guaranteed work finds no other room
};

/** Output of a scheduling pass. */
struct PlanDecisions {
    std::vector<UnitStart> starts;
    std::vector<UnitStop> stops;
    std::vector<AdmissionQuery> admissionQueries; ///< in scheduling order
    bool windowFull = false; ///< a unit has waited for the confirmation of starts that are under way
};

/** @return the resources reserved on a minion for a task of @p step; no cores for a filling task. */
Resources countedNeed(const StepSpec &step);

/**
 * @return the service that runs tasks of @p job: the one configured for its queue, or, if the queue no longer exists,
 * the one at submission.
 */
const ServiceName &serviceOf(const DeploymentConfig &config, const StepJob &job);

/** Runs one scheduling pass. */
PlanDecisions planSteps(PlanInput input);

} // namespace Papaya
