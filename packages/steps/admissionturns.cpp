#include "steps/admissionturns.h"

#include <algorithm>
#include <tuple>

namespace Papaya
{

std::size_t AdmissionTurns::next(const std::vector<StepKey> &steps)
{
    for (const StepKey &step : steps) {
        m_turns.try_emplace(step, Turn {m_queries, false});
    }
    const bool oldestFirst = m_queries % OLDEST_INTERVAL == OLDEST_INTERVAL - 1;
    const auto rank = [&](const StepKey &step) {
        const Turn &turn = m_turns.at(step);
        const bool isFirst = !turn.queriedBefore;
        return oldestFirst ? std::make_tuple(false, turn.since, turn.queriedBefore)
                           : std::make_tuple(turn.queriedBefore, isFirst ? 0 : turn.since, false);
    };
    // The first of equal rank is taken, which keeps the scheduling order.
    const auto chosen = std::min_element(steps.begin(), steps.end(),
                                         [&](const StepKey &a, const StepKey &b) { return rank(a) < rank(b); });
    return static_cast<std::size_t>(chosen - steps.begin());
}

void AdmissionTurns::queried(const StepKey &step)
{
    m_turns[step] = {++m_queries, true};
}

void AdmissionTurns::forget(const JobId &job)
{
    std::erase_if(m_turns, [&job](const auto &item) { return item.first.job == job; });
}

} // namespace Papaya
