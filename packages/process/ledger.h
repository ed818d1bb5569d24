#pragma once

#include "base/result.h"
#include "process/journalrecord.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The state machine behind the journal. Every instance applies the same records in the same order, so that all agree
// on each job's state, on who the planner is, and on which decisions are void.

namespace Papaya
{

/** State of a job as callers see it. */
enum class JobState { Queued, Preparing, Running, Preempted, Succeeded, Failed, Cancelled, Unschedulable };

/** @return true if a job in @p state will never run again. */
constexpr bool isFinal(JobState state)
{
    return state == JobState::Succeeded || state == JobState::Failed || state == JobState::Cancelled;
}

/** A job and its gang. */
struct Job {
    JobSubmitted spec;
    JobState state = JobState::Queued;
    std::int64_t submittedMs = 0; ///< all times by the log service's clock
    std::int64_t startedMs = 0;
    std::int64_t endedMs = 0;
    std::uint32_t attempt = 0;     ///< counts placements, from 1
    std::vector<WorkerId> workers; ///< by part, while placed
    bool committed = false;
    bool guaranteed = false;
    bool cancelRequested = false;
    std::vector<std::string> checkpoints; ///< by part, of the last attempt that left any
    std::set<WorkerId> failedWorkers;     ///< workers on which a part failed
    std::uint32_t failures = 0;           ///< attempts that ended by a failed part
    std::uint32_t preemptions = 0;
    std::string reason;

    /** @return true if workers may hold parts of this job. */
    [[nodiscard]] bool placed() const
    {
        return !workers.empty();
    }
};

/** Who holds the planner's role. */
struct PlannerRole {
    Epoch epoch;
    InstanceId holder;
    Incarnation incarnation;
    std::string address;
    std::int64_t lastHeartbeatMs = 0;
    bool resigned = false;
};

/** Identity of the instance that appended a record. */
struct RecordOrigin {
    InstanceId writer;
    Incarnation incarnation;
    std::int64_t timeMs = 0; ///< by the log service's clock
};

/** What became of a record. */
struct ApplyResult {
    bool accepted = false;
    /** Why the record is void; empty if it counts. */
    const char *reason = "";
};

/** The ledger. */
class Ledger
{
public:
    /** Applies the next record of the journal; a void record changes nothing. */
    ApplyResult apply(const JournalRecord &record, const RecordOrigin &origin);

    /** @return a number that rises with each record that counts and is more than a sign of life. */
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }
    /** @return the jobs that have ended, by the time of their end. */
    [[nodiscard]] const std::set<std::pair<std::int64_t, JobId>> &ended() const
    {
        return m_ended;
    }
    /** @return the job, or null. */
    [[nodiscard]] const Job *job(const JobId &id) const;
    /** @return the job that the team submitted under @p key, or null. */
    [[nodiscard]] const Job *jobByKey(const TeamName &team, const std::string &key) const;
    /** @return every job that is kept. */
    [[nodiscard]] const std::map<JobId, Job> &jobs() const
    {
        return m_jobs;
    }
    /** @return the jobs that have not ended, in the order of their submission. */
    [[nodiscard]] const std::set<std::pair<std::uint64_t, JobId>> &active() const
    {
        return m_active;
    }
    /** @return how many jobs of @p team wait. */
    [[nodiscard]] std::size_t waitingJobs(const TeamName &team) const;
    [[nodiscard]] const PlannerRole &planner() const
    {
        return m_planner;
    }
    [[nodiscard]] Standing standing(const WorkerId &worker) const;
    [[nodiscard]] const std::map<WorkerId, Standing> &standings() const
    {
        return m_standings;
    }

    /** @return the whole state, from which fromJson() makes an equal ledger. */
    [[nodiscard]] nlohmann::json toJsonValue() const;
    static Result<Ledger> fromJson(const nlohmann::json &value);

    /** @return a digest of the whole state; equal at the same offset on every instance. */
    [[nodiscard]] std::string digest() const;

private:
    ApplyResult applyRecord(const JobSubmitted &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const CancelRequested &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const PlannerClaim &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const PlannerHeartbeat &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const PlannerResigned &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Placed &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Committed &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Started &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Released &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Finished &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const Feasibility &record, const RecordOrigin &origin);
    ApplyResult applyRecord(const WorkerStanding &record, const RecordOrigin &origin);

    [[nodiscard]] bool isFromPlanner(Epoch epoch, const RecordOrigin &origin) const;
    Job *attemptInProgress(Epoch epoch, const JobId &id, std::uint32_t attempt, const RecordOrigin &origin);
    void endJob(Job &job, JobState state, std::string reason, std::int64_t timeMs);
    void evictEndedJobs(std::int64_t nowMs);

    std::map<JobId, Job> m_jobs;
    std::map<JobId, std::uint64_t> m_submissionNumbers; ///< of submission
    std::set<std::pair<std::uint64_t, JobId>> m_active; ///< by order
    std::map<std::pair<TeamName, std::string>, JobId> m_jobsByKey;
    std::set<std::pair<std::int64_t, JobId>> m_ended; ///< by time of the end
    std::map<WorkerId, Standing> m_standings;
    PlannerRole m_planner;
    std::uint64_t m_nextSubmissionNumber = 1;
    std::uint64_t m_revision = 0; ///< not part of the state
};

/** @return the word for @p state in answers and logs. */
const char *toString(JobState state);

} // namespace Papaya
