#pragma once

#include <cstdint>

// Whether a run stands still. Answers the pattern of minions that hang while they report themselves as healthy: such a
// run would hold its room until the end of time. Slow runs stay where they are; moving them measured worse, since most
// minions recover before a new run would have caught up. Pure.

namespace Papaya
{

/** A run as it was last reported. */
struct RunProgress {
    std::int64_t percent = 0;     ///< of its work that is done
    std::int64_t stalledMs = 0;   ///< since its percentage last rose, up to the last report
    std::int64_t plausibleMs = 0; ///< a time that few such runs exceed on sound minions
    bool fills = false;           ///< it works only on what other tasks leave
    bool paced = false;           ///< it was told to work at less than its full share
};

/** @return true if @p run makes no progress and should be moved. */
bool isStuck(const RunProgress &run);

} // namespace Papaya
