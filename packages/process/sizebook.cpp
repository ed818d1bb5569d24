#include "process/sizebook.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t WINDOW = 16;           // ended jobs kept for each template
constexpr std::int64_t MARGIN_PERCENT = 125; // of what was used at most; use grows between two reports

void raise(Resources &peak, const Resources &used)
{
    peak.cores = std::max(peak.cores, used.cores);
    peak.memoryMb = std::max(peak.memoryMb, used.memoryMb);
}

std::int64_t withMargin(std::int64_t used, std::int64_t declared)
{
    const std::int64_t ample = (used * MARGIN_PERCENT + 99) / 100;
    // Whoever keeps to what was declared is never counted for more.
    return used <= declared ? std::min(ample, declared) : ample;
}

} // namespace

void SizeBook::note(const JobId &job, const Resources &used, bool throttled)
{
    Resources &peak = m_peaks[job];
    if (throttled) {
        peak.cores = 0;
    }
    raise(peak, used);
}

void SizeBook::learn(const Ledger &ledger)
{
    for (auto entry = ledger.ended().upper_bound(m_last); entry != ledger.ended().end(); ++entry) {
        m_last = *entry;
        const auto peak = m_peaks.extract(entry->second);
        if (peak.empty()) {
            continue;
        }
        std::deque<Resources> &ended = m_ended[ledger.job(entry->second)->spec.templateName];
        ended.push_back(peak.mapped());
        if (ended.size() > WINDOW) {
            ended.pop_front();
        }
    }
}

Resources SizeBook::expected(const JobSubmitted &spec) const
{
    const Resources &declared = spec.shape.part;
    const auto own = m_peaks.find(spec.job);
    const auto ended = m_ended.find(spec.templateName);
    if (own == m_peaks.end() && ended == m_ended.end()) {
        return declared;
    }
    Resources peak;
    if (own != m_peaks.end()) {
        raise(peak, own->second);
    }
    if (ended != m_ended.end()) {
        for (const Resources &used : ended->second) {
            raise(peak, used);
        }
    }
    return {withMargin(peak.cores, declared.cores), withMargin(peak.memoryMb, declared.memoryMb), declared.gpus};
}

} // namespace Papaya
