#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "version/shape.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

// Model of the workers for placement: their racks and places, their capacities, and their free resources. Copies of a
// model share the immutable part, so that decision code can cheaply try out placements on a copy.

namespace Papaya
{

/** Index of a worker in its model. */
using WorkerIndex = std::uint32_t;
/** Index of a rack or place in its model. */
using GroupIndex = std::uint32_t;
/** Workers within one rack or place, or at another level of Adjacency. */
using WorkerGroup = std::vector<WorkerIndex>;
/** Worker of each part of a gang, indexed by part. */
using PartWorkers = std::vector<WorkerIndex>;

/** All workers, with their capacities and free resources. */
class FleetModel
{
public:
    FleetModel();

    /** Adds a worker with nothing allocated on it. Must not be called while a copy shares the topology. */
    WorkerIndex add(const WorkerId &id, const PlaceName &place, const RackName &rack, const Resources &capacity);

    /** Sets whether new work may be placed on @p worker. */
    void setUsable(WorkerIndex worker, bool usable);
    /** Allocates the resources of one part; the free resources of @p worker may become negative. */
    void allocate(WorkerIndex worker, const Resources &part);
    /** Releases the resources of one part. */
    void release(WorkerIndex worker, const Resources &part);
    /** Allocates the resources of all parts of a gang. */
    void allocateAll(const PartWorkers &workers, const Resources &part);
    /** Releases the resources of all parts of a gang. */
    void releaseAll(const PartWorkers &workers, const Resources &part);

    [[nodiscard]] std::size_t size() const
    {
        return m_free.size();
    }
    /** @return the index of worker @p id, or nothing if the model has no such worker. */
    [[nodiscard]] std::optional<WorkerIndex> find(const WorkerId &id) const;
    [[nodiscard]] const WorkerId &id(WorkerIndex worker) const
    {
        return m_topology->workers[worker].id;
    }
    [[nodiscard]] GroupIndex rackOf(WorkerIndex worker) const
    {
        return m_topology->workers[worker].rack;
    }
    [[nodiscard]] const Resources &capacity(WorkerIndex worker) const
    {
        return m_topology->workers[worker].capacity;
    }
    [[nodiscard]] const Resources &free(WorkerIndex worker) const
    {
        return m_free[worker];
    }
    [[nodiscard]] bool usable(WorkerIndex worker) const
    {
        return m_usable[worker];
    }
    /** @return true if @p worker is idle: none of its accelerators is allocated. */
    [[nodiscard]] bool isIdle(WorkerIndex worker) const
    {
        return m_free[worker].gpus == capacity(worker).gpus;
    }
    /** @return true if more of any resource is allocated on @p worker than it has. */
    [[nodiscard]] bool overcommitted(WorkerIndex worker) const
    {
        return !m_free[worker].covers(Resources {});
    }

    /** @return the groups of workers at level @p adjacency; a gang must be placed within one of them. */
    [[nodiscard]] const std::vector<WorkerGroup> &groups(Adjacency adjacency) const;

    /** @return how many parts fit on @p worker, at most MAX_GANG_PARTS; 0 if the worker is not usable. */
    [[nodiscard]] std::uint32_t partsThatFit(WorkerIndex worker, const Resources &part) const;

    /** @return free accelerators of all usable workers. */
    [[nodiscard]] std::int64_t freeGpus() const;

    /** @return a copy in which every worker is usable and nothing is allocated. */
    [[nodiscard]] FleetModel withoutAllocations() const;

private:
    struct Worker {
        WorkerId id;
        GroupIndex rack = 0;
        Resources capacity;
    };

    /** The immutable part, which copies share. */
    struct Topology {
        std::vector<Worker> workers;
        std::vector<WorkerGroup> singleWorkers;
        std::vector<WorkerGroup> racks;
        std::vector<WorkerGroup> places;
        std::vector<WorkerGroup> all;
        std::unordered_map<WorkerId, WorkerIndex> byId;
        std::unordered_map<std::string, GroupIndex> rackIndex;
        std::unordered_map<std::string, GroupIndex> placeIndex;
    };

    std::shared_ptr<Topology> m_topology;
    std::vector<Resources> m_free;
    std::vector<bool> m_usable;
};

} // namespace Papaya
