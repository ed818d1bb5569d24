#include "dispatch/plannerload.h"

#include "process/logging.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t LINE_INTERVAL_MS = 1'000;
constexpr std::int64_t TICK_INTERVAL_MS = 100; // the caller's interval between ticks

} // namespace

void PlannerLoad::passEnded(Duration duration)
{
    ++counts.passes;
    m_passTime += duration;
    counts.longestPassMs =
        std::max<std::int64_t>(counts.longestPassMs, std::chrono::duration_cast<Millis>(duration).count());
}

void PlannerLoad::tick(std::int64_t nowMs, const Freshness &freshness)
{
    if (m_lastTickMs != 0) {
        m_worstLagMs = std::max(m_worstLagMs, nowMs - m_lastTickMs - TICK_INTERVAL_MS);
    }
    m_lastTickMs = nowMs;
    m_worstMinionsAgeMs = std::max(m_worstMinionsAgeMs, nowMs - freshness.minionsAsOfMs);
    m_worstJournalAgeMs = std::max(m_worstJournalAgeMs, nowMs - freshness.journalAsOfMs);
    if (nowMs - m_lastLineMs < LINE_INTERVAL_MS) {
        return;
    }
    counts.passMs = std::chrono::duration_cast<Millis>(m_passTime).count();
    logEvent(LogLevel::Info, "planner-load",
             {{"passes", std::uint64_t(counts.passes)},
              {"pass_ms", counts.passMs},
              {"longest_pass_ms", counts.longestPassMs},
              {"placed", std::uint64_t(counts.starts)},
              {"preempted", std::uint64_t(counts.preemptions)},
              {"stopped", std::uint64_t(counts.stops)},
              {"orders", std::uint64_t(counts.orders)},
              {"polls", std::uint64_t(counts.polls)},
              {"deferred", std::uint64_t(counts.deferrals)},
              {"window_full", std::uint64_t(counts.fullWindows)},
              {"loop_lag_ms", m_worstLagMs},
              {"minions_age_ms", m_worstMinionsAgeMs},
              {"journal_age_ms", m_worstJournalAgeMs}});
    const std::int64_t lastTickMs = m_lastTickMs;
    *this = PlannerLoad();
    m_lastTickMs = lastTickMs;
    m_lastLineMs = nowMs;
}

} // namespace Papaya
