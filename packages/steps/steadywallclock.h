#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>

// The time of day for decisions. The time of day of a machine may jump by many seconds and back again, which must
// neither start work before it is due nor make it late. Jumps are therefore ignored unless they last, and small
// deviations are followed slowly.

namespace Papaya
{

/** A wall clock that runs with a steady clock. */
class SteadyWallClock
{
public:
    /** Adds a reading of the wall clock, in milliseconds since 1970, at @p steadyMs. */
    void observe(std::int64_t wallMs, std::int64_t steadyMs)
    {
        const std::int64_t offset = wallMs - steadyMs;
        if (!m_known) {
            m_known = true;
            m_offsetMs = offset;
            m_agreedMs = steadyMs;
        }
        const std::int64_t deviation = offset - m_offsetMs;
        if (std::abs(deviation) <= MAX_DEVIATION_MS) {
            m_agreedMs = steadyMs;
            const std::int64_t step = (steadyMs - m_slewedMs) / SLEW_DIVISOR;
            m_offsetMs += std::clamp(deviation, -step, step);
            m_slewedMs = step > 0 ? steadyMs : m_slewedMs;
        } else if (steadyMs - m_agreedMs >= MIN_STEP_AGE_MS) {
            m_offsetMs = offset; // the clock was set, and has not jumped back
            m_agreedMs = steadyMs;
        }
    }

    /** @return the time of day at @p steadyMs, in milliseconds since 1970; 0 before the first reading. */
    [[nodiscard]] std::int64_t at(std::int64_t steadyMs) const
    {
        return m_known ? steadyMs + m_offsetMs : 0;
    }

private:
    static constexpr std::int64_t MAX_DEVIATION_MS = 500;    // a greater one is a jump
    static constexpr std::int64_t SLEW_DIVISOR = 200;        // at most 5 ms a second
    static constexpr std::int64_t MIN_STEP_AGE_MS = 120'000; // until a jump is taken for a correction

    bool m_known = false;
    std::int64_t m_offsetMs = 0; ///< wall clock less steady clock
    std::int64_t m_agreedMs = 0; ///< when the wall clock last agreed
    std::int64_t m_slewedMs = 0; ///< when the offset was last adjusted
};

} // namespace Papaya
