#pragma once

#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"
#include "version/fleetconfig.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

// The records of the journal. A record states a fact or a decision; the ledger decides whether it is accepted or void.

namespace Papaya
{

/** A submitted job. The record carries all that a planner needs, so later configuration changes do not affect it. */
struct JobSubmitted {
    JobId job;
    TeamName team;
    CallerName caller;
    TemplateName templateName;
    std::string parametersJson;
    Urgency urgency = Urgency::Normal;
    RestartRule restart = RestartRule::Scratch;
    Shape shape;
    Millis run {0};         ///< declared run time
    Millis deadline {0};    ///< counted from the submission; 0 for none
    std::string key;        ///< idempotency key, or empty
    std::string bodyDigest; ///< detects a reused key with a different body
};

/** A caller has requested that a job be cancelled. */
struct CancelRequested {
    JobId job;
};

/** An instance claims the planner role for the next epoch. */
struct PlannerClaim {
    Epoch epoch;
    std::string address; ///< peer listener of the instance
};

/** Heartbeat of the planner. */
struct PlannerHeartbeat {
    Epoch epoch;
};

/** The planner gives up its role. */
struct PlannerResigned {
    Epoch epoch;
};

/** A gang is assigned to workers; its parts may be prepared. */
struct Placed {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
    std::vector<WorkerId> workers; ///< of each part
    bool guaranteed = false;       ///< within the team's guarantee, so not stopped in favour of other gangs
};

/** Every part is prepared; the parts may be run. */
struct Committed {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
};

/** Every part has confirmed that it is running. */
struct Started {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
};

/** Why a gang released its workers before it finished. */
enum class ReleaseReason { PrepareFailed, StartFailed, PartLost, PartFailed, Preempted, Moved };

/** An attempt has ended without an outcome; the job waits for workers again. */
struct Released {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
    ReleaseReason reason = ReleaseReason::PrepareFailed;
    std::vector<std::string> checkpoints; ///< of each part; empty if there are none
    WorkerId failedWorker;                ///< worker that failed to prepare, start or complete its part, or empty
};

/** How a job ended. */
enum class JobOutcome { Succeeded, Failed, Cancelled };

/** A job has ended. */
struct Finished {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
    JobOutcome outcome = JobOutcome::Succeeded;
    std::string reason;
};

/** Whether the fleet could hold a job at all, even if nothing else were running. */
struct Feasibility {
    Epoch epoch;
    JobId job;
    bool fits = true;
    std::string reason;
};

/** Whether a worker is given new work: only workers in good standing are. */
enum class Standing { Good, Quarantined, Draining };

/** A worker's standing has changed. */
struct WorkerStanding {
    Epoch epoch; ///< 0 for a change made by an operator
    WorkerId worker;
    Standing standing = Standing::Good;
};

using JournalRecord = std::variant<JobSubmitted, CancelRequested, PlannerClaim, PlannerHeartbeat, PlannerResigned,
                                   Placed, Committed, Started, Released, Finished, Feasibility, WorkerStanding>;

/** @return the JSON form of @p record, as stored in the journal. */
nlohmann::json toJsonValue(const JournalRecord &record);

/** Parses the JSON form. @return the record, or the errors if @p value is not a record */
Result<JournalRecord> parseJournalRecord(const nlohmann::json &value);

/** @return the name of @p reason in records, logs and explanations. */
const char *toString(ReleaseReason reason);
/** @return the name of @p outcome in records and logs. */
const char *toString(JobOutcome outcome);
/** @return the name of @p standing in records, logs and responses. */
const char *toString(Standing standing);

} // namespace Papaya
