#pragma once

#include <memory>

// The states that one attempt at running a gang goes through, from its placement to its end. The machine decides what
// comes next; whoever drives it does the talking to workers and to the journal.

namespace Papaya
{

/** State of an attempt. */
enum class GangState { Placing, Preparing, Committing, Starting, Confirming, Running, Stopping, Recording, Ended };

/** What happened to an attempt. */
enum class GangEvent {
    PlacedApplied, ///< the placement is in the journal and counts
    AllPrepared,   ///< every part is held under a lease
    CommitApplied, ///< the commit is in the journal and counts
    AllRunning,    ///< every part has confirmed that it runs
    StartApplied,  ///< the start is in the journal and counts
    AllSucceeded,  ///< every part has ended well
    Broken,        ///< a part was refused, failed or lost, or a start took too long
    StopWanted,    ///< the job is cancelled or preempted
    PartsStopped,  ///< no part can still be running
    EndApplied,    ///< the release or outcome is in the journal
    Superseded,    ///< a record was void or the role is gone; another planner is in charge
};

/** What to do next. */
enum class GangAction {
    AppendPlaced,
    Prepare,
    AppendCommitted,
    Run,
    AppendStarted,
    Watch,
    StopParts,
    AppendEnd,
    Leave
};

/** State machine of one attempt. */
class GangMachine
{
public:
    /** Starts at @p state; a planner that takes over enters in the middle. */
    explicit GangMachine(GangState state = GangState::Placing);
    ~GangMachine();
    GangMachine(const GangMachine &) = delete;
    GangMachine &operator=(const GangMachine &) = delete;

    /**
     * Takes an event.
     * @return the action of the state that the event leads to; an event that has no meaning in the state changes
     * nothing
     */
    GangAction on(GangEvent event);

    [[nodiscard]] GangState state() const;
    /** @return the action of the current state. */
    [[nodiscard]] GangAction action() const;

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

/** @return the word for @p state in logs. */
const char *toString(GangState state);

} // namespace Papaya
