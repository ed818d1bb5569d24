#include "version/placement.h"

#include <algorithm>

namespace Papaya
{

namespace
{

/** Places the parts on the workers of @p order, filling one worker after the other. */
std::optional<PartWorkers> fill(const FleetModel &fleet, const WorkerGroup &order, const Shape &shape,
                                const std::set<WorkerIndex> &avoid)
{
    PartWorkers parts;
    parts.reserve(shape.parts);
    for (const WorkerIndex worker : order) {
        const std::uint32_t fit = fleet.partsThatFit(worker, shape.part);
        if (fit == 0 || avoid.contains(worker)) {
            continue;
        }
        for (std::uint32_t i = 0; i < fit && parts.size() < shape.parts; ++i) {
            parts.push_back(worker);
        }
        if (parts.size() == shape.parts) {
            return parts;
        }
    }
    return std::nullopt;
}

/** @return true if every part fits on the workers of @p group. */
bool gangFits(const FleetModel &fleet, const WorkerGroup &group, const Shape &shape, const std::set<WorkerIndex> &avoid)
{
    std::uint32_t fit = 0;
    for (const WorkerIndex worker : group) {
        const std::uint32_t here = fleet.partsThatFit(worker, shape.part);
        fit += here > 0 && !avoid.contains(worker) ? here : 0;
        if (fit >= shape.parts) {
            return true;
        }
    }
    return false;
}

/** @return free accelerators of the usable workers of @p group. */
std::int64_t freeGpusOf(const FleetModel &fleet, const WorkerGroup &group)
{
    std::int64_t total = 0;
    for (const WorkerIndex worker : group) {
        total += fleet.usable(worker) ? fleet.free(worker).gpus : 0;
    }
    return total;
}

/** @return for each rack, how many of its workers are usable and idle: all their accelerators are free. */
std::vector<std::uint32_t> idleWorkersByRack(const FleetModel &fleet)
{
    std::vector<std::uint32_t> idleWorkers(fleet.groups(Adjacency::Rack).size(), 0);
    for (WorkerIndex i = 0; i < fleet.size(); ++i) {
        idleWorkers[fleet.rackOf(i)] += fleet.usable(i) && fleet.isIdle(i) ? 1U : 0U;
    }
    return idleWorkers;
}

/** Fragmentation that a placement causes; compared field by field, lower is better. */
struct PlacementCost {
    std::int64_t fragmentedRacks = 0;   ///< idle racks of which the placement takes only some of the workers
    std::int64_t fragmentedWorkers = 0; ///< idle workers of which it takes only some of the accelerators
    std::int64_t idleWorkersLeft = 0;   ///< idle workers left in the racks used; a rack that has few is used up first
    std::int64_t freeGpusLeft = 0;      ///< free accelerators left on the workers used

