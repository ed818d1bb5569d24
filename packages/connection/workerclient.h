#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"
#include "version/shape.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

// The protocol towards workers: epochs, tasks, leases and reports.

namespace Papaya
{

/** State of a task as its worker reports it. */
enum class TaskState { Prepared, Running, Checkpointing, Succeeded, Failed, Stopped };

/** Identity of one task. */
struct TaskId {
    JobId job;
    PartIndex part;

    auto operator<=>(const TaskId &) const = default;
};

/** A task in a worker's report. */
struct TaskReport {
    TaskId id;
    TaskState state = TaskState::Prepared;
    Resources used;
    std::int64_t progress = 0;
    std::string checkpoint;
    std::int64_t exitCode = 0;
};

/** What a worker reports; it may be some seconds old. */
struct WorkerReport {
    std::int64_t asOfMs = 0;
    std::vector<TaskReport> tasks;
};

/** What a worker must know to prepare a task. */
struct TaskSpec {
    TaskId id;
    Millis lease {0};
    Shape shape;
    TemplateName templateName;
    std::string parametersJson;
    std::string checkpoint;
};

/** How a worker answered a command. */
enum class CommandResult {
    Done,
    StaleEpoch, ///< the worker has seen a higher epoch
    Refused,    ///< the command does not fit the task's state
    NoCapacity,
};

/** A worker's answer to an order. */
struct CommandReply {
    CommandResult result = CommandResult::Refused;
    std::string checkpoint; ///< of an order to take one, if the worker names it at once
};

/** Orders a worker takes for one task. */
enum class TaskCommand { Run, Stop, Checkpoint, Throttle };

/** Client of the workers' protocol; every call throws HttpError if the worker did not answer. */
class WorkerClient
{
public:
    virtual ~WorkerClient() = default;

    /** Raises the worker's epoch. @return its tasks, or nothing if it has seen a higher epoch. */
    virtual Asio::awaitable<std::optional<WorkerReport>> raiseEpoch(Endpoint worker, Epoch epoch,
                                                                    TimePoint deadline) = 0;
    /** Prepares and holds a task under a first lease. */
    virtual Asio::awaitable<CommandResult> prepare(Endpoint worker, Epoch epoch, TaskSpec spec, TimePoint deadline) = 0;
    /** Gives an order for one task. */
    virtual Asio::awaitable<CommandReply> command(Endpoint worker, Epoch epoch, TaskId task, TaskCommand command,
                                                  TimePoint deadline) = 0;
    /** Renews leases. @return the tasks whose leases had lapsed, or nothing if the epoch is stale. */
    virtual Asio::awaitable<std::optional<std::vector<TaskId>>>
    renew(Endpoint worker, Epoch epoch, Millis lease, std::vector<TaskId> tasks, TimePoint deadline) = 0;
    /** @return the worker's report. */
    virtual Asio::awaitable<WorkerReport> report(Endpoint worker, TimePoint deadline) = 0;
};

/** Parses the "tasks" of a report or an epoch answer. */
Result<WorkerReport> parseReport(std::string_view body);

/** @return the HTTP form of the workers' protocol; @p pool must outlive it. */
std::unique_ptr<WorkerClient> makeHttpWorkerClient(HttpPool &pool);

} // namespace Papaya
