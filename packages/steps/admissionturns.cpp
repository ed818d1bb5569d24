#include "steps/admissionturns.h"

#include <algorithm>
#include <tuple>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_KINDS = 1'000; // known at a time; queues have a few kinds of steps

} // namespace

std::size_t AdmissionTurns::next(const std::vector<AdmissionRequest> &requests)
{
    for (const AdmissionRequest &request : requests) {
        m_turns.try_emplace(request.step, Turn {m_queries, false, request.kind});
    }
    const bool oldestFirst = m_queries % OLDEST_INTERVAL == OLDEST_INTERVAL - 1;
    using Rank = std::tuple<bool, bool, std::uint64_t, std::uint64_t>;
    const auto rank = [&](const AdmissionRequest &request) {
        const Turn &turn = m_turns.at(request.step);
        if (oldestFirst) {
            return Rank {false, false, turn.since, turn.queriedBefore ? 1 : 0};
        }
        if (turn.queriedBefore) {
            return Rank {true, false, turn.since, 0};
        }
        const auto fruitless = m_fruitless.find(request.kind);
        const std::uint64_t level = fruitless == m_fruitless.end() ? 0 : fruitless->second / FRUITLESS_QUERIES;
        return Rank {false, !request.couldStart, level, 0};
    };
    // The first of equal rank is taken, which keeps the scheduling order.
    const auto chosen =
        std::min_element(requests.begin(), requests.end(),
                         [&](const AdmissionRequest &a, const AdmissionRequest &b) { return rank(a) < rank(b); });
    return static_cast<std::size_t>(chosen - requests.begin());
}

void AdmissionTurns::queried(const AdmissionRequest &request)
{
    m_turns[request.step] = {++m_queries, true, request.kind};
    if (m_fruitless.size() >= MAX_KINDS && !m_fruitless.contains(request.kind)) {
        m_fruitless.clear();
    }
    ++m_fruitless[request.kind];
}

void AdmissionTurns::started(const StepKey &step)
{
    if (const auto turn = m_turns.find(step); turn != m_turns.end()) {
        m_fruitless.erase(turn->second.kind);
    }
}

void AdmissionTurns::forget(const JobId &job)
{
    std::erase_if(m_turns, [&job](const auto &item) { return item.first.job == job; });
}

} // namespace Papaya
