#include "process/overrun.h"

#include <algorithm>
#include <map>
#include <set>

namespace Papaya
{

namespace
{

using PartList = std::vector<const PartUsage *>;

bool overruns(const PartUsage &part)
{
    return part.used.cores > part.declared.cores || part.used.memoryMb > part.declared.memoryMb;
}

bool mayStop(const PartUsage &part)
{
    return part.rule == StopRule::Freely || (part.rule == StopRule::IfOverrunning && overruns(part));
}

/** @return by how much a part exceeds what it declared, in thousandths of the worker's @p capacity. */
std::int64_t excess(const PartUsage &part, const Resources &capacity)
{
    constexpr std::int64_t THOUSAND = 1'000;
    const auto share = [](std::int64_t used, std::int64_t declared, std::int64_t all) {
        return all > 0 ? std::max<std::int64_t>(0, used - declared) * THOUSAND / all : 0;
    };
    return std::max(share(part.used.cores, part.declared.cores, capacity.cores),
                    share(part.used.memoryMb, part.declared.memoryMb, capacity.memoryMb));
}

/** @return the parts of a worker that may be stopped, in the order in which to stop them. */
PartList victims(const PartList &parts, const Resources &capacity)
{
    PartList order;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(order),
                 [](const PartUsage *part) { return mayStop(*part); });
    std::stable_sort(order.begin(), order.end(), [&](const PartUsage *a, const PartUsage *b) {
        const bool borrowedA = a->rule == StopRule::Freely;
        const bool borrowedB = b->rule == StopRule::Freely;
        if (overruns(*a) != overruns(*b)) {
            return overruns(*a);
        }
        return borrowedA != borrowedB ? borrowedA : excess(*a, capacity) > excess(*b, capacity);
    });
    return order;
}

} // namespace

OverrunDecision decideOverruns(const FleetModel &fleet, const std::vector<PartUsage> &parts)
{
    std::map<WorkerIndex, PartList> byWorker;
    std::set<JobId> stopping;
    for (const PartUsage &part : parts) {
        byWorker[part.worker].push_back(&part);
        if (part.stopping) {
            stopping.insert(part.task.job);
        }
    }
    OverrunDecision decision;
    for (const auto &[worker, list] : byWorker) {
        // 1. Parts that are already being stopped do not count as use.
        const Resources &capacity = fleet.capacity(worker);
        Resources used;
        for (const PartUsage *part : list) {
            if (!stopping.contains(part->task.job)) {
                used += part->used;
            }
        }
        // 2. If cores are short, throttles parts that use more than they declared, and waits for the effect.
        bool throttlePending = false;
        for (const PartUsage *part : list) {
            throttlePending |= part->throttlePending;
            if (used.cores > capacity.cores && part->used.cores > part->declared.cores && !part->throttled) {
                decision.throttles.push_back(part->task);
                throttlePending = true;
            }
        }
        // 3. Stops gangs while memory is short, or cores are short and no throttle is pending.
        for (const PartUsage *part : victims(list, capacity)) {
            const bool coresShort = used.cores > capacity.cores && !throttlePending;
            if ((!coresShort && used.memoryMb <= capacity.memoryMb) || stopping.contains(part->task.job)) {
                continue;
            }
            stopping.insert(part->task.job);
            decision.stops.push_back(part->task.job);
            for (const PartUsage *freed : list) {
                if (freed->task.job == part->task.job) {
                    used -= freed->used;
                }
            }
        }
    }
    return decision;
}

} // namespace Papaya
