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

// Client of the worker protocol: epochs, task commands, leases and reports.

namespace Papaya
{

/** State of a task as reported by its worker. */
enum class TaskState { Prepared, Running, Checkpointing, Succeeded, Failed, Stopped };

/** Identity of one task. */
struct TaskId {
    JobId job;
    PartIndex part;

    auto operator<=>(const TaskId &) const = default;
};

/** One task of a worker's report. */
struct TaskReport {
    TaskId id;
    TaskState state = TaskState::Prepared;
    Resources used;
    std::int64_t progress = 0;
    std::string checkpoint;
    std::int64_t exitCode = 0;
};

/** A worker's report of its tasks, which may be some seconds old. */
struct WorkerReport {
    std::int64_t asOfMs = 0;
    std::vector<TaskReport> tasks;
};

/** Everything that a worker needs to prepare a task. */
struct TaskSpec {
    TaskId id;
    Millis lease {0};
    Shape shape;
    TemplateName templateName;
    std::string parametersJson;
    std::string checkpoint;
};

/** Result of a command to a worker. */
enum class CommandResult {
    Done,
    StaleEpoch, ///< the worker has seen a higher epoch
    Refused,    ///< the worker rejected the command, for example because of the task's state
    NoCapacity, ///< the worker lacks free resources
};

/** A worker's answer to a task command. */
struct CommandReply {
    CommandResult result = CommandResult::Refused;
    std::string checkpoint; ///< created by the Checkpoint command, if the answer names it
};

/** Commands for a prepared or running task. */
enum class TaskCommand { Run, Stop, Checkpoint, Throttle };

/** Client of the worker protocol. Every call throws HttpError if the worker gives no answer or a malformed one. */
class WorkerClient
{
public:
    virtual ~WorkerClient() = default;

    /** Raises the worker's epoch. @return the worker's tasks, or nothing if it has seen a higher epoch. */
    virtual Asio::awaitable<std::optional<WorkerReport>> raiseEpoch(Endpoint worker, Epoch epoch,
                                                                    TimePoint deadline) = 0;
    /** Prepares a task under an initial lease; the Run command starts it. */
    virtual Asio::awaitable<CommandResult> prepare(Endpoint worker, Epoch epoch, TaskSpec spec, TimePoint deadline) = 0;
    /** Sends a command for one task. */
    virtual Asio::awaitable<CommandReply> command(Endpoint worker, Epoch epoch, TaskId task, TaskCommand command,
                                                  TimePoint deadline) = 0;
    /** Renews leases. @return the tasks whose leases have already lapsed, or nothing if the epoch is stale. */
    virtual Asio::awaitable<std::optional<std::vector<TaskId>>>
    renew(Endpoint worker, Epoch epoch, Millis lease, std::vector<TaskId> tasks, TimePoint deadline) = 0;
    /** Fetches the worker's report. */
    virtual Asio::awaitable<WorkerReport> report(Endpoint worker, TimePoint deadline) = 0;
};

/** Parses a report, or the answer to a raised epoch, which has the same form. */
Result<WorkerReport> parseReport(std::string_view body);

/** @return an HTTP client of the worker protocol; @p pool must outlive it. */
std::unique_ptr<WorkerClient> makeHttpWorkerClient(HttpPool &pool);

} // namespace Papaya
