#pragma once

#include <cstdint>

// When a node that does not lead claims the planner's role. Answers the patterns of a planner that falls silent, of
// nodes of unequal strength, and of many candidates at a store so slow that their claims fail again and again. Pure.

namespace Papaya
{

/** What a candidate knows. */
struct Candidacy {
    bool first = false;                    ///< no node has ever led
    bool resigned = false;                 ///< the last planner has given the role up
    std::int64_t readDelayMs = 0;          ///< how long the last read of the journal took beyond its wait
    std::uint32_t milliCores = 0;          ///< processor of this node
    std::uint32_t strongestMilliCores = 0; ///< of the referenceMilliCores node that ever led
    std::uint32_t jitter = 0;              ///< 0 to 999, another one for each node, so that not all claim at once
};

/** @return how long the planner must have been silent before this node claims its role. */
std::int64_t claimTimeoutMs(const Candidacy &candidacy);

/** Pauses between claims that fail, each about twice as long as the one before. */
class ClaimBackoff
{
public:
    /** @param jitter 0 to 999, drawn anew each time */
    void failed(std::int64_t nowMs, std::uint32_t jitter);
    void succeeded()
    {
        m_delayMs = 0;
    }
    [[nodiscard]] bool mayClaim(std::int64_t nowMs) const
    {
        return nowMs >= m_notBeforeMs;
    }

private:
    std::int64_t m_delayMs = 0; ///< after the last claim, if that failed
    std::int64_t m_notBeforeMs = 0;
};

} // namespace Papaya
