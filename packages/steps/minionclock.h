#pragma once

#include <algorithm>
#include <cstdint>

// What the planner knows of a minion's steady clock, and until when its grants may keep work alive there. All local
// times are of a clock that goes on while the machine is suspended. Pure.

namespace Papaya
{

/** The clock of one life of a minion. */
class MinionClock
{
public:
    /** The minion has told its clock in an answer that came at @p localMs. */
    void addReading(std::int64_t minionMs, std::int64_t localMs)
    {
        // The minion's clock stood at least so far when the answer came; the later reading is the better one.
        if (!m_known || minionMs - localMs > m_minionMs - m_localMs || localMs - m_localMs > REFRESH_MS) {
            m_minionMs = minionMs;
            m_localMs = localMs;
        }
        m_known = true;
    }

    [[nodiscard]] bool known() const
    {
        return m_known;
    }

    /** @return a time on the minion's clock about @p leaseMs from now, and remembers it as granted. */
    std::int64_t grant(std::int64_t localMs, std::int64_t leaseMs)
    {
        const std::int64_t until = m_minionMs + (localMs - m_localMs) + leaseMs;
        m_grantedMs = std::max(m_grantedMs, until);
        return until;
    }

    /** @return true if every grant has surely passed on the minion's clock, which may be slow. */
    [[nodiscard]] bool lapsed(std::int64_t localMs) const
    {
        if (!m_known) {
            return false;
        }
        const double slowestMs = double(m_minionMs) + double(localMs - m_localMs) * (1 - MAX_SLOWNESS);
        return slowestMs > double(m_grantedMs + MARGIN_MS);
    }

private:
    static constexpr double MAX_SLOWNESS = 0.02;       // bound on how slow a minion's clock may be
    static constexpr std::int64_t MARGIN_MS = 100;     // for what is still ending there
    static constexpr std::int64_t REFRESH_MS = 10'000; // clocks drift; older readings are replaced

    bool m_known = false;
    std::int64_t m_minionMs = 0;
    std::int64_t m_localMs = 0;
    std::int64_t m_grantedMs = 0;
};

} // namespace Papaya
