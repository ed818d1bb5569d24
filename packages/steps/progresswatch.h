#pragma once

#include <cstdint>

// Detects runs that make no progress. A minion may hang while it reports itself as healthy, and its runs would hold
// their resources forever. Slow runs are not moved: most minions recover before a new run would have caught up.

namespace Papaya
{

/** Progress of a run, as last reported. */
struct RunProgress {
    std::int64_t percent = 0;     ///< of its work
    std::int64_t stalledMs = 0;   ///< time from the last rise of its percentage to the last report
    std::int64_t plausibleMs = 0; ///< run time that few such runs exceed on healthy minions
    bool fills = false;           ///< it uses only cores that other tasks leave idle
    bool paced = false;           ///< its share is reduced, so slow progress is expected
};

/** @return true if @p run is stuck and should be moved to another minion. */
bool isStuck(const RunProgress &run);

} // namespace Papaya
