#pragma once

#include "connection/callslots.h"
#include "dispatch/assignment.h"
#include "dispatch/leaseterms.h"
#include "dispatch/minioncontrol.h"
#include "steps/fillpace.h"
#include "steps/minionclock.h"

#include <algorithm>
#include <cstdint>
#include <deque>
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
    /** Most start orders in flight to one minion, and most stop orders. With more, they end in time-outs. */
    static constexpr std::size_t MAX_ORDERS_IN_FLIGHT = 32;

    MinionEntry entry;
    MinionClock clock;
    bool listed = true;           ///< its entry is in the minions topic
    std::int64_t unlistedMs = 0;  ///< when the entry was removed
    Epoch fence;                  ///< of the orders to its present instance
    bool fenceRaised = false;     ///< it refuses orders with lower fences, of earlier planners or to former instances
    bool silenceRecorded = false; ///< the journal may have a MinionSilence, so that no lease is granted
    bool silenceEnding = false;   ///< its withdrawal is being stored
    bool polling = false;         ///< a poll loop is running
    std::uint64_t restarts = 0;   ///< restarts of the minion that were noticed
    std::int64_t formerStartTimeMs = 0; ///< MinionEntry::startTimeMs before the last restart
    bool entryOutdated = false;         ///< the minion has restarted since it wrote its entry
    std::int64_t newestStartTimeMs = 0; ///< latest MinionEntry::startTimeMs that an entry or report has shown
    bool addressCovered = false;        ///< every address has been read to which earlier planners may have sent starts
    std::int64_t lateStartsUntilMs = 0; ///< until when starts without an answer may be carried out
    std::uint64_t unverifiedStarts = 0; ///< starts that another instance of the minion may have accepted
    std::uint64_t verifiedStarts = 0;   ///< of these, the ones that a later report has covered
    std::uint64_t endsHandled = 0;      ///< ends up to this number have been applied to the job table
    std::uint64_t endsStored = 0;       ///< ends up to this number are journaled and may be acknowledged
    std::uint64_t endsAcked = 0;        ///< ends up to this number have been acknowledged
    std::int64_t ackPollUntilMs = 0;    ///< until when a long poll that acknowledges ends may be in progress
    std::int64_t formerPollUntilMs = 0; ///< the same of one sent before the last restart: new ends may be forgotten
    std::vector<PlacedMember> placed;   ///< placed members that are not known to have ended
    Resources used;                     ///< taken by the placed members
    Resources stopping;                 ///< the part of used that members being stopped take
    std::uint32_t pollFailures = 0;     ///< consecutive failed polls
    std::uint32_t runFailures = 0;      ///< failed or stuck runs since the last successful one
    std::int64_t backOffUntilMs = 0;    ///< gets no new work until then, as it has refused some
    std::int64_t probationUntilMs = 0;  ///< gets no new work until then, as runs have failed or got stuck
    std::int64_t leavesAtMs = 0;        ///< earliest departure, while draining
    FillPace fillPace;                  ///< throttling of best-effort tasks
    bool shared = false;                ///< runs best-effort tasks beside services
    std::vector<UnitKey> strays;        ///< tasks that its last report lists as running, but that are not placed on it
    std::size_t startsInFlight = 0;     ///< start orders that wait for a connection or for an answer
    std::deque<std::shared_ptr<Assignment>> waitingStarts; ///< wait until fewer start orders are in flight
    /** Limits the stop orders in flight. */
    std::shared_ptr<CallSlots> stopSlots = CallSlots::create(MAX_ORDERS_IN_FLIGHT);
    Millis pollPause {0};      ///< wait before the next poll, after a report of many tasks
    bool confirming = false;   ///< polls are made to confirm that runs are absent
    bool confirmAgain = false; ///< another one is needed, as the last began too early
    /** When a report was last used to learn interference. */
    std::int64_t interferenceSeenMs = 0;
    /** Latest end of leases of earlier planners or by a former clock of the minion; unused after the first answer. */
    std::int64_t priorLeaseUntilMs = 0;

    /**
     * @return true if ends may be acknowledged. An instance that is not the expected one would forget ends that were
     * never read. It has some only if it has accepted a start, so a report must have followed every start.
     */
    [[nodiscard]] bool mayAcknowledge() const
    {
        return verifiedStarts == unverifiedStarts && !hasStartInFlight();
    }

    /** @return true if a start order may have reached the minion and has not been confirmed. */
    [[nodiscard]] bool hasStartInFlight() const
    {
        return std::any_of(placed.begin(), placed.end(), [](const PlacedMember &item) {
            return item.member().state == MemberState::Ordered && item.member().sent;
        });
    }

    /** @return true if every start was sent to the address of the entry, or to an earlier instance's address. */
    [[nodiscard]] bool hasLatestAddress() const
    {
        return addressCovered && entry.startTimeMs != 0 && entry.startTimeMs == newestStartTimeMs;
    }

    /** @return true if no lease ends later than LEASE_MS from @p nowMs, as long as none is granted. */
    [[nodiscard]] bool leaseIsLimited(std::int64_t nowMs) const
    {
        const bool doubted = std::any_of(placed.begin(), placed.end(), [nowMs](const PlacedMember &item) {
            return nowMs <= item.member().unverifiedUntilMs;
        });
        return fenceRaised && clock.endsWithin(nowMs, LEASE_MS) && !doubted && !hasStartInFlight()
               && nowMs >= lateStartsUntilMs;
    }

    /** @return true if a report of the minion is needed at @p nowMs. */
    [[nodiscard]] bool awaitsReport(std::int64_t nowMs) const
    {
        return !placed.empty() || !strays.empty() || !fenceRaised || endsAcked < endsHandled
               || nowMs < lateStartsUntilMs;
    }

    void remove(const Assignment &assignment, std::size_t index)
    {
        std::erase_if(placed, [&](const PlacedMember &item) {
            return item.assignment.get() == &assignment && item.index == index;
        });
    }
};

} // namespace Papaya
