#include "steps/candidacy.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t PLANNER_TIMEOUT_MS = 800; // silence of the planner, which sends a heartbeat every 200 ms
constexpr std::int64_t READ_DELAY_FACTOR = 5;    // read delays that may pass between a heartbeat and its arrival
constexpr std::int64_t JITTER_MS = 300;          // largest jitter of the time-out
constexpr std::int64_t VACANT_JITTER_MS = 120;   // the same while no planner holds the role
constexpr std::int64_t DELAY_PER_MISSING_CORE_MS = 1'600; // for each core that a candidate has less than the reference
constexpr std::uint32_t REFERENCE_MILLI_CORES = 500;      // reference until a node has been planner
constexpr std::int64_t MIN_BACKOFF_MS = 150;
constexpr std::int64_t MAX_BACKOFF_MS = 1'200;
constexpr std::int64_t JITTER_RANGE = 1'000;

std::int64_t capacityDelayMs(const Candidacy &candidacy)
{
    const std::uint32_t referenceMilliCores = candidacy.first ? REFERENCE_MILLI_CORES : candidacy.strongestMilliCores;
    const std::uint32_t missingMilliCores = referenceMilliCores - std::min(referenceMilliCores, candidacy.milliCores);
    return missingMilliCores * DELAY_PER_MISSING_CORE_MS / 1'000;
}

} // namespace

std::int64_t claimTimeoutMs(const Candidacy &candidacy)
{
    if (candidacy.first || candidacy.resigned) {
        return candidacy.jitter * VACANT_JITTER_MS / JITTER_RANGE + capacityDelayMs(candidacy);
    }
    return PLANNER_TIMEOUT_MS + READ_DELAY_FACTOR * candidacy.readDelayMs + candidacy.jitter * JITTER_MS / JITTER_RANGE
           + capacityDelayMs(candidacy);
}

void ClaimBackoff::failed(std::int64_t nowMs, std::uint32_t jitter)
{
    m_delayMs = std::clamp(2 * m_delayMs, MIN_BACKOFF_MS, MAX_BACKOFF_MS);
    m_notBeforeMs = nowMs + m_delayMs / 2 + m_delayMs * jitter / (2 * JITTER_RANGE);
}

} // namespace Papaya
