#pragma once

#include <cstdint>

// The times on which planners and their successors rely. All nodes must know them alike.

namespace Papaya
{

/** How long a grant lasts; a look that fails and one more take 3 s. */
constexpr std::int64_t LEASE_MS = 5'000;
/** How long a planner goes on renewing without having stored anything. */
constexpr std::int64_t RENEWAL_WINDOW_MS = 8'000;
/** After a take-over, what an unreachable minion may run under an earlier planner has lapsed on the slowest clock. */
constexpr std::int64_t PRIOR_LEASE_SPAN_MS = RENEWAL_WINDOW_MS + LEASE_MS * 103 / 100 + 500;

} // namespace Papaya
