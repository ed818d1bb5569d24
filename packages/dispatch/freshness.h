#pragma once

#include "base/units.h"

#include <algorithm>
#include <cstdint>

// How current the planner's view is. A decision rests on what minions and callers had stored by some time; it must be
// carried out before newer records could forbid it.

namespace Papaya
{

/** Time between the order to start a unit and the sending of its last start, reserved from the age of the view. */
constexpr Millis SEND_RESERVE {300};
/** Time for a start to reach its minion once it has been sent. */
constexpr Millis ARRIVAL_RESERVE {500};

/** Times, in bootMillis(), before which no record of a topic was stored that the planner has not seen. */
struct Freshness {
    std::int64_t minionsAsOfMs = 0; ///< entries of minions
    std::int64_t journalAsOfMs = 0; ///< submissions and cancellations

    /** @return the older of the two. */
    [[nodiscard]] std::int64_t asOfMs() const
    {
        return std::min(minionsAsOfMs, journalAsOfMs);
    }
};

} // namespace Papaya
