#include "connection/workerclient.h"

#include "base/codec.h"
#include "base/objectreader.h"

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_INSUFFICIENT_STORAGE = 507;

const std::vector<std::string_view> STATE_NAMES {"prepared",  "running", "checkpointing",
                                                 "succeeded", "failed",  "stopped"};
const std::vector<std::string_view> COMMAND_NAMES {"run", "stop", "checkpoint", "throttle"};

TaskReport readTask(const Json &value, const std::string &path, Errors &errors)
{
    ObjectReader reader(value, path, errors);
    TaskReport task;
    task.id.job = JobId(reader.text("job", Presence::Required).value_or(""));
    task.id.part = PartIndex(static_cast<std::uint32_t>(reader.integer("part", 0, MAX_GANG_PARTS).value_or(0)));
    task.state = static_cast<TaskState>(reader.oneOf("state", STATE_NAMES, Presence::Required).value_or(0));
    task.used.cores = reader.integer("cores", 0, INT64_MAX).value_or(0);
    task.used.memoryMb = reader.integer("memoryMb", 0, INT64_MAX).value_or(0);
    task.used.gpus = reader.integer("gpus", 0, INT64_MAX).value_or(0);
    task.progress = reader.integer("progress", 0, INT64_MAX).value_or(0);
    task.checkpoint = reader.text("checkpoint").value_or("");
    task.exitCode = reader.integer("exit", INT32_MIN, INT32_MAX).value_or(0);
    return task;
}

