#pragma once

#include <cstdint>

// Detects runs that make no progress. A minion may hang while it reports itself as healthy, and its runs would hold
// their resources forever; a gang waits for its slowest member. All times are read from the minion's own clock, so that
// a report that is late, or read late by a planner that was paused, does not count as a stall. Slow runs are not moved:
// most minions recover before a new run would have caught up.

namespace Papaya
{

/** Progress of a run, as last reported. */
struct RunProgress {
    std::int64_t percent = 0;     ///< of its work
    std::int64_t stalledMs = 0;   ///< from its start or the last rise of its percentage to the last report
    std::int64_t plausibleMs = 0; ///< run time that few such runs exceed on healthy minions
    bool fills = false;           ///< it uses only cores that other tasks leave idle
    bool paced = false;           ///< its share is reduced, so slow progress is expected
    bool progressed = true;       ///< its percentage has risen since its start
    bool resumed = false;         ///< it has to restore a checkpoint first
    std::uint32_t moves = 0;      ///< how often its unit was moved before
};

/** @return true if @p run is stuck and should be moved to another minion. */
bool isStuck(const RunProgress &run);

} // namespace Papaya
