#pragma once

#include "base/units.h"
#include "dispatch/freshness.h"

#include <cstdint>

// What the planner's event loop does and how far it lags. If the loop is saturated, every event waits, among them the
// reads that tell of draining minions and cancelled jobs.

namespace Papaya
{

/** Counts the planner's work between two log lines. */
class PlannerLoad
{
public:
    /** Work counted since the last log line. */
    struct Counts {
        std::uint32_t passes = 0;
        std::uint32_t starts = 0;       ///< units placed
        std::uint32_t preemptions = 0;  ///< units preempted
        std::uint32_t stops = 0;        ///< units stopped, for any reason
        std::uint32_t orders = 0;       ///< start and stop calls to minions
        std::uint32_t polls = 0;        ///< polls of minions
        std::uint32_t deferrals = 0;    ///< passes and starts that waited for a current view
        std::uint32_t fullWindows = 0;  ///< passes that left units waiting for the confirmation of earlier starts
        std::int64_t passMs = 0;        ///< total duration of the passes
        std::int64_t longestPassMs = 0; ///< duration of the longest pass
    };

    /** Records a pass that took @p duration. */
    void passEnded(Duration duration);
    /** Records how late the periodic tick was at @p nowMs and writes a log line once a second. */
    void tick(std::int64_t nowMs, const Freshness &freshness);

    Counts counts;

private:
    Duration m_passTime {0};
    std::int64_t m_lastTickMs = 0;
    std::int64_t m_lastLineMs = 0;
    std::int64_t m_worstLagMs = 0;
    std::int64_t m_worstMinionsAgeMs = 0;
    std::int64_t m_worstJournalAgeMs = 0;
};

} // namespace Papaya
