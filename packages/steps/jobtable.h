#pragma once

#include "steps/jobrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The state of all jobs, built from their records. Every node maintains a table by following the journal; the planner
// applies its decisions to its own table first and then appends the records. Until the store has acknowledged such a
// record, a successor does not know of it, so the table also keeps the stored status of the unit: callers are told no
// other, and a planner that loses its role returns to it. Applying a record is idempotent, so a node may start from the
// newest record of each key and then replay journal entries that overlap with them.

namespace Papaya
{

enum class StepJobState { Queued, Running, Completed, Failed, Cancelled };

/** @return the name of @p state for logs and callers. */
std::string_view toString(StepJobState state);

/** How many units of a job are in which state. */
struct UnitCounts {
    std::uint32_t left = 0;    ///< not done
    std::uint32_t failed = 0;  ///< have failed on all attempts
    std::uint32_t started = 0; ///< have been placed at least once
    std::uint32_t begun = 0;   ///< of these, units of which a run may have begun
};

/** A job as its records in the store describe it, which is what callers may be told. */
struct StoredJobState {
    StepJobState state = StepJobState::Queued;
    UnitCounts units;

    /** @return true if units of this job may still run. */
    [[nodiscard]] bool live() const
    {
        return state == StepJobState::Queued || state == StepJobState::Running;
    }
};

/** Progress of one step in one occurrence of its job. */
struct StepProgress {
    std::vector<UnitStatus> units; ///< one for a gang, otherwise one for each task
    std::uint32_t done = 0;        ///< units that have succeeded
};

/** Progress of all steps in one occurrence of their job. */
struct OccurrenceProgress {
    std::vector<StepProgress> steps;
};

/** A job and its progress. */
struct JobEntry {
    StepJob job;
    bool cancelled = false;
    std::optional<std::int64_t> acceptedMs; ///< when it was accepted, by the steady clock of this node, if known
    UnitCounts units;
    std::vector<OccurrenceProgress> occurrences;

    [[nodiscard]] StepJobState state() const;
    /** @return true if units of this job may still run. */
    [[nodiscard]] bool live() const;
    /** @return when @p occurrence may start, in milliseconds since 1970; 0 for a job without a timetable. */
    [[nodiscard]] std::int64_t dueMs(std::uint32_t occurrence) const;
    /** @return true if all steps that @p step depends on are done in @p occurrence. */
    [[nodiscard]] bool dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;
};

/** A MinionSilence in force. */
struct SilenceSeen {
    Epoch since;                  ///< epoch of the planner that has recorded it
    std::uint32_t spell = 0;      ///< MinionSilence::spell
    std::int64_t readMs = 0;      ///< when this node has read it, by its steady clock
    std::int64_t startTimeMs = 0; ///< MinionSilence::startTimeMs

    [[nodiscard]] bool isSameRecord(const SilenceSeen &other) const
    {
        return since == other.since && spell == other.spell;
    }
};

/** The state of all jobs. */
class JobTable
{
public:
    /** Applies @p record. A unit change or cancellation that arrives before its job's submission is applied after it.
     */
    void apply(const JobRecord &record);

    /** Applies a decision whose record has not been stored yet. */
    void applyUnstored(const UnitChanged &change);
    /** Takes note that the record of an earlier applyUnstored() has been stored. */
    void confirmStored(const UnitChanged &change);
    /** Returns all units to their stored status. */
    void discardUnstored();
    /** @return the state of @p entry without the changes that have not been stored. */
    [[nodiscard]] StoredJobState stored(const JobEntry &entry) const;

    /** Applies @p record. @param steadyMs when it was read, by the steady clock of this node */
    void applySilence(const MinionSilence &record, std::int64_t steadyMs);
    /** Sets the times of records that @p earlier, a former table of this node, has read before. */
    void restoreSilences(const JobTable &earlier);
    /** @return since when a planner is known not to reach each minion of which it is known. */
    [[nodiscard]] const std::map<MinionId, SilenceSeen> &silences() const
    {
        return m_silences;
    }

    /** Sets when job @p id was accepted, by the steady clock of this node, unless that is known. */
    void setAccepted(const JobId &id, std::int64_t steadyMs);

    [[nodiscard]] const JobEntry *find(const JobId &id) const;
    /** @return the keys of all units of @p entry. */
    [[nodiscard]] static std::vector<UnitKey> unitsOf(const JobEntry &entry);
    /** @return the status of @p unit, or null if there is no such unit. */
    [[nodiscard]] const UnitStatus *find(const UnitKey &unit) const;
    /** @return the step of @p unit, which must exist. */
    [[nodiscard]] const StepSpec &stepOf(const UnitKey &unit) const;

    /** @return all jobs. */
    [[nodiscard]] const std::unordered_map<JobId, JobEntry> &jobs() const
    {
        return m_jobs;
    }
    /** @return the jobs that may still run, by submission time. */
    [[nodiscard]] const std::map<std::pair<std::int64_t, JobId>, JobEntry *> &live() const
    {
        return m_live;
    }

    /** @return how many jobs of @p queue have no timetable and of which no task has started. A placed task counts as
     * started until its start is known to have been refused. */
    [[nodiscard]] std::size_t waiting(const QueueName &queue) const;
    /** @return the newest announcement of a planner. */
    [[nodiscard]] const PlannerAnnouncement &planner() const
    {
        return m_planner;
    }
    /** @return the processor share of the strongest node that has been planner, in thousandths of a core. */
    [[nodiscard]] std::uint32_t strongestMilliCores() const
    {
        return m_strongestMilliCores;
    }
    /** @return the progress of all maintenance waves that have begun. */
    [[nodiscard]] const std::map<WaveNumber, WaveProgress> &waves() const
    {
        return m_waves;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_jobs.size();
    }

private:
    /** Status of a unit in the store, and how many of its changes have not been stored. */
    struct Unstored {
        UnitStatus stored;
        std::uint32_t changes = 0;
    };

    void applySubmission(const StepJob &job);
    void forget(const JobId &id);
    void applyUnitChange(const UnitKey &key, const UnitStatus &status);
    void updateLive(JobEntry &entry);

    std::unordered_map<JobId, JobEntry> m_jobs;
    std::map<std::pair<std::int64_t, JobId>, JobEntry *> m_live;
    std::unordered_map<JobId, std::vector<JobRecord>>
        m_pendingRecords; ///< records that arrived before the submission of their job
    std::map<UnitKey, Unstored> m_unstored;
    std::map<MinionId, SilenceSeen> m_silences;
    PlannerAnnouncement m_planner;
    std::uint32_t m_strongestMilliCores = 0;
    std::map<WaveNumber, WaveProgress> m_waves;
};

} // namespace Papaya
