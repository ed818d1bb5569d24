#include "process/fleetmodel.h"

#include <algorithm>
#include <limits>

namespace Papaya
{

namespace
{

GroupIndex groupOf(std::unordered_map<std::string, GroupIndex> &index, std::vector<std::vector<WorkerIndex>> &groups,
                   const std::string &name)
{
    const auto [entry, added] = index.emplace(name, static_cast<GroupIndex>(groups.size()));
    if (added) {
        groups.emplace_back();
    }
    return entry->second;
}

} // namespace

WorkerIndex FleetModel::add(const WorkerId &id, const PlaceName &place, const RackName &rack, const Resources &capacity)
{
    const auto index = static_cast<WorkerIndex>(m_workers.size());
    ModelWorker worker;
    worker.id = id;
    // Rack names are unique only within their place.
    worker.rack = groupOf(m_rackIndex, m_racks, place.value() + "/" + rack.value());
    worker.place = groupOf(m_placeIndex, m_places, place.value());
    worker.capacity = capacity;
    worker.free = capacity;
    m_racks[worker.rack].push_back(index);
    m_places[worker.place].push_back(index);
    m_byId[id] = index;
    m_workers.push_back(std::move(worker));
    return index;
}

void FleetModel::setUsable(WorkerIndex worker, bool usable)
{
    m_workers[worker].usable = usable;
}

void FleetModel::take(WorkerIndex worker, const Resources &part)
{
    m_workers[worker].free -= part;
}

void FleetModel::give(WorkerIndex worker, const Resources &part)
{
    m_workers[worker].free += part;
}

void FleetModel::takeAll(const PartWorkers &workers, const Resources &part)
{
    for (const WorkerIndex worker : workers) {
        take(worker, part);
    }
}

void FleetModel::giveAll(const PartWorkers &workers, const Resources &part)
{
    for (const WorkerIndex worker : workers) {
        give(worker, part);
    }
}

std::optional<WorkerIndex> FleetModel::find(const WorkerId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? std::nullopt : std::optional<WorkerIndex>(found->second);
}

std::uint32_t FleetModel::partsThatFit(WorkerIndex index, const Resources &part) const
{
    const ModelWorker &worker = m_workers[index];
    if (!worker.usable) {
        return 0;
    }
    std::int64_t fit = MAX_GANG_PARTS;
    const auto bound = [&](std::int64_t free, std::int64_t need) {
        if (need > 0) {
            fit = std::min(fit, std::max<std::int64_t>(0, free) / need);
        }
    };
    bound(worker.free.gpus, part.gpus);
    bound(worker.free.cores, part.cores);
    bound(worker.free.memoryMb, part.memoryMb);
    return static_cast<std::uint32_t>(fit);
}

std::int64_t FleetModel::freeGpus() const
{
    std::int64_t total = 0;
    for (const ModelWorker &worker : m_workers) {
        total += worker.usable ? std::max<std::int64_t>(0, worker.free.gpus) : 0;
    }
    return total;
}

std::vector<std::vector<WorkerIndex>> groupsFor(const FleetModel &fleet, Adjacency adjacency)
{
    std::vector<std::vector<WorkerIndex>> groups;
    switch (adjacency) {
    case Adjacency::Worker:
        for (WorkerIndex i = 0; i < fleet.workers().size(); ++i) {
            groups.push_back({i});
        }
        return groups;
    case Adjacency::Rack:
        return fleet.racks();
    case Adjacency::Place:
        return fleet.places();
    case Adjacency::Any:
        groups.emplace_back();
        for (WorkerIndex i = 0; i < fleet.workers().size(); ++i) {
            groups.back().push_back(i);
        }
        return groups;
    }
    return groups;
}

} // namespace Papaya
