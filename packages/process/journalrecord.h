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

// The records of the journal. A record is a fact or a decision; whether it counts is decided by the ledger's rules.

namespace Papaya
{

/** A job as submitted; it carries all that a planner needs, so that later configurations do not change it. */
struct JobSubmitted {
    JobId job;
    TeamName team;
    CallerName caller;
    TemplateName templateName;
    std::string parametersJson;
    Urgency urgency = Urgency::Normal;
    RestartRule restart = RestartRule::Scratch;
    Shape shape;
    Millis run {0};
    Millis deadline {0};    ///< from submission; 0 for none
    std::string key;        ///< idempotency key, or empty
    std::string bodyDigest; ///< tells two submissions with one key apart
};

/** A caller asked for the end of a job. */
struct CancelRequested {
    JobId job;
};

/** An instance takes the planner's role. */
struct PlannerClaim {
    Epoch epoch;
    std::string address; ///< peer listener of the instance
};

/** The planner is alive. */
struct PlannerHeartbeat {
    Epoch epoch;
};

/** The planner gives its role up. */
struct PlannerResigned {
    Epoch epoch;
};

/** A gang has been assigned to workers; its parts may be prepared. */
struct Placed {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
    std::vector<WorkerId> workers; ///< by part
    bool guaranteed = false;       ///< within the team's guarantee, so never preempted
};

/** Every part is prepared; the gang will run. */
struct Committed {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
};

/** Every part has confirmed that it runs. */
struct Started {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
};

/** Why a gang gave its workers back before it finished. */
enum class ReleaseReason { PrepareFailed, StartFailed, PartLost, PartFailed, Preempted, Moved };

/** A gang has ended without an outcome; the job waits again. */
struct Released {
    Epoch epoch;
    JobId job;
    std::uint32_t attempt = 0;
    ReleaseReason reason = ReleaseReason::PrepareFailed;
    std::vector<std::string> checkpoints; ///< by part; empty if there are none
    WorkerId failedWorker;                ///< worker whose part failed, or empty
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

/** Whether a job can be placed on the fleet as it is at all. */
struct Feasibility {
    Epoch epoch;
    JobId job;
    bool fits = true;
    std::string reason;
};

/** Whether a worker gets new work. */
enum class Standing { Good, Quarantined, Draining };

/** A worker's standing has changed. */
struct WorkerStanding {
    Epoch epoch;
    WorkerId worker;
    Standing standing = Standing::Good;
};

using JournalRecord = std::variant<JobSubmitted, CancelRequested, PlannerClaim, PlannerHeartbeat, PlannerResigned,
                                   Placed, Committed, Started, Released, Finished, Feasibility, WorkerStanding>;

/** @return the wire form of @p record. */
nlohmann::json toJsonValue(const JournalRecord &record);

/** Parses the wire form; any value gives a record or a typed error. */
Result<JournalRecord> parseJournalRecord(const nlohmann::json &value);

/** @return the word for @p reason. */
const char *toString(ReleaseReason reason);
/** @return the word for @p outcome. */
const char *toString(JobOutcome outcome);
/** @return the word for @p standing. */
const char *toString(Standing standing);

} // namespace Papaya
