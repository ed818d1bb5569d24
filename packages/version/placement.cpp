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
bool hasRoom(const FleetModel &fleet, const WorkerGroup &group, const Shape &shape, const std::set<WorkerIndex> &avoid)
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
std::vector<std::uint32_t> wholeWorkersByRack(const FleetModel &fleet)
{
    std::vector<std::uint32_t> whole(fleet.groups(Adjacency::Rack).size(), 0);
    for (WorkerIndex i = 0; i < fleet.size(); ++i) {
        whole[fleet.rackOf(i)] += fleet.usable(i) && fleet.whole(i) ? 1U : 0U;
    }
    return whole;
}

/** Fragmentation that a placement causes; compared field by field, lower is better. */
struct PlacementCost {
    std::int64_t brokenRacks = 0;   ///< racks of idle workers of which the placement takes only a part
    std::int64_t brokenWorkers = 0; ///< idle workers of which it takes only a part
    std::int64_t wholeLeft = 0;     ///< idle workers left in the racks used; a rack that has few is used up first
    std::int64_t freeLeft = 0;      ///< free accelerators left on the workers used

    auto operator<=>(const PlacementCost &) const = default;
};

/** @param whole result of wholeWorkersByRack() before the placement */
PlacementCost costOf(const FleetModel &fleet, const std::vector<std::uint32_t> &whole, PartWorkers parts,
                     const Shape &shape)
{
    struct RackUse {
        GroupIndex rack = 0;
        std::uint32_t wholeTaken = 0;
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
        const bool breaks = fleet.whole(worker) && taken > 0;
        cost.freeLeft += fleet.free(worker).gpus - taken;
        cost.brokenWorkers += breaks && taken < fleet.capacity(worker).gpus ? 1 : 0;
        const auto same = [&](const RackUse &use) { return use.rack == fleet.rackOf(worker); };
        auto use = std::find_if(racks.begin(), racks.end(), same);
        if (use == racks.end()) {
            racks.push_back({fleet.rackOf(worker), 0});
            use = racks.end() - 1;
        }
        use->wholeTaken += breaks ? 1U : 0U;
    }
    for (const RackUse &use : racks) {
        const std::uint32_t before = whole[use.rack];
        const std::uint32_t after = before - use.wholeTaken;
        const bool wasWhole = before == fleet.groups(Adjacency::Rack)[use.rack].size();
        cost.brokenRacks += wasWhole && after > 0 && after < before ? 1 : 0;
        cost.wholeLeft += after;
    }
    return cost;
}

/** Places all parts on the one worker where this causes the least fragmentation. */
std::optional<PartWorkers> placeOnOneWorker(const FleetModel &fleet, const Shape &shape,
                                            const std::vector<std::uint32_t> &whole, const std::set<WorkerIndex> &avoid)
{
    std::optional<WorkerIndex> best;
    PlacementCost least;
    for (WorkerIndex i = 0; i < fleet.size(); ++i) {
        if (fleet.partsThatFit(i, shape.part) < shape.parts || avoid.contains(i)) {
            continue;
        }
        const std::int64_t taken = shape.totalGpus();
        const bool breaks = fleet.whole(i) && taken > 0;
        const std::uint32_t before = whole[fleet.rackOf(i)];
        const bool wasWhole = before == fleet.groups(Adjacency::Rack)[fleet.rackOf(i)].size();
        PlacementCost cost;
        cost.brokenRacks = breaks && wasWhole && before > 1 ? 1 : 0;
        cost.brokenWorkers = breaks && taken < fleet.capacity(i).gpus ? 1 : 0;
        cost.wholeLeft = before - (breaks ? 1 : 0);
        cost.freeLeft = fleet.free(i).gpus - taken;
        // Among partly allocated workers the fullest is best, whatever its rack is like, so its free
        // accelerators count before the idle workers left in its rack.
        if (!breaks) {
            std::swap(cost.wholeLeft, cost.freeLeft);
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
        if (left < leastLeft && hasRoom(fleet, group, shape, avoid)) {
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

std::optional<PartWorkers> ShapeKeeping::place(const FleetModel &fleet, const Shape &shape,
                                               const std::set<WorkerIndex> &avoid) const
{
    const std::vector<std::uint32_t> whole = wholeWorkersByRack(fleet);
    if (shape.adjacency == Adjacency::Worker || shape.parts == 1) {
        return placeOnOneWorker(fleet, shape, whole, avoid);
    }
    std::optional<PartWorkers> best;
    PlacementCost least;
    for (const WorkerGroup &group : fleet.groups(shape.adjacency)) {
        if (!hasRoom(fleet, group, shape, avoid)) {
            continue;
        }
        // Partly allocated workers come first, the fullest of them in front; then idle workers, those of the racks with
        // the fewest idle workers in front.
        WorkerGroup order = group;
        std::stable_sort(order.begin(), order.end(), [&](WorkerIndex a, WorkerIndex b) {
            if (fleet.whole(a) != fleet.whole(b)) {
                return fleet.whole(b);
            }
            if (fleet.whole(a)) {
                return whole[fleet.rackOf(a)] < whole[fleet.rackOf(b)];
            }
            return fleet.free(a).gpus < fleet.free(b).gpus;
        });
        auto parts = fill(fleet, order, shape, avoid);
        const PlacementCost cost = costOf(fleet, whole, *parts, shape);
        if (!best || cost < least) {
            best = std::move(parts);
            least = cost;
        }
    }
    return best;
}

bool fitsEmptyFleet(const FleetModel &fleet, const Shape &shape)
{
    return FirstFit().place(fleet.emptied(), shape, {}).has_value();
}

} // namespace Papaya
