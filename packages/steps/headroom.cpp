#include "steps/headroom.h"

#include <algorithm>
#include <cmath>

namespace Papaya
{

namespace
{

constexpr double HALF_LIFE_MS = 1'500;
constexpr std::int64_t MAX_SHARE_DIVISOR = 4; // of the fleet's GPUs

} // namespace

double Headroom::Recent::at(std::int64_t nowMs) const
{
    return gpus * std::exp2(-double(std::max<std::int64_t>(0, nowMs - asOfMs)) / HALF_LIFE_MS);
}

void Headroom::preempted(std::uint32_t priority, std::int64_t gpus, std::int64_t nowMs)
{
    Recent &recent = m_recent[priority];
    recent = {recent.at(nowMs) + double(gpus), nowMs};
}

std::int64_t Headroom::gpus(std::uint32_t priority, std::int64_t capacity, std::int64_t nowMs) const
{
    double sum = 0;
    for (auto recent = m_recent.upper_bound(0); recent != m_recent.end() && recent->first <= priority; ++recent) {
        sum += recent->second.at(nowMs);
    }
    return std::min(static_cast<std::int64_t>(sum), capacity / MAX_SHARE_DIVISOR);
}

} // namespace Papaya
