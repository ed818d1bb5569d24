#include "timespan.h"

#include <algorithm>

namespace Papaya::Testing
{

std::vector<TimeSpan> without(TimeSpan span, std::vector<TimeSpan> taken)
{
    std::sort(taken.begin(), taken.end(), [](const TimeSpan &a, const TimeSpan &b) { return a.fromMs < b.fromMs; });
    std::vector<TimeSpan> left;
    for (const TimeSpan &part : taken) {
        if (part.fromMs > span.fromMs) {
            left.push_back({span.fromMs, std::min(part.fromMs, span.toMs)});
        }
        span.fromMs = std::max(span.fromMs, part.toMs);
    }
    left.push_back(span);
    std::erase_if(left, [](const TimeSpan &part) { return part.length() <= 0; });
    return left;
}

} // namespace Papaya::Testing
