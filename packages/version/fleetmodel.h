#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "version/shape.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

// The workers as placement sees them: racks within places, capacities, and what is free. Copies share what does not
// change, so that decision code can copy a model to try something out.

namespace Papaya
{

/** Index of a worker within its model. */
using WorkerIndex = std::uint32_t;
/** Index of a rack or place within its model. */
using GroupIndex = std::uint32_t;
/** Workers that lie close together. */
using WorkerGroup = std::vector<WorkerIndex>;
/** Workers on which the parts of a gang are placed, by part. */
using PartWorkers = std::vector<WorkerIndex>;

/** All workers. */
class FleetModel
{
public:
    FleetModel();

    /** Adds a worker that is wholly free. Must not be called once the model has been copied. */
    WorkerIndex add(const WorkerId &id, const PlaceName &place, const RackName &rack, const Resources &capacity);

    /** Sets whether @p worker may get new work. */
    void setUsable(WorkerIndex worker, bool usable);
    /** Takes what one part needs; a worker may be overdrawn. */
    void take(WorkerIndex worker, const Resources &part);
    void give(WorkerIndex worker, const Resources &part);
    void takeAll(const PartWorkers &workers, const Resources &part);
    void giveAll(const PartWorkers &workers, const Resources &part);

    [[nodiscard]] std::size_t size() const
    {
        return m_free.size();
    }
    /** @return the index of worker @p id. */
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
    /** @return true if no accelerator of @p worker is taken. */
    [[nodiscard]] bool whole(WorkerIndex worker) const
    {
        return m_free[worker].gpus == capacity(worker).gpus;
    }
    /** @return true if @p worker is overdrawn. */
    [[nodiscard]] bool overdrawn(WorkerIndex worker) const
    {
        return !m_free[worker].covers(Resources {});
    }

    /** @return the groups of workers within which a gang of @p adjacency must lie. */
    [[nodiscard]] const std::vector<WorkerGroup> &groups(Adjacency adjacency) const;

    /** @return how many parts fit on @p worker; 0 if it may get no new work. */
    [[nodiscard]] std::uint32_t partsThatFit(WorkerIndex worker, const Resources &part) const;

    /** @return free accelerators of all usable workers. */
    [[nodiscard]] std::int64_t freeGpus() const;

    /** @return the same workers, usable or not, with nothing taken. */
    [[nodiscard]] FleetModel emptied() const;

private:
    struct Worker {
        WorkerId id;
        GroupIndex rack = 0;
        Resources capacity;
    };

    /** What copies share. */
    struct Topology {
        std::vector<Worker> workers;
        std::vector<WorkerGroup> singles;
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
