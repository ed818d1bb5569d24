#pragma once

#include <algorithm>
#include <cstdint>

// Measures the silence of others by the time in which this node could have heard them. While its event loop is
// saturated or its process is suspended, answers that have arrived are not handled, so that a clock alone would take
// the node's own delay for silence of the store.

namespace Papaya
{

/** Counts the time in which the event loop runs; a delay of the loop counts as one step. */
class LoopClock
{
public:
    static constexpr std::int64_t TICK_INTERVAL_MS = 25;
    /** Most time that counts between two ticks: one that is late by as much again is usual beside other work. */
    static constexpr std::int64_t MAX_STEP_MS = 2 * TICK_INTERVAL_MS;

    /** To be called by the event loop at every interval. @param nowMs in bootMillis() */
    void tick(std::int64_t nowMs)
    {
        m_countedMs = at(nowMs);
        m_lastTickMs = nowMs;
    }

    /** @return the time counted until @p nowMs, in bootMillis(), since an arbitrary start, in milliseconds. */
    [[nodiscard]] std::int64_t at(std::int64_t nowMs) const
    {
        return m_countedMs + std::clamp(nowMs - m_lastTickMs, std::int64_t(0), MAX_STEP_MS);
    }

private:
    std::int64_t m_countedMs = 0;
    std::int64_t m_lastTickMs = 0;
};

} // namespace Papaya
