#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "version/shape.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

// The workers as placement sees them: racks within places, capacities, and what is free. A small value that is copied
// to try something out.

namespace Papaya
{

/** Index of a worker within its model. */
using WorkerIndex = std::uint32_t;
/** Index of a rack or place within its model. */
using GroupIndex = std::uint32_t;

/** A worker of the model. */
struct ModelWorker {
    WorkerId id;
    GroupIndex rack = 0;
    GroupIndex place = 0;
    Resources capacity;
    Resources free;
    bool usable = true; ///< may get new work

    /** @return true if no accelerator of this worker is taken. */
    [[nodiscard]] bool whole() const
    {
        return free.gpus == capacity.gpus;
    }
};

/** Workers on which the parts of a gang are placed, by part. */
using PartWorkers = std::vector<WorkerIndex>;

/** All workers. */
class FleetModel
{
public:
    /** Adds a worker that is wholly free. */
    WorkerIndex add(const WorkerId &id, const PlaceName &place, const RackName &rack, const Resources &capacity);

    void setUsable(WorkerIndex worker, bool usable);
    /** Takes what one part needs; a worker may be overdrawn if it shrank. */
    void take(WorkerIndex worker, const Resources &part);
    void give(WorkerIndex worker, const Resources &part);
    void takeAll(const PartWorkers &workers, const Resources &part);
    void giveAll(const PartWorkers &workers, const Resources &part);

    /** @return the index of worker @p id. */
    [[nodiscard]] std::optional<WorkerIndex> find(const WorkerId &id) const;
    [[nodiscard]] const std::vector<ModelWorker> &workers() const
    {
        return m_workers;
    }
    [[nodiscard]] const ModelWorker &worker(WorkerIndex index) const
    {
        return m_workers[index];
    }
    /** @return the workers of each rack. */
    [[nodiscard]] const std::vector<std::vector<WorkerIndex>> &racks() const
    {
        return m_racks;
    }
    /** @return the workers of each place. */
    [[nodiscard]] const std::vector<std::vector<WorkerIndex>> &places() const
    {
        return m_places;
    }

    /** @return how many parts fit on @p worker; 0 if it may get no new work. */
    [[nodiscard]] std::uint32_t partsThatFit(WorkerIndex worker, const Resources &part) const;

    /** @return free accelerators of all usable workers. */
    [[nodiscard]] std::int64_t freeGpus() const;

private:
    std::vector<ModelWorker> m_workers;
    std::vector<std::vector<WorkerIndex>> m_racks;
    std::vector<std::vector<WorkerIndex>> m_places;
    std::unordered_map<WorkerId, WorkerIndex> m_byId;
    std::unordered_map<std::string, GroupIndex> m_rackIndex;
    std::unordered_map<std::string, GroupIndex> m_placeIndex;
};

/** @return the groups of workers within which a gang of @p adjacency must lie. */
std::vector<std::vector<WorkerIndex>> groupsFor(const FleetModel &fleet, Adjacency adjacency);

} // namespace Papaya
