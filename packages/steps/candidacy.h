#pragma once

#include <cstdint>

// Decides when a node claims the planner's role. A node claims it once the planner has been silent for a time-out. The
// time-out is longer on weaker nodes, so that the strongest node claims first, and is jittered, so that nodes do not
// claim at the same moment. Failed claims back off exponentially, so that many candidates do not overload a slow store.

namespace Papaya
{

/** Input of a candidate's time-out. */
struct Candidacy {
    bool first = false;                    ///< no node has been planner yet
    bool resigned = false;                 ///< the last planner has resigned
    std::int64_t readDelayMs = 0;          ///< duration of the last journal read, less its wait if it found no records
    std::uint32_t milliCores = 0;          ///< processor share of this node in thousandths of a core
    std::uint32_t strongestMilliCores = 0; ///< of the strongest node that has been planner
    std::uint32_t jitter = 0;              ///< 0 to 999, different on each node
};

/** @return how long the planner must have been silent before this node claims the role, in milliseconds. */
std::int64_t claimTimeoutMs(const Candidacy &candidacy);

/** Exponential back-off after failed claims. */
class ClaimBackoff
{
public:
    /**
     * Records a failed claim and sets the earliest time of the next one.
     * @param jitter 0 to 999, drawn anew on each call
     */
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
    std::int64_t m_delayMs = 0; ///< upper bound of the current back-off; 0 if the last claim succeeded
    std::int64_t m_notBeforeMs = 0;
};

} // namespace Papaya
