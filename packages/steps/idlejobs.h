#pragma once

#include "steps/timeliness.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

// Work that stands still: a job of which nothing runs although a unit of it is ready, which means that the unit is due
// and the steps that it depends on are done. A unit of a long-running step stands still by itself, whatever else of its
// job runs. A unit that is placed but does not run stands still as well.

namespace Papaya
{

/** What a placed unit does. A unit that is placed and has no phase may be lost. */
enum class RunPhase {
    Starting, ///< has just been placed
    Running,  ///< a member runs on a minion that answers
};

/** A job or a unit of a long-running step that stands still. */
struct IdleWork {
    UnitKey unit;                  ///< the first unit that could run; a placed one only if no other waits
    bool placed = false;           ///< this unit is placed
    bool starting = false;         ///< a unit of it has just been placed
    std::int64_t sinceMs = 0;      ///< since when nothing of it has run, by the steady clock
    std::int64_t nextReportMs = 0; ///< when it is to be reported next
    std::string_view reason;       ///< why it waited when it was last reported; empty before that
};

/** Since when which work stands still, across scheduling passes. */
class IdleJobs
{
public:
    /**
     * Takes note of the present state.
     * @param phases what the placed units do
     */
    void update(const JobTable &jobs, const std::map<UnitKey, RunPhase> &phases, DecisionTime now);

    /** Takes note that @p unit has been placed, until the next update. */
    void started(const UnitKey &unit);
    /** @return for how long nothing of @p job has run or been about to start although a unit is ready, in ms. */
    [[nodiscard]] std::int64_t jobIdleMs(const JobId &job, std::int64_t steadyMs) const;
    /** @return for how long @p unit of a long-running step has not run, in ms; 0 if it starts. */
    [[nodiscard]] std::int64_t unitIdleMs(const UnitKey &unit, std::int64_t steadyMs) const;

    /** @return work that has stood still and is due for a report, at most @p limit, the longest due first. */
    std::vector<IdleWork> takeDue(std::int64_t steadyMs, std::size_t limit);
    /** Records why @p work waits. */
    void explained(const IdleWork &work, std::string_view reason);
    /** @return how much work has stood still for long enough to be reported, by the reason at its last report. */
    [[nodiscard]] std::map<std::string_view, std::size_t> reasons(std::int64_t steadyMs) const;

private:
    /** Keeps the times of work that stood still before. */
    template<typename Key>
    static void note(std::map<Key, IdleWork> &now, const std::map<Key, IdleWork> &before, const Key &key,
                     IdleWork work);

    std::map<JobId, IdleWork> m_jobs;
    std::map<UnitKey, IdleWork> m_longRunning; ///< units of long-running steps
};

} // namespace Papaya
