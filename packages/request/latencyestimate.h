#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>

// Estimates how long the runs of a template take, from the most recent ones.

namespace Papaya
{

/** Quantiles over a sliding window of samples. */
class LatencyEstimate
{
public:
    /** Adds a sample, which replaces the oldest one if the window is full. */
    void add(Duration sample);

    /** @return the median, or @p fallback while there are fewer than REFRESH_INTERVAL samples. */
    [[nodiscard]] Duration median(Duration fallback) const;
    /** @return the 95th percentile, or @p fallback while there are fewer than REFRESH_INTERVAL samples. */
    [[nodiscard]] Duration p95(Duration fallback) const;
    /**
     * Estimates a run time that is rarely exceeded. The cap keeps a long tail out of the estimate: a run that takes
     * this long is better cut off and tried again.
     * @return the 99th percentile, capped at twice the median, or @p fallback while there are fewer than
     * REFRESH_INTERVAL samples
     */
    [[nodiscard]] Duration cappedP99(Duration fallback) const;

private:
    static constexpr std::size_t WINDOW = 128;
    static constexpr std::size_t REFRESH_INTERVAL = 16; ///< samples between two updates of the quantiles

    /** Updates the quantiles. */
    void refresh();

    std::array<Duration, WINDOW> m_samples {};
    std::size_t m_count = 0;
    Duration m_median {0};
    Duration m_p95 {0};
    Duration m_p99 {0};
};

} // namespace Papaya
