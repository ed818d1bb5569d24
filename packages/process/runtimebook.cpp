#include "process/runtimebook.h"

#include <algorithm>
#include <vector>

namespace Papaya
{

namespace
{

constexpr std::size_t WINDOW = 32;           // runs kept for each template
constexpr std::size_t QUANTILE_PERCENT = 75; // a run that is expected too short delays a reservation

} // namespace

void RunTimeBook::learn(const Ledger &ledger)
{
    for (auto entry = ledger.ended().upper_bound(m_last); entry != ledger.ended().end(); ++entry) {
        const Job &job = *ledger.job(entry->second);
        if (job.state == JobState::Succeeded && job.startedMs > 0) {
            add(job.spec.templateName, job.endedMs - job.startedMs);
        }
        m_last = *entry;
    }
}

void RunTimeBook::add(const TemplateName &work, std::int64_t ranMs)
{
    std::deque<std::int64_t> &runs = m_runs[work];
    runs.push_back(ranMs);
    if (runs.size() > WINDOW) {
        runs.pop_front();
    }
}

std::int64_t RunTimeBook::expectedMs(const TemplateName &work, std::int64_t declaredMs) const
{
    const auto found = m_runs.find(work);
    if (found == m_runs.end()) {
        return declaredMs;
    }
    std::vector<std::int64_t> sorted(found->second.begin(), found->second.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[(sorted.size() - 1) * QUANTILE_PERCENT / 100];
}

} // namespace Papaya
