#pragma once

#include "process/journal.h"
#include "process/tasktracker.h"
#include "request/gangmachine.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Drives one attempt at running a gang: talks to its workers and to the journal as the gang's state machine says. Runs
// on the planner's strand.

namespace Papaya
{

/** A part's worker and its address. */
struct PartHost {
    WorkerId worker;
    Endpoint address;
};

/** Why a running gang is asked to stop. */
enum class StopCause { Cancelled, Preempted, Moved };

/** What a runner needs of its planner. */
class GangOwner
{
public:
    virtual ~GangOwner() = default;
    /** @return true while decisions of this epoch may be acted on. */
    [[nodiscard]] virtual bool isActiveEpoch(Epoch epoch) const = 0;
    /** The workers have told that another planner is in charge. */
    virtual void superseded() = 0;
    /** A part has failed on @p worker, or the whole gang has succeeded there. */
    virtual void partEnded(const WorkerId &worker, const JobId &job, bool succeeded) = 0;
};

/** One attempt of one job. */
struct GangAttempt {
    JobSubmitted spec;
    std::uint32_t attempt = 0;
    Epoch epoch;
    std::vector<PartHost> parts;
    bool guaranteed = false;
    std::vector<std::string> checkpoints;
    std::uint32_t earlierFailures = 0;
    bool cancelRequested = false;
};

/** Runner of one attempt. */
class GangRunner
{
public:
    GangRunner(GangOwner &owner, Journal &journal, TaskTracker &tasks, WorkerClient &client, Metrics &metrics,
               GangAttempt attempt, GangState initialState);

    /** Runs the attempt to its end. */
    Asio::awaitable<void> run();

    /** Asks for the end of the gang; it takes effect at the next step. */
    void requestStop(StopCause cause);

    [[nodiscard]] const GangAttempt &attempt() const
    {
        return m_attempt;
    }
    [[nodiscard]] GangState state() const
    {
        return m_machine.state();
    }
    /** @return true once a stop has been asked for or the gang has broken. */
    [[nodiscard]] bool stopping() const
    {
        return m_stop.has_value() || state() == GangState::Stopping || state() == GangState::Recording;
    }

private:
    using PartAction = std::function<Asio::awaitable<void>(std::size_t)>;

    static constexpr Millis APPEND_TIMEOUT {5'000};

    Asio::awaitable<GangEvent> perform(GangAction action);
    Asio::awaitable<GangEvent> appendPlaced();
    Asio::awaitable<GangEvent> prepareParts();
    Asio::awaitable<GangEvent> appendCommitted();
    Asio::awaitable<GangEvent> runParts();
    Asio::awaitable<GangEvent> appendStarted();
    Asio::awaitable<GangEvent> watchParts();
    Asio::awaitable<GangEvent> stopParts();
    Asio::awaitable<GangEvent> appendEnd();

    Asio::awaitable<void> preparePart(std::size_t part, std::vector<CommandResult> &results);
    Asio::awaitable<void> commandPart(std::size_t part, TaskCommand command, Duration timeout,
                                      std::vector<std::optional<CommandResult>> &results);
    Asio::awaitable<void> takeCheckpoints();
    Asio::awaitable<AppendStatus> appendUntilSettled(JournalRecord record);
    [[nodiscard]] std::optional<GangEvent> inspectParts();
    [[nodiscard]] JournalRecord endRecord() const;
    [[nodiscard]] TaskId taskOf(std::size_t part) const;
    void markBroken(ReleaseReason reason, const WorkerId &failedWorker = {});
    void keepCheckpoints();
    /** Does @p action for all parts at once, and waits for the last. */
    Asio::awaitable<void> forEachPart(const PartAction &action);

    GangOwner &m_owner;
    Journal &m_journal;
    TaskTracker &m_tasks;
    WorkerClient &m_client;
    Metrics &m_metrics;
    GangAttempt m_attempt;
    GangMachine m_machine;
    std::optional<StopCause> m_stop;
    std::optional<ReleaseReason> m_brokenReason;
    WorkerId m_culprit;
    bool m_mayHaveRun = false;
    bool m_succeeded = false;
};

} // namespace Papaya