/** @return true if the body of a 409 answer states a higher epoch than the one sent. */
bool containsHigherEpoch(const std::string &body, Epoch epoch)
{
    const auto document = parseJson(body);
    if (!document || !document->is_object()) {
        return false;
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    const auto seen = reader.integer("epoch", 0, INT64_MAX);
    return seen && static_cast<std::uint64_t>(*seen) > epoch.value();
}

CommandResult toResult(const HttpResponse &response, Epoch epoch)
{
    switch (response.status) {
    case STATUS_OK:
        return CommandResult::Done;
    case STATUS_CONFLICT:
        return containsHigherEpoch(response.body, epoch) ? CommandResult::StaleEpoch : CommandResult::Refused;
    case STATUS_INSUFFICIENT_STORAGE:
        return CommandResult::NoCapacity;
    default:
        return CommandResult::Refused;
    }
}

[[noreturn]] void throwMalformed(const std::string &what)
{
    throw HttpError(FailureStage::Exchange, FailureKind::Malformed, what);
}

std::string parseCheckpoint(const std::string &body)
{
    const auto document = parseJson(body);
    Errors errors;
    return document ? ObjectReader(*document, "", errors).text("checkpoint").value_or("") : std::string();
}

class HttpWorkerClient : public WorkerClient
{
public:
    explicit HttpWorkerClient(HttpPool &pool)
        : m_pool(pool)
    {
    }

    Asio::awaitable<std::optional<WorkerReport>> raiseEpoch(Endpoint worker, Epoch epoch, TimePoint deadline) override
    {
        const HttpResponse response = co_await post(worker, "/v1/epoch", epochBody(epoch), deadline);
        if (response.status == STATUS_CONFLICT) {
            co_return std::nullopt;
        }
        co_return parseReportResponse(response);
    }

    Asio::awaitable<CommandResult> prepare(Endpoint worker, Epoch epoch, TaskSpec spec, TimePoint deadline) override
    {
        co_return toResult(co_await post(worker, "/v1/tasks", prepareBody(epoch, spec), deadline), epoch);
    }

    Asio::awaitable<CommandReply> command(Endpoint worker, Epoch epoch, TaskId task, TaskCommand command,
                                          TimePoint deadline) override
    {
        const std::string verb(COMMAND_NAMES[static_cast<std::size_t>(command)]);
        const std::string target =
            "/v1/tasks/" + task.job.value() + "/" + std::to_string(task.part.value()) + "/" + verb;
        const HttpResponse response = co_await post(worker, target, epochBody(epoch), deadline);
        CommandReply reply;
        reply.result = toResult(response, epoch);
        if (command == TaskCommand::Checkpoint && reply.result == CommandResult::Done) {
            reply.checkpoint = parseCheckpoint(response.body);
        }
        co_return reply;
    }

    Asio::awaitable<std::optional<std::vector<TaskId>>> renew(Endpoint worker, Epoch epoch, Millis lease,
                                                              std::vector<TaskId> tasks, TimePoint deadline) override
    {
        const HttpResponse response = co_await post(worker, "/v1/leases", renewBody(epoch, lease, tasks), deadline);
        if (response.status == STATUS_CONFLICT) {
            co_return std::nullopt;
        }
        co_return parseLapsedTasks(response);
    }

    Asio::awaitable<WorkerReport> report(Endpoint worker, TimePoint deadline) override
    {
        HttpRequest request {"GET", "/v1/report", {}, ""};
        co_return parseReportResponse(co_await m_pool.exchange(worker, std::move(request), deadline));
    }

private:
    // The bodies are built in ordinary functions, since compilers mishandle nested initializer lists in coroutines.
    static std::string epochBody(Epoch epoch)
    {
        return toJson({{"epoch", epoch.value()}});
    }

    static std::string prepareBody(Epoch epoch, const TaskSpec &spec)
    {
        const auto parameters = parseJson(spec.parametersJson);
        Json body {{"job", spec.id.job.value()},
                   {"part", spec.id.part.value()},
                   {"epoch", epoch.value()},
                   {"leaseMs", spec.lease.count()},
                   {"shape", toJsonValue(spec.shape)},
                   {"template", spec.templateName.value()},
                   {"parameters", parameters ? *parameters : Json::object()}};
        if (!spec.checkpoint.empty()) {
            body["checkpoint"] = spec.checkpoint;
        }
        return toJson(body);
    }

    static std::string renewBody(Epoch epoch, Millis lease, const std::vector<TaskId> &tasks)
    {
        Json list = Json::array();
        for (const TaskId &task : tasks) {
            list.push_back(Json::array({task.job.value(), task.part.value()}));
        }
        return toJson({{"epoch", epoch.value()}, {"leaseMs", lease.count()}, {"tasks", std::move(list)}});
    }

    Asio::awaitable<HttpResponse> post(Endpoint worker, std::string target, std::string body, TimePoint deadline)
    {
        HttpRequest request {"POST", std::move(target), {}, std::move(body)};
        request.fields.set(Field::CONTENT_TYPE, "application/json");
        co_return co_await m_pool.exchange(std::move(worker), std::move(request), deadline);
    }

    static WorkerReport parseReportResponse(const HttpResponse &response)
    {
        if (response.status != STATUS_OK) {
            throwMalformed("worker answered with status " + std::to_string(response.status));
        }
        auto report = parseReport(response.body);
        if (!report) {
            throwMalformed("malformed worker report: " + report.errors().front().message);
        }
        return std::move(*report);
    }

    static std::vector<TaskId> parseLapsedTasks(const HttpResponse &response)
    {
        const auto document = parseJson(response.body);
        Errors errors;
        std::vector<TaskId> lapsed;
        if (response.status != STATUS_OK || !document) {
            throwMalformed("worker sent a malformed answer to a lease renewal");
        }
        ObjectReader reader(*document, "", errors);
        const Json *list = reader.array("lapsed", Presence::Required);
        for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
            const Json &pair = (*list)[i];
            if (!pair.is_array() || pair.size() != 2 || !pair[0].is_string() || !pair[1].is_number_unsigned()) {
                throwMalformed("worker sent a malformed answer to a lease renewal");
            }
            lapsed.push_back({JobId(pair[0].get<std::string>()), PartIndex(pair[1].get<std::uint32_t>())});
        }
        return lapsed;
    }

    HttpPool &m_pool;
};

} // namespace

Result<WorkerReport> parseReport(std::string_view body)
{
    const auto document = parseJson(body);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    WorkerReport report;
    report.asOfMs = reader.integer("asOfMs", 0, INT64_MAX).value_or(0);
    const Json *tasks = reader.array("tasks", Presence::Required);
    for (std::size_t i = 0; tasks != nullptr && i < tasks->size(); ++i) {
        report.tasks.push_back(readTask((*tasks)[i], "tasks[" + std::to_string(i) + "]", errors));
    }
    if (!errors.empty()) {
        return errors;
    }
    return report;
}

std::unique_ptr<WorkerClient> makeHttpWorkerClient(HttpPool &pool)
{
    return std::make_unique<HttpWorkerClient>(pool);
}

} // namespace Papaya
