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

/** Where a member of a placed unit stands. */
enum class MemberState {
    Ordered, ///< its start has not been answered
    Running,
    Ended, ///< does not run and never will under this run's number
};

/** One task of a placed unit. */
struct Member {
    MinionId minion;
    MemberState state = MemberState::Ordered;
    std::int64_t confirmedMs = 0; ///< when the start was answered
    bool stopping = false;        ///< a loop is stopping it
    std::int64_t stopAnsweredMs = 0;
    std::int64_t percent = 0;        ///< of its work, as last reported
    std::int64_t lastProgressMs = 0; ///< when its percentage last rose
    std::int64_t lastReportMs = 0;
    std::int64_t tailMs = 0;        ///< of its users' response times, if it serves
    std::optional<int> pacePercent; ///< the share that it was told to use; nothing if not known
    bool paceInFlight = false;      ///< an order on its share is on its way
};

/** A run of a unit from its start to the end of its last member. */
struct Assignment {
    UnitKey unit;
    TeamName team;
    std::uint32_t priority = 0;
    StepSpec step;
    Resources need; ///< counted for each member
    std::uint32_t run = 0;
    std::vector<Member> members;
    std::optional<EndKind> outcome; ///< of the first member that ended
    bool doneJournaled = false;
    bool stopping = false;
    std::string checkpoint;        ///< the last one heard of
    std::int64_t checkpointMs = 0; ///< when it was heard of, or the start
    std::int64_t startedMs = 0;
    std::int64_t percent = 0;

    /** @return how much work a stop at @p nowMs would lose; one that checkpoints saves and has only to be restored. */
    [[nodiscard]] std::int64_t lossMs(std::int64_t nowMs) const
    {
        constexpr std::int64_t RESTORE_MS = 600; // resuming from a checkpoint takes about as long
        return step.checkpointing ? RESTORE_MS : nowMs - startedMs;
    }

    [[nodiscard]] bool ended() const
    {
        return std::all_of(members.begin(), members.end(),
                           [](const Member &member) { return member.state == MemberState::Ended; });
    }
};

} // namespace Papaya
