#include "steps/fillpace.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MIN_CUT_INTERVAL_MS = 450;     // a tail covers half a second, and looks come about as often
constexpr std::int64_t MIN_RAISE_INTERVAL_MS = 1'500; // a raise that does harm is noticed within it
constexpr int RAISE_STEP_PERCENT = 10;
constexpr int MIN_PERCENT = 10;          // below it tasks that fill are halted
constexpr double RAISE_THRESHOLD = 0.75; // of the target; between it and CUT_THRESHOLD the share stays
constexpr double CUT_THRESHOLD = 0.95;   // of the target; a tail is a rough figure

} // namespace

void FillPace::observe(const std::vector<TailLatency> &tails, std::int64_t nowMs)
{
    double worstRatio = 0;
    for (const TailLatency &tail : tails) {
        if (tail.targetMs > 0) {
            worstRatio = std::max(worstRatio, double(tail.tailMs) / double(tail.targetMs));
        }
    }
    const std::int64_t sinceChangeMs = nowMs - m_changedMs;
    if (worstRatio > CUT_THRESHOLD && m_percent > 0 && sinceChangeMs >= MIN_CUT_INTERVAL_MS) {
        const int halved = m_percent / 2;
        m_percent = halved < MIN_PERCENT ? 0 : halved;
        m_changedMs = nowMs;
    } else if (worstRatio < RAISE_THRESHOLD && m_percent < FULL && sinceChangeMs >= MIN_RAISE_INTERVAL_MS) {
        m_percent = std::min(FULL, m_percent + RAISE_STEP_PERCENT);
        m_changedMs = nowMs;
    }
}

} // namespace Papaya
