#pragma once

#include "process/journal.h"
#include "process/taskbook.h"
#include "request/gangmachine.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Drives one attempt at running a gang: executes the actions of the gang's state machine by commands to the workers and
// records in the journal. Runs on the planner's strand.

namespace Papaya
{

/** The worker of a part, and its address. */
struct PartHost {
    WorkerId worker;
    Endpoint address;
};

/** Why a gang is requested to stop. */
enum class StopCause { Cancelled, Preempted, Moved };

/** Callbacks from a runner to the planner that started it. */
class GangOwner
{
public:
    virtual ~GangOwner() = default;
    /** @return true while this instance is the planner of @p epoch and may act on its decisions. */
    [[nodiscard]] virtual bool isActiveEpoch(Epoch epoch) const = 0;
    /** A worker has reported a higher epoch, so another instance may be the planner. */
    virtual void superseded() = 0;
    /** A part has failed or did not start on @p worker, or the whole gang with a part on @p worker has succeeded. */
    virtual void partEnded(const WorkerId &worker, const JobId &job, bool succeeded) = 0;
};

/** One attempt of one job. */
struct GangAttempt {
    JobSubmitted spec;
    std::uint32_t attempt = 0; ///< counted from 1
    Epoch epoch;               ///< of the planner that drives the attempt
    std::vector<PartHost> parts;
    bool guaranteed = false;              ///< within the team's guarantee
    std::vector<std::string> checkpoints; ///< of each part, to resume from; empty if there are none
    std::uint32_t earlierFailures = 0;    ///< earlier attempts that ended because a part failed
    bool cancelRequested = false;
};

/** Drives one attempt from its placement, or from the state in which another planner left it, to its end. */
class GangRunner
{
public:
    GangRunner(GangOwner &owner, Journal &journal, TaskTracker &tasks, WorkerClient &client, Metrics &metrics,
               GangAttempt attempt, GangState initialState);

    /** Runs the attempt to its end. */
    Asio::awaitable<void> run();

    /** Requests that the gang be stopped, which takes effect at the next check of the current action. */
    void requestStop(StopCause cause);

    [[nodiscard]] const GangAttempt &attempt() const
    {
        return m_attempt;
    }
    [[nodiscard]] GangState state() const
    {
        return m_machine.state();
    }
    /** @return true once a stop has been requested or the attempt is ending. */
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
    Asio::awaitable<GangEvent> startParts();
    Asio::awaitable<GangEvent> appendStarted();
    Asio::awaitable<GangEvent> monitorParts();
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
    void markFailed(ReleaseReason reason, const WorkerId &failedWorker = {});
    void keepCheckpoints();
    /** Runs @p action for all parts concurrently and waits until all have completed. */
    Asio::awaitable<void> forEachPart(const PartAction &action);

    GangOwner &m_owner;
    Journal &m_journal;
    TaskTracker &m_tasks;
    WorkerClient &m_client;
    Metrics &m_metrics;
    GangAttempt m_attempt;
    GangMachine m_machine;
    std::optional<StopCause> m_stop;
    std::optional<ReleaseReason> m_failureReason;
    WorkerId m_failedWorker;
    bool m_mayHaveRun = false;
    bool m_succeeded = false;
};

} // namespace Papaya