    auto operator<=>(const PlacementCost &) const = default;
};

/** @param idleWorkers result of idleWorkersByRack() before the placement */
PlacementCost costOf(const FleetModel &fleet, const std::vector<std::uint32_t> &idleWorkers, PartWorkers parts,
                     const Shape &shape)
{
    struct RackUse {
        GroupIndex rack = 0;
        std::uint32_t idleWorkersTaken = 0;
    };
    PlacementCost cost;
    std::vector<RackUse> racks;
    std::sort(parts.begin(), parts.end());
    for (std::size_t i = 0; i < parts.size();) {
        const WorkerIndex worker = parts[i];
        std::int64_t taken = 0;
        for (; i < parts.size() && parts[i] == worker; ++i) {
            taken += shape.part.gpus;
        }
        const bool usesIdleWorker = fleet.isIdle(worker) && taken > 0;
        cost.freeGpusLeft += fleet.free(worker).gpus - taken;
        cost.fragmentedWorkers += usesIdleWorker && taken < fleet.capacity(worker).gpus ? 1 : 0;
        const auto same = [&](const RackUse &use) { return use.rack == fleet.rackOf(worker); };
        auto use = std::find_if(racks.begin(), racks.end(), same);
        if (use == racks.end()) {
            racks.push_back({fleet.rackOf(worker), 0});
            use = racks.end() - 1;
        }
        use->idleWorkersTaken += usesIdleWorker ? 1U : 0U;
    }
    for (const RackUse &use : racks) {
        const std::uint32_t before = idleWorkers[use.rack];
        const std::uint32_t after = before - use.idleWorkersTaken;
        const bool rackWasIdle = before == fleet.groups(Adjacency::Rack)[use.rack].size();
        cost.fragmentedRacks += rackWasIdle && after > 0 && after < before ? 1 : 0;
        cost.idleWorkersLeft += after;
    }
    return cost;
}

/** Places all parts on the one worker where this causes the least fragmentation. */
std::optional<PartWorkers> placeOnOneWorker(const FleetModel &fleet, const Shape &shape,
                                            const std::vector<std::uint32_t> &idleWorkers,
                                            const std::set<WorkerIndex> &avoid)
{
    std::optional<WorkerIndex> best;
    PlacementCost least;
    for (WorkerIndex i = 0; i < fleet.size(); ++i) {
        if (fleet.partsThatFit(i, shape.part) < shape.parts || avoid.contains(i)) {
            continue;
        }
        const std::int64_t taken = shape.totalGpus();
        const bool usesIdleWorker = fleet.isIdle(i) && taken > 0;
        const std::uint32_t before = idleWorkers[fleet.rackOf(i)];
        const bool rackWasIdle = before == fleet.groups(Adjacency::Rack)[fleet.rackOf(i)].size();
        PlacementCost cost;
        cost.fragmentedRacks = usesIdleWorker && rackWasIdle && before > 1 ? 1 : 0;
        cost.fragmentedWorkers = usesIdleWorker && taken < fleet.capacity(i).gpus ? 1 : 0;
        cost.idleWorkersLeft = before - (usesIdleWorker ? 1 : 0);
        cost.freeGpusLeft = fleet.free(i).gpus - taken;
        // Among partly allocated workers the fullest is best, whatever its rack is like, so its free
        // accelerators count before the idle workers left in its rack.
        if (!usesIdleWorker) {
            std::swap(cost.idleWorkersLeft, cost.freeGpusLeft);
        }
        if (!best || cost < least) {
            best = i;
            least = cost;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return PartWorkers(shape.parts, *best);
}

} // namespace

std::optional<PartWorkers> FirstFit::place(const FleetModel &fleet, const Shape &shape,
                                           const std::set<WorkerIndex> &avoid) const
{
    for (const WorkerGroup &group : fleet.groups(shape.adjacency)) {
        if (auto parts = fill(fleet, group, shape, avoid)) {
            return parts;
        }
    }
    return std::nullopt;
}

std::optional<PartWorkers> BestFit::place(const FleetModel &fleet, const Shape &shape,
                                          const std::set<WorkerIndex> &avoid) const
{
    const WorkerGroup *best = nullptr;
    std::int64_t leastLeft = INT64_MAX;
    for (const WorkerGroup &group : fleet.groups(shape.adjacency)) {
        const std::int64_t left = freeGpusOf(fleet, group);
        if (left < leastLeft && gangFits(fleet, group, shape, avoid)) {
            best = &group;
            leastLeft = left;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    WorkerGroup order = *best;
    std::stable_sort(order.begin(), order.end(),
                     [&](WorkerIndex a, WorkerIndex b) { return fleet.free(a).gpus < fleet.free(b).gpus; });
    return fill(fleet, order, shape, avoid);
}

std::optional<PartWorkers> LeastFragmentation::place(const FleetModel &fleet, const Shape &shape,
                                                     const std::set<WorkerIndex> &avoid) const
{
    const std::vector<std::uint32_t> idleWorkers = idleWorkersByRack(fleet);
    if (shape.adjacency == Adjacency::Worker || shape.parts == 1) {
        return placeOnOneWorker(fleet, shape, idleWorkers, avoid);
    }
    std::optional<PartWorkers> best;
    PlacementCost least;
    for (const WorkerGroup &group : fleet.groups(shape.adjacency)) {
        if (!gangFits(fleet, group, shape, avoid)) {
            continue;
        }
        // Partly allocated workers come first, the fullest of them in front; then idle workers, those of the racks with
        // the fewest idle workers in front.
        WorkerGroup order = group;
        std::stable_sort(order.begin(), order.end(), [&](WorkerIndex a, WorkerIndex b) {
            if (fleet.isIdle(a) != fleet.isIdle(b)) {
                return fleet.isIdle(b);
            }
            if (fleet.isIdle(a)) {
                return idleWorkers[fleet.rackOf(a)] < idleWorkers[fleet.rackOf(b)];
            }
            return fleet.free(a).gpus < fleet.free(b).gpus;
        });
        auto parts = fill(fleet, order, shape, avoid);
        const PlacementCost cost = costOf(fleet, idleWorkers, *parts, shape);
        if (!best || cost < least) {
            best = std::move(parts);
            least = cost;
        }
    }
    return best;
}

bool fitsEmptyFleet(const FleetModel &fleet, const Shape &shape)
{
    return FirstFit().place(fleet.withoutAllocations(), shape, {}).has_value();
}

} // namespace Papaya
