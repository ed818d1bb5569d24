#pragma once

#include "version/fleetmodel.h"

#include <memory>
#include <optional>
#include <set>

// Chooses the workers of a gang. Pure decision code.

namespace Papaya
{

/** How the workers of a gang are chosen. */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /**
     * Chooses workers that have room for every part of @p shape and lie as close together as it asks.
     * @param avoid workers that must not be used
     * @return the workers by part, or nothing if there is no room
     */
    [[nodiscard]] virtual std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                           const std::set<WorkerIndex> &avoid) const = 0;
};

/** The first group with room, filled in order; a baseline. */
class FirstFit : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/** The group with the least room left over, its fullest workers first; a baseline. */
class BestFit : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/**
 * Keeps large shapes placeable: fills workers that are already broken up, then breaks up racks that are, and takes
 * whole racks last.
 */
class ShapeKeeping : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<PartWorkers> place(const FleetModel &fleet, const Shape &shape,
                                                   const std::set<WorkerIndex> &avoid) const override;
};

/** @return true if @p shape would fit on a fleet of the same workers with nothing running. */
bool fitsEmptyFleet(const FleetModel &fleet, const Shape &shape);

} // namespace Papaya
