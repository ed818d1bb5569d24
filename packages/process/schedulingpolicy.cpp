#include "process/schedulingpolicy.h"

#include <algorithm>

namespace Papaya
{

std::int64_t RunningGang::expectedEndMs(std::int64_t nowMs) const
{
    const std::int64_t expected = startedMs + runMs;
    return expected > nowMs ? expected : nowMs + (nowMs - startedMs) / 2;
}

const char *toString(WaitCause cause)
{
    switch (cause) {
    case WaitCause::NoCapacity:
        return "no group of workers that are close enough together has enough free capacity";
    case WaitCause::Reserved:
        return "not enough free capacity; workers are reserved for the job as they become free";
    case WaitCause::WouldBreakGuarantee:
        return "the job may not be restarted, so it may not use capacity that a team's guarantee could need";
    case WaitCause::ReservedForOthers:
        return "the free capacity is reserved for jobs ahead of it";
    case WaitCause::Reclaiming:
        return "jobs that run outside their team's guarantee are being stopped to free capacity for it";
    case WaitCause::NeverFits:
        return "no worker or group of workers is large enough, even with nothing running";
    }
    return "";
}

FleetModel occupiedFleet(const PlanningView &view)
{
    FleetModel fleet = view.fleet;
    for (const RunningGang &gang : view.running) {
        fleet.allocateAll(gang.workers, gang.shape.part);
    }
    return fleet;
}

FifoScheduling::FifoScheduling(std::unique_ptr<PlacementPolicy> placement)
    : m_placement(std::move(placement))
{
}

ScheduleDecision FifoScheduling::plan(const PlanningView &view)
{
    ScheduleDecision decision;
    FleetModel fleet = occupiedFleet(view);
    std::vector<const WaitingGang *> order;
    order.reserve(view.waiting.size());
    for (const WaitingGang &gang : view.waiting) {
        order.push_back(&gang);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const WaitingGang *a, const WaitingGang *b) { return a->urgency < b->urgency; });
    for (const WaitingGang *gang : order) {
        auto workers = m_placement->place(fleet, gang->shape, gang->avoid);
        if (!workers) {
            const bool fits = fitsEmptyFleet(view.fleet, gang->shape);
            decision.waits.push_back({gang->job, fits ? WaitCause::NoCapacity : WaitCause::NeverFits, 0});
            continue;
        }
        fleet.allocateAll(*workers, gang->shape.part);
        decision.placements.push_back({gang->job, std::move(*workers), false});
    }
    return decision;
}

} // namespace Papaya
