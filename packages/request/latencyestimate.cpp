#include "request/latencyestimate.h"

#include <algorithm>

namespace Papaya
{

void LatencyEstimate::add(Duration sample)
{
    m_samples[m_count % WINDOW] = sample;
    ++m_count;
    if (m_count % REFRESH_INTERVAL == 0) {
        refresh();
    }
}

void LatencyEstimate::refresh()
{
    std::array<Duration, WINDOW> sorted = m_samples;
    const std::size_t used = std::min(m_count, WINDOW);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(used));
    m_median = sorted[used / 2];
    m_p95 = sorted[used * 95 / 100];
    m_p99 = sorted[used * 99 / 100];
}

Duration LatencyEstimate::median(Duration fallback) const
{
    return m_count < REFRESH_INTERVAL ? fallback : m_median;
}

Duration LatencyEstimate::cappedP99(Duration fallback) const
{
    return m_count < REFRESH_INTERVAL ? fallback : std::min(m_p99, m_median * 2);
}

Duration LatencyEstimate::p95(Duration fallback) const
{
    return m_count < REFRESH_INTERVAL ? fallback : m_p95;
}

} // namespace Papaya
