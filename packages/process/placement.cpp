#include "process/placement.h"

#include <algorithm>

namespace Papaya
{

namespace
{

/** Fills the workers of @p order one after the other. */
std::optional<PartWorkers> fill(const FleetModel &fleet, const std::vector<WorkerIndex> &order, const Shape &shape,
                                const std::set<WorkerIndex> &avoid)
{
    PartWorkers parts;
    parts.reserve(shape.parts);
    for (const WorkerIndex worker : order) {
        if (avoid.contains(worker)) {
            continue;
        }
        const std::uint32_t fit = fleet.partsThatFit(worker, shape.part);
        for (std::uint32_t i = 0; i < fit && parts.size() < shape.parts; ++i) {
            parts.push_back(worker);
        }
        if (parts.size() == shape.parts) {
            return parts;
        }
    }
    return std::nullopt;
}

std::int64_t freeGpusOf(const FleetModel &fleet, const std::vector<WorkerIndex> &group)
{
    std::int64_t total = 0;
    for (const WorkerIndex worker : group) {
        total += fleet.worker(worker).usable ? fleet.worker(worker).free.gpus : 0;
    }
    return total;
}

} // namespace

std::optional<PartWorkers> FirstFit::place(const FleetModel &fleet, const Shape &shape,
                                           const std::set<WorkerIndex> &avoid) const
{
    for (const auto &group : groupsFor(fleet, shape.adjacency)) {
        if (auto parts = fill(fleet, group, shape, avoid)) {
            return parts;
        }
    }
    return std::nullopt;
}

std::optional<PartWorkers> BestFit::place(const FleetModel &fleet, const Shape &shape,
                                          const std::set<WorkerIndex> &avoid) const
{
    std::optional<PartWorkers> best;
    std::int64_t leastLeft = INT64_MAX;
    for (auto &group : groupsFor(fleet, shape.adjacency)) {
        const std::int64_t left = freeGpusOf(fleet, group);
        if (left >= leastLeft) {
            continue;
        }
        std::stable_sort(group.begin(), group.end(), [&](WorkerIndex a, WorkerIndex b) {
            return fleet.worker(a).free.gpus < fleet.worker(b).free.gpus;
        });
        if (auto parts = fill(fleet, group, shape, avoid)) {
            best = std::move(parts);
            leastLeft = left;
        }
    }
    return best;
}

bool fitsEmptyFleet(const FleetModel &fleet, const Shape &shape)
{
    FleetModel empty = fleet;
    for (WorkerIndex i = 0; i < fleet.workers().size(); ++i) {
        const ModelWorker &worker = fleet.worker(i);
        empty.give(i, {worker.capacity.cores - worker.free.cores, worker.capacity.memoryMb - worker.free.memoryMb,
                       worker.capacity.gpus - worker.free.gpus});
        empty.setUsable(i, true);
    }
    return FirstFit().place(empty, shape, {}).has_value();
}

} // namespace Papaya
