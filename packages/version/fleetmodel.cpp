#include "version/fleetmodel.h"

#include <algorithm>
#include <cassert>

namespace Papaya
{

namespace
{

/** @return the index of the group called @p name; adds the group if it is new. */
GroupIndex groupOf(std::unordered_map<std::string, GroupIndex> &index, std::vector<WorkerGroup> &groups,
                   const std::string &name)
{
    const auto [entry, added] = index.emplace(name, static_cast<GroupIndex>(groups.size()));
    if (added) {
        groups.emplace_back();
    }
    return entry->second;
}

} // namespace

FleetModel::FleetModel()
    : m_topology(std::make_shared<Topology>())
{
    m_topology->all.emplace_back();
}

WorkerIndex FleetModel::add(const WorkerId &id, const PlaceName &place, const RackName &rack, const Resources &capacity)
{
    assert(m_topology.use_count() == 1);
    Topology &topology = *m_topology;
    const auto index = static_cast<WorkerIndex>(topology.workers.size());
    // Rack names are unique only within their place.
    const GroupIndex rackIndex = groupOf(topology.rackIndex, topology.racks, place.value() + "/" + rack.value());
    const GroupIndex placeIndex = groupOf(topology.placeIndex, topology.places, place.value());
    topology.workers.push_back({id, rackIndex, capacity});
    topology.singleWorkers.push_back({index});
    topology.racks[rackIndex].push_back(index);
    topology.places[placeIndex].push_back(index);
    topology.all.front().push_back(index);
    topology.byId[id] = index;
    m_free.push_back(capacity);
    m_usable.push_back(true);
    return index;
}

void FleetModel::setUsable(WorkerIndex worker, bool usable)
{
    m_usable[worker] = usable;
}

void FleetModel::allocate(WorkerIndex worker, const Resources &part)
{
    m_free[worker] -= part;
}

void FleetModel::release(WorkerIndex worker, const Resources &part)
{
    m_free[worker] += part;
}

void FleetModel::allocateAll(const PartWorkers &workers, const Resources &part)
{
    for (const WorkerIndex worker : workers) {
        allocate(worker, part);
    }
}

void FleetModel::releaseAll(const PartWorkers &workers, const Resources &part)
{
    for (const WorkerIndex worker : workers) {
        release(worker, part);
    }
}

std::optional<WorkerIndex> FleetModel::find(const WorkerId &id) const
{
    const auto found = m_topology->byId.find(id);
    return found == m_topology->byId.end() ? std::nullopt : std::optional<WorkerIndex>(found->second);
}

const std::vector<WorkerGroup> &FleetModel::groups(Adjacency adjacency) const
{
    switch (adjacency) {
    case Adjacency::Worker:
        return m_topology->singleWorkers;
    case Adjacency::Rack:
        return m_topology->racks;
    case Adjacency::Place:
        return m_topology->places;
    case Adjacency::Any:
        break;
    }
    return m_topology->all;
}

std::uint32_t FleetModel::partsThatFit(WorkerIndex worker, const Resources &part) const
{
    if (!m_usable[worker]) {
        return 0;
    }
    const Resources &free = m_free[worker];
    std::int64_t fit = MAX_GANG_PARTS;
    const auto bound = [&](std::int64_t amount, std::int64_t need) {
        if (need > 0) {
            fit = std::min(fit, std::max<std::int64_t>(0, amount) / need);
        }
    };
    bound(free.gpus, part.gpus);
    bound(free.cores, part.cores);
    bound(free.memoryMb, part.memoryMb);
    return static_cast<std::uint32_t>(fit);
}

std::int64_t FleetModel::freeGpus() const
{
    std::int64_t total = 0;
    for (WorkerIndex i = 0; i < m_free.size(); ++i) {
        total += m_usable[i] ? std::max<std::int64_t>(0, m_free[i].gpus) : 0;
    }
    return total;
}

FleetModel FleetModel::withoutAllocations() const
{
    FleetModel empty = *this;
    for (WorkerIndex i = 0; i < m_free.size(); ++i) {
        empty.m_free[i] = capacity(i);
        empty.m_usable[i] = true;
    }
    return empty;
}

} // namespace Papaya
