#pragma once

#include <cstdint>
#include <optional>
#include <vector>

// Controls how much of their full share of cores filling (best-effort) tasks may use beside tasks that serve requests.
// Filling tasks can raise the response times of services on the same minion, by amounts that change within seconds. The
// share is halved while a tail latency exceeds its target, and raised in small steps while all are well below.

namespace Papaya
{

/** Tail latency of a serving task, as last reported, and its target. */
struct TailLatency {
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
};

/** A filling task, and the last order to it. */
struct PacedTask {
    std::optional<int> confirmedPercent; ///< last confirmed share; empty if unknown
    std::int64_t confirmedMs = 0;        ///< when it was confirmed, on a steady clock
    bool works = false;                  ///< its last report shows progress or cores in use
};

/** Controller of the share of the filling tasks on one minion. */
class FillPace
{
public:
    static constexpr int FULL = 100; ///< initial share in percent

    /**
     * Adjusts the share to the latest tail latencies of all serving tasks on the minion.
     * @param nowMs time on a steady clock
     */
    void observe(const std::vector<TailLatency> &tails, std::int64_t nowMs);

    /** @return the share in percent; 0 halts the filling tasks. */
    [[nodiscard]] int percent() const
    {
        return m_percent;
    }

    /**
     * @return true if percent() must be ordered for @p task. While a target is exceeded, the order is repeated as long
     * as the task works: an earlier order that was not answered may have been carried out after the confirmed one.
     */
    [[nodiscard]] bool needsOrder(const PacedTask &task, std::int64_t nowMs) const;

private:
    int m_percent = FULL;
    std::int64_t m_changedMs = 0;
    bool m_exceeded = false; ///< at the last observation
};

} // namespace Papaya
