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

// The replicated state machine that the journal drives. Every instance applies the same records in the same order, so
// all instances agree on the state of each job, on which instance is the planner and on which records are void.

namespace Papaya
{

/** State of a job as shown to callers. */
enum class JobState { Queued, Preparing, Running, Preempted, Succeeded, Failed, Cancelled, Unschedulable };

/** @return true if @p state is terminal: the job will never run again. */
constexpr bool isFinal(JobState state)
{
    return state == JobState::Succeeded || state == JobState::Failed || state == JobState::Cancelled;
}

/** A job and the current attempt at running its gang. */
struct Job {
    JobSubmitted spec;
    JobState state = JobState::Queued;
    // Times are in milliseconds since the Unix epoch, by the log service's clock.
    std::int64_t submittedMs = 0;
    std::int64_t startedMs = 0;
    std::int64_t endedMs = 0;
    std::uint32_t attempt = 0;     ///< number of placements so far; 0 before the first
    std::vector<WorkerId> workers; ///< worker of each part while the job is placed, else empty
    bool committed = false;        ///< every part of this attempt is prepared
    bool guaranteed = false;       ///< placed within the team's guarantee
    bool cancelRequested = false;
    std::vector<std::string> checkpoints; ///< of each part, from the last attempt that left any
    std::set<WorkerId> failedWorkers;     ///< workers that failed to prepare, start or complete a part
    std::uint32_t failures = 0;           ///< attempts that ended because a part failed
    std::uint32_t preemptions = 0;        ///< attempts that were released after they had started
    std::string reason;                   ///< why the job is in its state, or empty

    /** @return true if the job is assigned to workers, which may therefore hold parts of it. */
    [[nodiscard]] bool placed() const
    {
        return !workers.empty();
    }
};

/** The instance that holds the planner role. */
struct PlannerRole {
    Epoch epoch; ///< 0 before the first claim
    InstanceId holder;
    Incarnation incarnation;
    std::string address;              ///< peer listener of the holder
    std::int64_t lastHeartbeatMs = 0; ///< milliseconds since the Unix epoch, by the log service's clock
    bool resigned = false;
};

/** Identity of the instance that appended a record. */
struct RecordOrigin {
    InstanceId writer;
    Incarnation incarnation;
    std::int64_t timeMs = 0; ///< of the append; milliseconds since the Unix epoch, by the log service's clock
};

/** Whether a record took effect. */
struct ApplyResult {
    bool accepted = false;
    /** Why the record is void; empty if it was accepted. */
    const char *reason = "";
};

/** The state of all jobs, of the planner role and of worker standings, as the journal's records define it. */
class Ledger
{
public:
    /**
     * Applies the next record of the journal.
     * @return whether the record was accepted; a void record changes nothing
     */
    ApplyResult apply(const JournalRecord &record, const RecordOrigin &origin);

    /** @return a number that increases with every accepted record except planner heartbeats. */
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }
    /** @return the retained jobs that have ended, ordered by end time in milliseconds. */
    [[nodiscard]] const std::set<std::pair<std::int64_t, JobId>> &ended() const
    {
        return m_ended;
    }
    /** @return the job, or null if it is unknown. */
    [[nodiscard]] const Job *job(const JobId &id) const;
    /** @return the job that the team submitted with the idempotency key @p key, or null if there is none. */
    [[nodiscard]] const Job *jobByKey(const TeamName &team, const std::string &key) const;
    /** @return all jobs: those that have not ended, and ended ones within the retention period. */
    [[nodiscard]] const std::map<JobId, Job> &jobs() const
    {
        return m_jobs;
    }
    /** @return the jobs that have not ended, in submission order. */
    [[nodiscard]] const std::set<std::pair<std::uint64_t, JobId>> &active() const
    {
        return m_active;
    }
    /** @return the number of jobs of @p team that wait for workers. */
    [[nodiscard]] std::size_t waitingJobs(const TeamName &team) const;
    /** @return the current planner role; its epoch is 0 before the first claim. */
    [[nodiscard]] const PlannerRole &planner() const
    {
        return m_planner;
    }
    /** @return the standing of @p worker; Good if the ledger has no other. */
    [[nodiscard]] Standing standing(const WorkerId &worker) const;
    /** @return the standings of all workers that are not in good standing. */
    [[nodiscard]] const std::map<WorkerId, Standing> &standings() const
    {
        return m_standings;
    }

    /** @return the complete state, from which fromJson() restores an equal ledger. */
    [[nodiscard]] nlohmann::json toJsonValue() const;
    /** @return the ledger that toJsonValue() serialized, or the errors in @p value. */
    static Result<Ledger> fromJson(const nlohmann::json &value);

    /** @return a digest of the complete state. At the same journal offset it is equal on every instance. */
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

    /** @return true if the current planner wrote the record, in its own epoch. */
    [[nodiscard]] bool isFromPlanner(Epoch epoch, const RecordOrigin &origin) const;
    /** @return the job if the record is from the current planner and @p attempt is the placed one, else null. */
    Job *attemptInProgress(Epoch epoch, const JobId &id, std::uint32_t attempt, const RecordOrigin &origin);
    void endJob(Job &job, JobState state, std::string reason, std::int64_t timeMs);
    void evictEndedJobs(std::int64_t nowMs);

    std::map<JobId, Job> m_jobs;
    std::map<JobId, std::uint64_t> m_submissionNumbers;
    std::set<std::pair<std::uint64_t, JobId>> m_active; ///< by submission number
    std::map<std::pair<TeamName, std::string>, JobId> m_jobsByKey;
    std::set<std::pair<std::int64_t, JobId>> m_ended; ///< by end time
    std::map<WorkerId, Standing> m_standings;
    PlannerRole m_planner;
    std::uint64_t m_nextSubmissionNumber = 1;
    std::uint64_t m_revision = 0; ///< local; in neither snapshots nor digests
};

/** @return the name of @p state in responses, logs and snapshots. */
const char *toString(JobState state);

} // namespace Papaya
