#pragma once

#include "base/strong.h"
#include "version/fleetmodel.h"
#include "version/placement.h"

#include <vector>

// A guarantee is for gangs of a shape, not for a number of accelerators: "two adjacent workers of 8 accelerators" must
// stay reclaimable as such. A guarantee map assigns every guaranteed gang that is not in use to workers, such that all
// of them could be placed at the same time by preempting only work that may be preempted.

namespace Papaya
{

/** A team's guarantee of a number of gangs of one shape. */
struct TeamGuarantee {
    TeamName team;
    Shape shape;
    std::uint32_t count = 0;
};

/** One guaranteed gang that is not in use. */
struct GuaranteedGang {
    TeamName team;
    Shape shape;
};

/** The workers that a guaranteed gang is assigned to. */
struct GuaranteeAssignment {
    GuaranteedGang gang;
    PartWorkers workers;
};

/** The assigned guaranteed gangs, and the broken guarantees: gangs that could not be assigned. */
struct GuaranteeMap {
    std::vector<GuaranteeAssignment> assignments;
    std::vector<GuaranteedGang> broken;

    [[nodiscard]] bool valid() const
    {
        return broken.empty();
    }
};

/**
 * Assigns guaranteed gangs to workers.
 * @param reclaimable the fleet as it would be after preempting all work that may be preempted
 * @param unused the guaranteed gangs that are not in use
 */
GuaranteeMap assignGuarantees(const FleetModel &reclaimable, const std::vector<GuaranteedGang> &unused);

/** @return true if a gang of shape @p job counts as a use of a guarantee of shape @p guaranteed. */
bool usesGuarantee(const Shape &job, const Shape &guaranteed);

} // namespace Papaya
