#pragma once

#include <cstdint>

// Lease durations that planners and their successors rely on. They must be the same on all nodes.

namespace Papaya
{

/** Longest time on a slow minion's clock for a lease of @p leaseMs, with a margin for tasks to end. */
constexpr std::int64_t slowestLeaseMs(std::int64_t leaseMs)
{
    return leaseMs * 103 / 100 + 100;
}
/** Duration of a lease. It outlasts a failed poll and its repetition, which take 3 s. */
constexpr std::int64_t LEASE_MS = 5'000;
/** Failed polls in a row after which leases are not renewed. One that was lost on a dead connection is repeated. */
constexpr std::uint32_t MAX_UNANSWERED_RENEWALS = 1;
/** How long a planner renews leases after its last successful append. */
constexpr std::int64_t RENEWAL_WINDOW_MS = 8'000;
/** Longest time from the grant of a lease until it has expired, even on the slowest permitted clock. */
constexpr std::int64_t LAST_LEASE_SPAN_MS = LEASE_MS * 103 / 100 + 500;
/** Time after a take-over until every lease of earlier planners has expired, even on the slowest permitted clock. */
constexpr std::int64_t PRIOR_LEASE_SPAN_MS = RENEWAL_WINDOW_MS + LAST_LEASE_SPAN_MS;
/**
 * How much later a start or poll without an answer may be carried out. After a start, the minion is polled until then,
 * so that its restart is noticed soon: the new instance may carry out the start until the first poll raises its fence.
 */
constexpr std::int64_t LATE_START_SPAN_MS = 12'000;

} // namespace Papaya
