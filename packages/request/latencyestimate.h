#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>

// Learns how long the runs of a template take, from the latest of them.

namespace Papaya
{

/** Quantiles over a sliding window of samples. */
class LatencyEstimate
{
public:
    /** Takes a new sample. */
    void add(Duration sample);

    /** @return the median, or @p fallback before enough samples have come. */
    [[nodiscard]] Duration median(Duration fallback) const;
    /** @return the 95th percentile, or @p fallback before enough samples have come. */
    [[nodiscard]] Duration p95(Duration fallback) const;
    /** @return a time that most runs keep to, or @p fallback before enough samples have come: the 99th percentile, but
     *  no more than twice the median, since a long tail is better cut short by a second try. */
    [[nodiscard]] Duration ample(Duration fallback) const;

private:
    static constexpr std::size_t WINDOW = 128;
    static constexpr std::size_t REFRESH = 16; ///< samples between two sorts

    void refresh();

    std::array<Duration, WINDOW> m_samples {};
    std::size_t m_count = 0;
    Duration m_median {0};
    Duration m_p95 {0};
    Duration m_p99 {0};
};

} // namespace Papaya
