#include "process/runtimebook.h"

#include <algorithm>
#include <vector>

namespace Papaya
{

namespace
{

constexpr std::size_t WINDOW_RUNS = 32;      // runs kept per template
constexpr std::size_t QUANTILE_PERCENT = 75; // above the median, as a run estimated too short delays a reservation

} // namespace

void RunTimeEstimator::learn(const Ledger &ledger)
{
    for (auto entry = ledger.ended().upper_bound(m_lastEnded); entry != ledger.ended().end(); ++entry) {
        const Job &job = *ledger.job(entry->second);
        if (job.state == JobState::Succeeded && job.startedMs > 0) {
            add(job.spec.templateName, job.endedMs - job.startedMs);
        }
        m_lastEnded = *entry;
    }
}

void RunTimeEstimator::add(const TemplateName &templateName, std::int64_t ranMs)
{
    std::deque<std::int64_t> &runs = m_runs[templateName];
    runs.push_back(ranMs);
    if (runs.size() > WINDOW_RUNS) {
        runs.pop_front();
    }
}

std::int64_t RunTimeEstimator::expectedMs(const TemplateName &templateName, std::int64_t declaredMs) const
{
    const auto found = m_runs.find(templateName);
    if (found == m_runs.end()) {
        return declaredMs;
    }
    std::vector<std::int64_t> sorted(found->second.begin(), found->second.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[(sorted.size() - 1) * QUANTILE_PERCENT / 100];
}

} // namespace Papaya
