#include "steps/upkeep.h"

#include <algorithm>
#include <tuple>

namespace Papaya
{

namespace
{

constexpr std::int64_t MAINTENANCE_SLOT_MS = 4'000; // 2 s down, plus delays of the order and the return
constexpr std::int64_t MIN_VACATE_MS = 1'000;       // a stop takes 0.2 s, and its end has to be reported
constexpr std::int64_t MAX_RESERVATION_MS = 15'000; // bound on how long a reservation may keep a machine idle

} // namespace

bool WaveProgress::completed() const
{
    return std::all_of(machines.begin(), machines.end(), [](const auto &item) {
        return item.second == UpkeepState::Done || item.second == UpkeepState::Removed;
    });
}

bool exceedsBudget(std::uint32_t maxUnavailable, std::uint32_t unavailable, std::uint32_t affected)
{
    return maxUnavailable > 0 && affected > 0 && unavailable + affected > maxUnavailable;
}

UpkeepDecisions planUpkeep(std::uint32_t maximum, std::uint32_t down, std::vector<UpkeepCandidate> pending,
                           std::int64_t remainingMs)
{
    // 1. Reserved machines keep their turn; the others follow in the order of least lost work.
    std::sort(pending.begin(), pending.end(), [](const UpkeepCandidate &a, const UpkeepCandidate &b) {
        return std::make_tuple(a.reservedMs < 0, a.lossMs, a.running, a.machine)
               < std::make_tuple(b.reservedMs < 0, b.lossMs, b.running, b.machine);
    });
    // 2. The slack until the deadline is divided among the remaining slots.
    const std::uint32_t atOnce = std::max<std::uint32_t>(1, maximum);
    const auto slots = static_cast<std::int64_t>((pending.size() + atOnce - 1) / atOnce);
    const std::int64_t spareMs = slots == 0 ? 0 : remainingMs / slots - MAINTENANCE_SLOT_MS;
    const std::int64_t maxWaitMs = std::clamp<std::int64_t>(spareMs, 0, MAX_RESERVATION_MS);
    // 3. The first machines that can go down take the free slots.
    UpkeepDecisions decisions;
    std::uint32_t slotsTaken = down;
    for (const UpkeepCandidate &candidate : pending) {
        if (slotsTaken >= atOnce) {
            break;
        }
        if (!candidate.up || candidate.overBudget) {
            continue;
        }
        ++slotsTaken;
        decisions.reserve.push_back(candidate.machine);
        if (candidate.running == 0 || candidate.vacatedMs >= MIN_VACATE_MS) {
            decisions.begin.push_back(candidate.machine);
        } else if (candidate.reservedMs >= maxWaitMs) {
            decisions.vacate.push_back(candidate.machine);
        }
    }
    return decisions;
}

} // namespace Papaya
