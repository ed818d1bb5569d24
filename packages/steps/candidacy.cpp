#include "steps/candidacy.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t SUSPECT_MS = 1'300; // silence of the planner; it gives a sign every 400 ms
constexpr std::int64_t READ_DELAYS = 3;    // so many delays of a read may lie between a sign and its reading
constexpr std::int64_t SPREAD_MS = 300;    // of the candidates' patience
constexpr std::int64_t VACANT_SPREAD_MS = 120;
constexpr std::int64_t WEAKNESS_MS = 1'600;       // for each core that a candidate has less than the strongest
constexpr std::uint32_t STRONG_MILLI_CORES = 500; // before any node has led, all wait as if one had so much
constexpr std::int64_t FIRST_PAUSE_MS = 150;
constexpr std::int64_t LONGEST_PAUSE_MS = 1'200;
constexpr std::int64_t SPREAD_RANGE = 1'000;

std::int64_t weaknessMs(const Candidacy &candidacy)
{
    const std::uint32_t strongest = candidacy.first ? STRONG_MILLI_CORES : candidacy.strongestMilliCores;
    const std::uint32_t lacking = strongest - std::min(strongest, candidacy.milliCores);
    return lacking * WEAKNESS_MS / 1'000;
}

} // namespace

std::int64_t claimPatienceMs(const Candidacy &candidacy)
{
    if (candidacy.first || candidacy.resigned) {
        return candidacy.spread * VACANT_SPREAD_MS / SPREAD_RANGE + weaknessMs(candidacy);
    }
    return SUSPECT_MS + READ_DELAYS * candidacy.readDelayMs + candidacy.spread * SPREAD_MS / SPREAD_RANGE
           + weaknessMs(candidacy);
}

void ClaimPauses::failed(std::int64_t nowMs, std::uint32_t spread)
{
    m_pauseMs = std::clamp(2 * m_pauseMs, FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
    m_notBeforeMs = nowMs + m_pauseMs / 2 + m_pauseMs * spread / (2 * SPREAD_RANGE);
}

} // namespace Papaya
