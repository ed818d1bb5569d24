#pragma once

#include "dispatch/assignment.h"
#include "dispatch/minioncontrol.h"
#include "steps/fillpace.h"
#include "steps/minionclock.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace Papaya
{

/** A member of a unit that is placed on a minion. */
struct PlacedMember {
    std::shared_ptr<Assignment> assignment;
    std::size_t index = 0;

    [[nodiscard]] Member &member() const
    {
        return assignment->members[index];
    }
};

/** What the planner knows of one minion. */
struct MinionLink {
    MinionEntry entry;
    MinionClock clock;
    bool listed = true;                 ///< its entry is still there
    std::int64_t unlistedMs = 0;        ///< when the entry went
    bool fenceRaised = false;           ///< it does nothing any more for earlier planners
    bool polling = false;               ///< a loop looks at it
    std::uint64_t endsHandled = 0;      ///< ends up to this number have been taken into the book
    std::uint64_t endsStored = 0;       ///< and are in the journal, so that they may be acknowledged
    std::uint64_t endsAcked = 0;        ///< and the minion has been told so
    std::vector<PlacedMember> placed;   ///< here and not known to have ended
    Resources used;                     ///< what they take
    Resources stopping;                 ///< the part of it that is being stopped
    std::uint32_t pollFailures = 0;     ///< in a row
    std::uint32_t runFailures = 0;      ///< failed runs without a good one between
    std::int64_t backOffUntilMs = 0;    ///< takes nothing new before
    std::int64_t leavesAtMs = 0;        ///< not before, while draining
    FillPace fillPace;                  ///< of the tasks that fill, beside those that serve
    bool shared = false;                ///< runs tasks that fill beside tasks that serve
    std::int64_t priorLeaseUntilMs = 0; ///< while never heard: an earlier planner's leases may last until then

    void remove(const Assignment &assignment, std::size_t index)
    {
        std::erase_if(placed, [&](const PlacedMember &item) {
            return item.assignment.get() == &assignment && item.index == index;
        });
    }
};

} // namespace Papaya
