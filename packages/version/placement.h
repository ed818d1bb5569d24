#pragma once

#include "version/fleetmodel.h"

#include <memory>
#include <optional>
#include <set>

// Placement policies, which choose the workers of a gang. They have no side effects and read no clock.

namespace Papaya
{

/** Interface of the rules by which the workers of a gang are chosen. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * Chooses workers that have the free resources for every part of @p shape and satisfy its adjacency.
     * @param avoid workers that must not be used
     * @return the worker of each part, or nothing if the gang does not fit
     */
    [[nodiscard]] virtual std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                           const std::set<WorkerIndex> &avoid) const = 0;
};

/** Fills the workers of the first group that the gang fits in, in order; a baseline for comparisons. */
class FirstFit : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/** Uses the fitting group with the fewest free accelerators, its fullest workers first; a baseline for comparisons. */
class BestFit : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/**
 * Minimises fragmentation so that large shapes stay placeable: fills partly allocated workers first, then takes idle
 * workers in partly allocated racks, and idle racks last.
 */
class LeastFragmentation : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/** @return true if @p shape would fit on the workers of @p fleet with all of them usable and nothing allocated. */
bool fitsEmptyFleet(const FleetModel &fleet, const Shape &shape);

} // namespace Papaya
