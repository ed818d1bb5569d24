#pragma once

#include "steps/jobtable.h"
#include "steps/runtimes.h"

#include <cstdint>

// How a job stands against its objective: a multiple of its longest chain of work, and a fixed time more. Answers the
// pattern of demand over capacity: what can still be in time goes first, and what has lost its worth holds no room that
// the others need. Pure.

namespace Papaya
{

/** How a job stands against its objective. */
enum class Timeliness { InTime, Late, Expired };

/** @return how @p occurrence stands, by the learned times of the work that is left. */
Timeliness timelinessOf(const JobEntry &entry, std::uint32_t occurrence, const RunTimes &times, std::int64_t nowMs);

} // namespace Papaya
