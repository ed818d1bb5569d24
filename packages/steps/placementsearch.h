#pragma once

#include "steps/minionfleet.h"

#include <map>
#include <vector>

// Finds minions with free room for all members of a unit: those that keep least behind, so that whole minions stay
// whole. What was looked for in vain is remembered: room only shrinks within a pass, so that a long queue of work that
// does not fit costs little. Pure.

namespace Papaya
{

/** What a unit asks of the minions that it may use. */
struct PlacementRequest {
    const MinionGroup *group = nullptr; ///< the minions that it may use
    Resources need;                     ///< of one member
    std::size_t members = 1;
    std::uint32_t maxPerMinion = 0;                               ///< 0 is no limit
    const std::vector<MinionId> *avoid = nullptr;                 ///< where it has failed; may be null
    const std::map<std::size_t, std::uint32_t> *placed = nullptr; ///< of its step, by minion; may be null
};

/** One pass's search for free room. */
class PlacementSearch
{
public:
    explicit PlacementSearch(const MinionFleet &fleet)
        : m_fleet(fleet)
    {
    }

    /** @return minions for all members on @p rack, or on any with MinionGroup::ANY_RACK; empty if there is no room. */
    std::vector<std::size_t> find(const PlacementRequest &request, std::size_t rack);

private:
    /** A request that found no room. */
    struct Failure {
        Resources need;
        std::size_t members = 1;
    };
    using SearchKey = std::pair<const MinionGroup *, std::size_t>;

    [[nodiscard]] bool isKnownInfeasible(const PlacementRequest &request, std::size_t rack) const;
    [[nodiscard]] double placementScore(const PlacementRequest &request, const MinionView &minion) const;

    const MinionFleet &m_fleet;
    std::map<SearchKey, std::vector<Failure>> m_failures;
};

/** @return how many tasks of the step of @p request are placed on @p minion. */
std::uint32_t placedOn(const PlacementRequest &request, std::size_t minion);

} // namespace Papaya
