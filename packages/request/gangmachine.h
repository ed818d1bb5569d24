#pragma once

#include <memory>

// State machine of one attempt to run a gang, from its placement to its end. The machine only decides on the next
// action; its driver carries the action out on workers or in the journal, and reports the result as an event.

namespace Papaya
{

/** State of an attempt. */
enum class GangState { Placing, Preparing, Committing, Starting, Confirming, Running, Stopping, Recording, Ended };

/** What happened to an attempt. */
enum class GangEvent {
    PlacedApplied, ///< the journal has the placement, and the record took effect
    AllPrepared,   ///< every part is reserved on its worker under a lease
    CommitApplied, ///< the journal has the commit, and the record took effect
    AllRunning,    ///< every part has confirmed that it runs
    StartApplied,  ///< the journal has the start, and the record took effect
    AllSucceeded,  ///< every part has ended successfully
    Failed,        ///< a part was refused, failed or lost, or the commit was not confirmed in time
    StopRequested, ///< the job was cancelled, preempted or moved
    PartsStopped,  ///< no part can still be running
    EndApplied,    ///< the journal has the release or the outcome
    Superseded,    ///< another planner is in charge, a record was void, or the placement was not confirmed
};

/** What the driver does in a state; each state has one action. */
enum class GangAction {
    AppendPlaced,
    PrepareParts,
    AppendCommitted,
    StartParts,
    AppendStarted,
    Monitor,
    StopParts,
    AppendEnd,
    Finish
};

/** State machine of one attempt. */
class GangMachine
{
public:
    /**
     * @param state state to start in: Placing for a new attempt; Starting or Running if a planner takes over an
     * attempt. With any other state the machine starts in Stopping.
     */
    explicit GangMachine(GangState state = GangState::Placing);
    ~GangMachine();
    GangMachine(const GangMachine &) = delete;
    GangMachine &operator=(const GangMachine &) = delete;

    /**
     * Processes an event. An event without a transition from the current state is ignored.
     * @return the action of the resulting state
     */
    GangAction process(GangEvent event);

    [[nodiscard]] GangState state() const;
    /** @return the action of the current state. */
    [[nodiscard]] GangAction action() const;

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

/** @return the name of @p state in logs. */
const char *toString(GangState state);

} // namespace Papaya
