#pragma once

#include "dispatch/minioncontrol.h"
#include "steps/stepjob.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Papaya
{

/** The state of a member of a placed unit. */
enum class MemberState {
    Ordered, ///< its start has not been confirmed
    Running,
    Ended, ///< does not run, and will not start again under this run number
};

/** One task of a placed unit. */
struct Member {
    MinionId minion;
    MemberState state = MemberState::Ordered;
    bool sent = false;            ///< a start order may have reached the minion
    std::int64_t confirmedMs = 0; ///< when the start was confirmed
    std::int64_t orderedMs = 0;   ///< when the last start order had been answered or given up; 0 before that
    /** Until when the run may hold a lease if another instance of the minion than expected has accepted the start. */
    std::int64_t unverifiedUntilMs = 0;
    bool stopping = false; ///< a stop loop is running
    std::int64_t stopAnsweredMs = 0;
    std::int64_t percent = 0;                   ///< completed work, as last reported
    std::optional<std::int64_t> lastProgressMs; ///< start of its unit or last rise of percent, on the minion's clock
    std::optional<std::int64_t> lastReportMs;   ///< on the minion's clock
    /** Start of its unit on the minion's clock; empty if unknown, or if the run resumed from a checkpoint. */
    std::optional<std::int64_t> beganMs;
    std::int64_t tailMs = 0;          ///< tail response time, if it is a service task
    std::int64_t coresInUse = 0;      ///< if it is no service task
    std::optional<int> pacePercent;   ///< last confirmed pace; empty if unknown
    std::int64_t paceConfirmedMs = 0; ///< when it was confirmed
    bool paceInFlight = false;        ///< a pace order is in flight

    /** @return true if the last report shows that it works. */
    [[nodiscard]] bool works() const
    {
        return lastReportMs && (coresInUse > 0 || lastProgressMs == lastReportMs);
    }
    /** @return how long its progress had stalled at the last report, in ms by the minion's clock; 0 before that. */
    [[nodiscard]] std::int64_t stalledMs() const
    {
        return lastProgressMs && lastReportMs ? *lastReportMs - *lastProgressMs : 0;
    }
};

/** A run of a unit, from its start to the end of its last member. */
struct Assignment {
    UnitKey unit;
    TeamName team;
    std::uint32_t priority = 0;
    StepSpec step;
    Resources need; ///< of each member, by countedNeed()
    std::uint32_t run = 0;
    std::vector<Member> members;
    std::optional<EndKind> outcome; ///< of the first member that ended, unless a later one succeeded or failed
    bool doneJournaled = false;
    bool mayHaveBegun = false;   ///< false while it is certain that no member has begun to run
    std::int64_t firstEndMs = 0; ///< when a member was found ended; 0 if none was
    bool stopping = false;
    bool lastResort = false;       ///< placed on a minion that gets no other work
    std::string checkpoint;        ///< the latest reported
    std::int64_t checkpointMs = 0; ///< when it was reported; the start if none was
    std::int64_t startedMs = 0;
    std::int64_t decidedMs = 0; ///< when the scheduling pass placed it; 0 if a predecessor did
    std::int64_t percent = 0;

    /** @return the work that a stop at @p nowMs would lose, in ms; with checkpoints, the time to restore one. */
    [[nodiscard]] std::int64_t lossMs(std::int64_t nowMs) const
    {
        constexpr std::int64_t RESTORE_MS = 600; // typical time to resume from a checkpoint
        return step.checkpointing ? RESTORE_MS : nowMs - startedMs;
    }

    /** @return true if no member is still to be started. */
    [[nodiscard]] bool allStarted() const
    {
        return std::none_of(members.begin(), members.end(),
                            [](const Member &member) { return member.state == MemberState::Ordered; });
    }

    [[nodiscard]] bool ended() const
    {
        return std::all_of(members.begin(), members.end(),
                           [](const Member &member) { return member.state == MemberState::Ended; });
    }
};

} // namespace Papaya
