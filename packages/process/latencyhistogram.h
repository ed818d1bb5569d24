#pragma once

#include <memory>
#include <ostream>
#include <string>

// A histogram of latencies with logarithmic bins, exported in the Prometheus text format.

namespace Papaya
{

/** Histogram of latencies from 0.1 ms to 60 s. Thread-safe. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(double seconds);
    /** Writes buckets, sum and count of the metric @p name with @p label, such as stage="stored". */
    void write(std::ostream &out, const std::string &name, const std::string &label) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

} // namespace Papaya
