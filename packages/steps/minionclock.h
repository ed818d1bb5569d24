#pragma once

#include <algorithm>
#include <cstdint>

// Tracks the offset of a minion's steady clock, so that the planner can grant leases in the minion's time and tell when
// they have expired. Local times are read from a clock that also runs while the machine is suspended.

namespace Papaya
{

/** Steady clock of a minion, from one restart to the next. */
class MinionClock
{
public:
    /**
     * Adds a reading of the minion's clock.
     * @param minionMs the reading
     * @param localMs local time when the answer with the reading arrived
     */
    void addReading(std::int64_t minionMs, std::int64_t localMs)
    {
        // The answer was in transit after the reading, so the reading with the greatest offset is the most accurate.
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

    /** @return the time on the minion's clock at @p localMs, early by the transit time of the best reading. */
    [[nodiscard]] std::int64_t at(std::int64_t localMs) const
    {
        return m_minionMs + (localMs - m_localMs);
    }

    /**
     * @param minionMs a reading that an answer carried
     * @param sentMs local time when the request left
     * @param receivedMs local time when the answer arrived
     * @return true if the reading may be of the clock that earlier readings were of; a minion's clock starts anew with
     * the minion
     */
    [[nodiscard]] bool agreesWith(std::int64_t minionMs, std::int64_t sentMs, std::int64_t receivedMs) const
    {
        const auto drift = static_cast<std::int64_t>(double(receivedMs - m_localMs) * MAX_SLOWNESS) + AGREEMENT_MS;
        return m_known && minionMs >= at(sentMs) - drift && minionMs <= at(receivedMs) + drift;
    }

    /** Grants a lease. @return its end on the minion's clock, about @p leaseMs from now */
    std::int64_t grant(std::int64_t localMs, std::int64_t leaseMs)
    {
        const std::int64_t until = at(localMs) + leaseMs;
        m_grantedMs = std::max(m_grantedMs, until);
        return until;
    }

    /** @return how long granted leases may last at most from @p localMs on, in ms; 0 if the clock is not known. */
    [[nodiscard]] std::int64_t remainingMs(std::int64_t localMs) const
    {
        const double slowestMs = double(m_minionMs) + double(localMs - m_localMs) * (1 - MAX_SLOWNESS);
        const double leftMs = (double(m_grantedMs + MARGIN_MS) - slowestMs) / (1 - MAX_SLOWNESS);
        return m_known ? std::max<std::int64_t>(0, static_cast<std::int64_t>(leftMs)) : 0;
    }

    /** @return true if no granted lease ends more than @p leaseMs after @p localMs, by the minion's clock. */
    [[nodiscard]] bool endsWithin(std::int64_t localMs, std::int64_t leaseMs) const
    {
        return m_known && m_grantedMs <= at(localMs) + leaseMs;
    }

    /** @return true if all granted leases have expired even if the minion's clock is slow. */
    [[nodiscard]] bool lapsed(std::int64_t localMs) const
    {
        if (!m_known) {
            return false;
        }
        const double slowestMs = double(m_minionMs) + double(localMs - m_localMs) * (1 - MAX_SLOWNESS);
        return slowestMs > double(m_grantedMs + MARGIN_MS);
    }

private:
    static constexpr double MAX_SLOWNESS = 0.02; // bound on how much slower than the local clock a minion's clock runs
    static constexpr std::int64_t MARGIN_MS = 100;     // for tasks to end after their lease has expired
    static constexpr std::int64_t AGREEMENT_MS = 150;  // error of a reading by the transit time of its answer
    static constexpr std::int64_t REFRESH_MS = 10'000; // age at which a reading is replaced, since clocks drift

    bool m_known = false;
    std::int64_t m_minionMs = 0;
    std::int64_t m_localMs = 0;
    std::int64_t m_grantedMs = 0;
};

} // namespace Papaya
