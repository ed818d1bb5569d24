#include "steps/fillpace.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_CUT_INTERVAL_MS = 450; // tail latencies cover half a second and are reported about as often
constexpr std::int64_t MIN_RAISE_INTERVAL_MS = 1'500; // long enough to see the effect of the last raise
constexpr int RAISE_STEP_PERCENT = 10;
constexpr int MIN_PERCENT = 10;          // filling tasks are halted below this share
constexpr double RAISE_THRESHOLD = 0.75; // ratio to the target; between the thresholds, the share stays as it is
constexpr double CUT_THRESHOLD = 0.95;   // ratio to the target; below 1 since tail latencies are estimates

} // namespace

void FillPace::observe(const std::vector<TailLatency> &tails, std::int64_t nowMs)
{
    double worstRatio = 0;
    for (const TailLatency &tail : tails) {
        if (tail.targetMs > 0) {
            worstRatio = std::max(worstRatio, double(tail.tailMs) / double(tail.targetMs));
        }
    }
    m_exceeded = worstRatio > CUT_THRESHOLD;
    const std::int64_t sinceChangeMs = nowMs - m_changedMs;
    if (m_exceeded && m_percent > 0 && sinceChangeMs >= MIN_CUT_INTERVAL_MS) {
        const int halved = m_percent / 2;
        m_percent = halved < MIN_PERCENT ? 0 : halved;
        m_changedMs = nowMs;
    } else if (worstRatio < RAISE_THRESHOLD && m_percent < FULL && sinceChangeMs >= MIN_RAISE_INTERVAL_MS) {
        m_percent = std::min(FULL, m_percent + RAISE_STEP_PERCENT);
        m_changedMs = nowMs;
    }
}

bool FillPace::needsOrder(const PacedTask &task, std::int64_t nowMs) const
{
    const bool repeat = m_exceeded && task.works && nowMs - task.confirmedMs >= MIN_CUT_INTERVAL_MS;
    return repeat || task.confirmedPercent != m_percent;
}

} // namespace Papaya
