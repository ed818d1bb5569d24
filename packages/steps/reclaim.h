#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>

// Work that ordinary preemption spares, and that is preempted only for work within its team's guarantee that finds no
// room otherwise: units of long-running steps, and units that are nearly done. Without this, a team's guarantee would
// be void while long-running work of others holds its GPUs. Load pattern: services or endless tasks of one team take
// all idle GPUs, and another team then asks for its guarantee.

namespace Papaya
{

struct ActiveUnit;

/** How many tasks of a long-running step may be unavailable as a result of planned stops. */
struct DisruptionBudget {
    std::uint32_t maxUnavailable = 0; ///< StepSpec::maxUnavailable; 0 is no limit
    std::uint32_t unavailable = 0;    ///< tasks that are unavailable for any cause
};

/** What may still be reclaimed within one scheduling pass. */
class ReclaimLedger
{
public:
    /**
     * @param budgets of long-running steps; a step that is not listed has no limit
     * @param borrowedGpus GPUs of urgent work beyond the guarantee, by team
     */
    ReclaimLedger(std::map<StepKey, DisruptionBudget> budgets, std::map<TeamName, std::int64_t> borrowedGpus);

    /**
     * @param beneficiary team of the guaranteed work
     * @return true if long-running @p victim may be stopped: it belongs to another team, is not within the guarantee of
     * that team, and its stop keeps to the disruption budget of its step
     */
    [[nodiscard]] bool mayStop(const ActiveUnit &victim, const TeamName &beneficiary) const;
    /** Counts @p victim as stopped. */
    void stop(const ActiveUnit &victim);
    /** Reverts stop() for a victim that is not needed after all. */
    void spare(const ActiveUnit &victim);

private:
    void count(const ActiveUnit &victim, bool stopped);

    std::map<StepKey, DisruptionBudget> m_budgets;
    std::map<TeamName, std::int64_t> m_borrowedGpus;
};

/** Progress of a unit that is nearly done. */
struct NearlyDone {
    std::int64_t elapsedMs = 0;  ///< since its run started
    std::int64_t expectedMs = 0; ///< expected run time
    std::int64_t percent = 0;    ///< completed work
};

/**
 * @return the expected remaining time in ms. It is the longer of two estimates, since either may be far too short: the
 * pace since the start of the run is unknown after a take-over or a restart from a checkpoint, and run times are off.
 */
std::int64_t remainingMs(const NearlyDone &run);

/**
 * @param waitedMs time since the guaranteed job was accepted
 * @param stopMs time that a stop takes
 * @return the longest expected remaining time, in ms, for which guaranteed work waits instead of preempting a nearly
 * done unit
 */
std::int64_t longestAwaitedMs(std::int64_t waitedMs, std::int64_t stopMs);

} // namespace Papaya
