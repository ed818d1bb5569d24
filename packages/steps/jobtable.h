#pragma once

#include "steps/jobrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The state of all jobs, made from their records. Every node keeps one by following the journal; the planner changes
// its own first and writes the records behind it. Applying a record again changes nothing, so that a start from the
// newest records may overlap with the journal that follows them.

namespace Papaya
{

enum class StepJobState { Queued, Running, Completed, Failed, Cancelled };

/** @return the name of @p state for logs and callers. */
std::string_view toString(StepJobState state);

/** The units of one step in one occurrence. */
struct StepProgress {
    std::vector<UnitStatus> units; ///< one for a gang, else one for each task
    std::uint32_t done = 0;
};

/** One run of all steps of a job. */
struct OccurrenceProgress {
    std::vector<StepProgress> steps;
};

/** A job and how far it is. */
struct JobEntry {
    StepJob job;
    bool cancelled = false;
    std::uint32_t unitsLeft = 0;   ///< not done
    std::uint32_t unitsFailed = 0; ///< given up after all attempts
    std::uint32_t unitsStarted = 0;
    std::vector<OccurrenceProgress> occurrences;

    [[nodiscard]] StepJobState state() const;
    /** @return true if units of this job may still run. */
    [[nodiscard]] bool live() const;
    /** @return when @p occurrence may start, in milliseconds since 1970. */
    [[nodiscard]] std::int64_t dueMs(std::uint32_t occurrence) const;
    /** @return true if all steps that @p step depends on are done in @p occurrence. */
    [[nodiscard]] bool dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;
};

/** The state of all jobs. */
class JobTable
{
public:
    /** Applies @p record. A unit's record that comes before its job's is kept until the job comes. */
    void apply(const JobRecord &record);

    [[nodiscard]] const JobEntry *find(const JobId &id) const;
    /** @return the units of @p entry. */
    [[nodiscard]] static std::vector<UnitKey> unitsOf(const JobEntry &entry);
    /** @return the status of @p unit, or null if there is no such unit. */
    [[nodiscard]] const UnitStatus *find(const UnitKey &unit) const;
    /** @return the step that @p unit belongs to; must exist. */
    [[nodiscard]] const StepSpec &stepOf(const UnitKey &unit) const;

    /** @return all jobs that are known. */
    [[nodiscard]] const std::unordered_map<JobId, JobEntry> &jobs() const
    {
        return m_jobs;
    }
    /** @return ids of the jobs that may still run, in order of their submission time. */
    [[nodiscard]] const std::map<std::pair<std::int64_t, JobId>, JobEntry *> &live() const
    {
        return m_live;
    }

    /** @return how many unscheduled jobs of @p queue have not begun. */
    [[nodiscard]] std::size_t waiting(const QueueName &queue) const;
    /** @return the newest sign of a planner. */
    [[nodiscard]] const PlannerHeartbeat &planner() const
    {
        return m_planner;
    }
    /** @return the processor of the strongest node that has led. */
    [[nodiscard]] std::uint32_t strongestMilliCores() const
    {
        return m_strongestMilliCores;
    }
    /** @return the maintenance waves that have been begun. */
    [[nodiscard]] const std::map<WaveNumber, WaveProgress> &waves() const
    {
        return m_waves;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_jobs.size();
    }

private:
    void applySubmission(const StepJob &job);
    void forget(const JobId &id);
    void applyUnitChange(const UnitKey &key, const UnitStatus &status);
    void updateLive(JobEntry &entry);

    std::unordered_map<JobId, JobEntry> m_jobs;
    std::map<std::pair<std::int64_t, JobId>, JobEntry *> m_live;
    std::unordered_map<JobId, std::vector<JobRecord>> m_pendingRecords; ///< records of jobs that have not come yet
    PlannerHeartbeat m_planner;
    std::uint32_t m_strongestMilliCores = 0;
    std::map<WaveNumber, WaveProgress> m_waves;
};

} // namespace Papaya
