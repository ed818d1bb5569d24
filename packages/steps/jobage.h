#pragma once

#include <cstdint>
#include <vector>

// Ages of jobs that a node has not seen arrive, since it has loaded them from the journal after a start.

namespace Papaya
{

/**
 * Estimates the present time by the clocks that stamped the journal, in case this machine's own clock is wrong.
 * @param stamps wall-clock times at which the newest submissions were accepted, each by the clock of its node
 * @param wallMs this machine's wall clock
 * @return @p wallMs if it agrees with the stamps, otherwise their median
 */
std::int64_t journalNowMs(std::vector<std::int64_t> stamps, std::int64_t wallMs);

} // namespace Papaya
