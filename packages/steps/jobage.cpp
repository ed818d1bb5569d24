#include "steps/jobage.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t MAX_AHEAD_MS = 10'000; // the newest submissions may be older than the load by that much
constexpr std::int64_t MAX_BEHIND_MS = 1'000;

} // namespace

std::int64_t journalNowMs(std::vector<std::int64_t> stamps, std::int64_t wallMs)
{
    if (stamps.empty()) {
        return wallMs;
    }
    const auto middle = stamps.begin() + static_cast<std::ptrdiff_t>(stamps.size() / 2);
    std::nth_element(stamps.begin(), middle, stamps.end());
    const std::int64_t ahead = wallMs - *middle;
    return ahead >= -MAX_BEHIND_MS && ahead <= MAX_AHEAD_MS ? wallMs : *middle;
}

} // namespace Papaya
