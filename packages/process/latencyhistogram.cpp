#include "process/latencyhistogram.h"

#include <boost/histogram.hpp>

#include <mutex>

namespace Papaya
{

namespace
{

namespace Bh = boost::histogram;

constexpr unsigned LATENCY_BINS = 60;
constexpr double LATENCY_LOW_SECONDS = 0.0001;
constexpr double LATENCY_HIGH_SECONDS = 60.0;

using LatencyAxis = Bh::axis::regular<double, Bh::axis::transform::log>;

auto emptyHistogram()
{
    return Bh::make_histogram(LatencyAxis(LATENCY_BINS, LATENCY_LOW_SECONDS, LATENCY_HIGH_SECONDS));
}

} // namespace

struct LatencyHistogram::Bins {
    mutable std::mutex mutex;
    decltype(emptyHistogram()) histogram = emptyHistogram();
    double sum = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(double seconds)
{
    const std::lock_guard lock(m_bins->mutex);
    m_bins->histogram(seconds);
    m_bins->sum += seconds;
}

void LatencyHistogram::write(std::ostream &out, const std::string &name, const std::string &label) const
{
    const std::lock_guard lock(m_bins->mutex);
    const auto &histogram = m_bins->histogram;
    double total = histogram.at(-1);
    for (unsigned bin = 0; bin < LATENCY_BINS; ++bin) {
        total += histogram.at(static_cast<int>(bin));
        const double upper = histogram.axis().bin(static_cast<int>(bin)).upper();
        out << name << "_bucket{" << label << ",le=\"" << upper << "\"} " << total << "\n";
    }
    total += histogram.at(static_cast<int>(LATENCY_BINS));
    out << name << "_bucket{" << label << ",le=\"+Inf\"} " << total << "\n";
    out << name << "_sum{" << label << "} " << m_bins->sum << "\n";
    out << name << "_count{" << label << "} " << total << "\n";
}

} // namespace Papaya
