#include "reserve/urgentdemand.h"

#include <cmath>

namespace Papaya
{

void UrgentDemand::submitted(std::int64_t gpus, std::int64_t nowMs)
{
    m_arrivals.push_back({nowMs, gpus});
    while (m_arrivals.front().atMs <= nowMs - WINDOW_MS) {
        m_arrivals.pop_front();
    }
}

std::int64_t UrgentDemand::expectedGpus(std::int64_t leadMs, std::int64_t nowMs) const
{
    double sum = 0;
    double sumOfSquares = 0;
    for (const Arrival &arrival : m_arrivals) {
        if (arrival.atMs > nowMs - WINDOW_MS) {
            sum += double(arrival.gpus);
            sumOfSquares += double(arrival.gpus) * double(arrival.gpus);
        }
    }
    const double share = double(leadMs) / double(WINDOW_MS);
    return std::llround(sum * share + std::sqrt(sumOfSquares * share));
}

} // namespace Papaya
