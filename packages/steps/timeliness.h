#pragma once

#include "steps/jobtable.h"
#include "steps/runtimes.h"

#include <cstdint>

// Rates a job against its objective: a multiple of the critical path of its steps, plus a fixed time. While demand
// exceeds capacity, work that can still meet its objective runs first, and expired work takes no capacity from it.

namespace Papaya
{

/** Rating of a job against its objective, in scheduling order. */
enum class Timeliness {
    InTime, ///< can meet its objective
    Late,   ///< will miss its objective, but its result is still of use
    Expired ///< will take more than three times as long as its objective
};

/** The present time. */
struct DecisionTime {
    std::int64_t wallMs = 0;   ///< milliseconds since 1970
    std::int64_t steadyMs = 0; ///< steady clock by which JobEntry::acceptedMs was taken
};

/** @return the rating of @p occurrence, by the learned run times of its remaining steps. */
Timeliness timelinessOf(const JobEntry &entry, std::uint32_t occurrence, const RunTimes &times, DecisionTime now);

} // namespace Papaya
