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

/** A unit member placed on a minion. */
struct PlacedMember {
    std::shared_ptr<Assignment> assignment;
    std::size_t index = 0;

    [[nodiscard]] Member &member() const
    {
        return assignment->members[index];
    }
};

/** The planner's state of one minion. */
struct MinionLink {
    MinionEntry entry;
    MinionClock clock;
    bool listed = true;                 ///< its entry is in the minions topic
    std::int64_t unlistedMs = 0;        ///< when the entry was removed
    bool fenceRaised = false;           ///< it refuses orders of earlier planners
    bool polling = false;               ///< a poll loop is running
    std::uint64_t endsHandled = 0;      ///< ends up to this number have been applied to the job table
    std::uint64_t endsStored = 0;       ///< ends up to this number are journaled and may be acknowledged
    std::uint64_t endsAcked = 0;        ///< ends up to this number have been acknowledged
    std::vector<PlacedMember> placed;   ///< placed members that are not known to have ended
    Resources used;                     ///< taken by the placed members
    Resources stopping;                 ///< the part of used that members being stopped take
    std::uint32_t pollFailures = 0;     ///< consecutive failed polls
    std::uint32_t runFailures = 0;      ///< failed or stuck runs since the last successful one
    std::int64_t backOffUntilMs = 0;    ///< gets no new work until then
    std::int64_t leavesAtMs = 0;        ///< earliest departure, while draining
    FillPace fillPace;                  ///< throttling of best-effort tasks
    bool shared = false;                ///< runs best-effort tasks beside services
    std::int64_t priorLeaseUntilMs = 0; ///< latest end of earlier planners' leases; unused after the first answer

    void remove(const Assignment &assignment, std::size_t index)
    {
        std::erase_if(placed, [&](const PlacedMember &item) {
            return item.assignment.get() == &assignment && item.index == index;
        });
    }
};

} // namespace Papaya
