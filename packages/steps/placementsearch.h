#pragma once

#include "steps/minionfleet.h"
#include "steps/placementpreference.h"

#include <map>
#include <vector>

// Finds minions with free capacity for all members of a unit. The search is best-fit: it prefers the minions that keep
// the least free capacity, to leave others entirely free. Free capacity only shrinks within a pass, so failed searches
// are recorded and not repeated; a long queue of work that does not fit costs little.

namespace Papaya
{

/** The resources that a unit needs, and the minions that it may use. */
struct PlacementRequest {
    const MinionGroup *group = nullptr; ///< the minions that it may use
    Resources need;                     ///< of one member
    std::size_t members = 1;
    std::uint32_t maxPerMinion = 0;                               ///< 0 is no limit
    const std::vector<MinionId> *avoid = nullptr;                 ///< where it has failed; may be null
    const std::map<std::size_t, std::uint32_t> *placed = nullptr; ///< of its step, by minion; may be null
    const StepJob *job = nullptr;                                 ///< rated by the preferences, if not null
    const StepSpec *step = nullptr;                               ///< of job
};

/** Searches for free capacity within one scheduling pass. */
class PlacementSearch
{
public:
    /** @param preferences order the minions with room; they must outlive the search */
    explicit PlacementSearch(const MinionFleet &fleet, std::vector<const PlacementPreference *> preferences = {})
        : m_fleet(fleet)
        , m_preferences(std::move(preferences))
    {
    }

    /**
     * @param rack number of a rack, or MinionGroup::ANY_RACK
     * @return the minion of each member; empty if they do not all fit
     */
    std::vector<std::size_t> find(const PlacementRequest &request, std::size_t rack);

private:
    /** A request that did not fit. */
    struct Failure {
        Resources need;
        std::size_t members = 1;
    };
    using SearchKey = std::pair<const MinionGroup *, std::size_t>;

    [[nodiscard]] bool isKnownInfeasible(const PlacementRequest &request, std::size_t rack) const;
    [[nodiscard]] double placementScore(const PlacementRequest &request, const MinionView &minion) const;

    const MinionFleet &m_fleet;
    std::vector<const PlacementPreference *> m_preferences;
    std::map<SearchKey, std::vector<Failure>> m_failures;
};

/** @return how many tasks of the step of @p request are placed on @p minion. */
std::uint32_t placedOn(const PlacementRequest &request, std::size_t minion);

} // namespace Papaya
