#include "process/sizebook.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t WINDOW_JOBS = 16;      // ended jobs kept per template
constexpr std::int64_t MARGIN_PERCENT = 125; // of the peak use, since use may grow between two reports

void updatePeak(Resources &peak, const Resources &used)
{
    peak.cores = std::max(peak.cores, used.cores);
    peak.memoryMb = std::max(peak.memoryMb, used.memoryMb);
}

std::int64_t withMargin(std::int64_t used, std::int64_t declared)
{
    const std::int64_t padded = (used * MARGIN_PERCENT + 99) / 100;
    // A job that stays within its declared size is never estimated above it.
    return used <= declared ? std::min(padded, declared) : padded;
}

} // namespace

void SizeEstimator::recordUsage(const JobId &job, const Resources &used, bool throttled)
{
    Resources &peak = m_activePeaks[job];
    if (throttled) {
        peak.cores = 0;
    }
    updatePeak(peak, used);
}

void SizeEstimator::learn(const Ledger &ledger)
{
    for (auto entry = ledger.ended().upper_bound(m_lastEnded); entry != ledger.ended().end(); ++entry) {
        m_lastEnded = *entry;
        const auto peak = m_activePeaks.extract(entry->second);
        if (peak.empty()) {
            continue;
        }
        std::deque<Resources> &ended = m_templatePeaks[ledger.job(entry->second)->spec.templateName];
        ended.push_back(peak.mapped());
        if (ended.size() > WINDOW_JOBS) {
            ended.pop_front();
        }
    }
}

Resources SizeEstimator::expected(const JobSubmitted &spec) const
{
    const Resources &declared = spec.shape.part;
    const auto own = m_activePeaks.find(spec.job);
    const auto ended = m_templatePeaks.find(spec.templateName);
    if (own == m_activePeaks.end() && ended == m_templatePeaks.end()) {
        return declared;
    }
    Resources peak;
    if (own != m_activePeaks.end()) {
        updatePeak(peak, own->second);
    }
    if (ended != m_templatePeaks.end()) {
        for (const Resources &used : ended->second) {
            updatePeak(peak, used);
        }
    }
    return {withMargin(peak.cores, declared.cores), withMargin(peak.memoryMb, declared.memoryMb), declared.gpus};
}

} // namespace Papaya
