#include "steps/fillpace.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t CUT_GAP_MS = 450;     // a tail covers half a second, and looks come about as often
constexpr std::int64_t RAISE_GAP_MS = 1'500; // a raise that does harm is noticed within it
constexpr int RAISE_PERCENT = 10;
constexpr int LEAST_PERCENT = 10;    // below it tasks that fill are halted
constexpr double RAISE_BELOW = 0.75; // of the target; between it and CUT_ABOVE the share stays
constexpr double CUT_ABOVE = 0.95;   // of the target; a tail is a rough figure

} // namespace

void FillPace::observe(const std::vector<ServingTail> &tails, std::int64_t nowMs)
{
    double worst = 0;
    for (const ServingTail &tail : tails) {
        if (tail.targetMs > 0) {
            worst = std::max(worst, double(tail.tailMs) / double(tail.targetMs));
        }
    }
    const std::int64_t since = nowMs - m_changedMs;
    if (worst > CUT_ABOVE && m_percent > 0 && since >= CUT_GAP_MS) {
        const int half = m_percent / 2;
        m_percent = half < LEAST_PERCENT ? 0 : half;
        m_changedMs = nowMs;
    } else if (worst < RAISE_BELOW && m_percent < FULL && since >= RAISE_GAP_MS) {
        m_percent = std::min(FULL, m_percent + RAISE_PERCENT);
        m_changedMs = nowMs;
    }
}

} // namespace Papaya
