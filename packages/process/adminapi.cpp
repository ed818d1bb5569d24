#include "process/adminapi.h"

#include "base/codec.h"
#include "base/digest.h"
#include "process/callerauth.h"
#include "process/callersapi.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

// The error texts below also state these time-outs.
constexpr Millis PUBLISH_TIMEOUT {10'000};
constexpr Millis SET_STANDING_TIMEOUT {10'000};

HttpResponse errorResponse(int status, const std::string &code, const std::string &message,
                           const std::string &path = "")
{
    const Json error {{"code", code}, {"message", message}, {"path", path}};
    return jsonResponse(status, toJson({{"error", error}}));
}

HttpResponse invalidConfigResponse(const Errors &errors)
{
    Json list = Json::array();
    for (const Error &error : errors) {
        list.push_back({{"code", error.code}, {"message", error.message}, {"path", error.path}});
    }
    return jsonResponse(400, toJson({{"error", list.front()}, {"errors", list}}));
}

Json describeTail(const StreamTail &tail)
{
    const TailStatus status = tail.status();
    return {{"next", status.next.value()},
            {"end", status.end.value()},
            {"readAgoMs", toMillis(Clock::now() - status.lastReadAt)}};
}

} // namespace

AdminApi::AdminApi(AdminContext context)
    : m_context(std::move(context))
{
}

bool AdminApi::authorized(const HttpRequest &request) const
{
    const auto &digests = m_context.settings.adminTokenDigests;
    if (digests.empty()) {
        return true;
    }
    const std::string digest = sha256Hex(bearerToken(request));
    bool known = false;
    for (const std::string &candidate : digests) {
        known |= equalInConstantTime(candidate, digest);
    }
    return known;
}

HttpResponse AdminApi::probeResponse(bool healthy) const
{
    return jsonResponse(healthy ? 200 : 503, healthy ? R"({"ok":true})" : R"({"ok":false})");
}

Asio::awaitable<HttpResponse> AdminApi::handle(HttpRequest request)
{
    const std::string path(request.path());
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    // Probes and metrics show nothing confidential, so they need no token.
    if (get && path == "/live") {
        co_return probeResponse(true);
    }
    if (get && path == "/ready") {
        co_return probeResponse(m_context.ready());
    }
    if (get && path == "/metrics") {
        HttpResponse response;
        response.fields.set(Field::CONTENT_TYPE, "text/plain; version=0.0.4");
        response.body = m_context.metrics.toPrometheus();
        co_return response;
    }
    if (!authorized(request)) {
        co_return errorResponse(401, "bad-token", "the Authorization header has no valid admin token");
    }
    if (path == "/admin/config" && get) {
        co_return showConfig();
    }
    if (path == "/admin/config" && request.method == "PUT") {
        co_return co_await publishConfig(request);
    }
    if (get && path == "/admin/status") {
        co_return showStatus();
    }
    if (get && path == "/admin/workers") {
        co_return showWorkers();
    }
    if (post && path == "/admin/drain") {
        m_context.drain();
        co_return jsonResponse(202, R"({"draining":true})");
    }
    constexpr std::string_view WORKERS = "/admin/workers/";
    constexpr std::string_view DRAIN = "/drain";
    constexpr std::string_view UNDRAIN = "/undrain";
    constexpr std::string_view JOBS = "/admin/jobs/";
    constexpr std::string_view EXPLAIN = "/explain";
    if (post && path.starts_with(WORKERS) && path.ends_with(UNDRAIN)) {
        co_return co_await setStanding(path.substr(WORKERS.size(), path.size() - WORKERS.size() - UNDRAIN.size()),
                                       Standing::Good);
    }
    if (post && path.starts_with(WORKERS) && path.ends_with(DRAIN)) {
        co_return co_await setStanding(path.substr(WORKERS.size(), path.size() - WORKERS.size() - DRAIN.size()),
                                       Standing::Draining);
    }
    if (get && path.starts_with(JOBS) && path.ends_with(EXPLAIN)) {
        co_return explain(path.substr(JOBS.size(), path.size() - JOBS.size() - EXPLAIN.size()));
    }
    co_return noSuchCall(request);
}

Json AdminApi::describeInstances() const
{
    Json instances = Json::object();
    for (const auto &[instance, version] : m_context.versions()) {
        instances[instance.value()] = version ? Json(version->value()) : Json();
    }
    return instances;
}

HttpResponse AdminApi::showConfig() const
{
    const std::string text = m_context.config.recordText();
    const auto record = text.empty() ? Result<ConfigRecord>(Error {}) : ConfigRecord::fromText(text);
    return jsonResponse(200, toJson({{"version", m_context.config.version().value()},
                                     {"config", record ? record->config : Json()},
                                     {"instances", describeInstances()}}));
}

Asio::awaitable<HttpResponse> AdminApi::publishConfig(const HttpRequest &request)
{
    const std::string &ifMatch = request.fields.get(Field::IF_MATCH);
    std::uint64_t replaces = 0;
    const auto [end, status] = std::from_chars(ifMatch.data(), ifMatch.data() + ifMatch.size(), replaces);
    if (ifMatch.empty() || status != std::errc {} || end != ifMatch.data() + ifMatch.size()) {
        co_return errorResponse(
            428, "no-version",
            "If-Match must be the version that is replaced, a number; 0 for the first configuration");
    }
    auto document = parseJson(request.body, Comments::Allowed);
    if (!document) {
        co_return invalidConfigResponse(document.errors());
    }
    PublishResult result = co_await m_context.config.publish(std::move(*document), ConfigVersion(replaces),
                                                             Clock::now() + PUBLISH_TIMEOUT);
    const std::string version = "{\"version\":" + std::to_string(result.version.value()) + "}";
    switch (result.status) {
    case PublishResult::Status::Accepted:
        co_return jsonResponse(200, version);
    case PublishResult::Status::Conflict:
        co_return jsonResponse(409, version);
    case PublishResult::Status::Invalid:
        co_return invalidConfigResponse(result.errors);
    case PublishResult::Status::NotTaken:
        co_return errorResponse(
            503, "log-out",
            "the log service did not append the new version within 10 s; the configuration has not changed");
    case PublishResult::Status::Unknown:
        break;
    }
    co_return errorResponse(504, "append-unknown",
                            "the log service did not confirm the new version within 10 s; read the configuration to "
                            "see whether it is in force");
}

HttpResponse AdminApi::showStatus() const
{
    const PlannerStatus planner = m_context.planner.status();
    const IgnoredConfig ignored = m_context.config.lastIgnored();
    Json status;
    status["instance"] = m_context.settings.instance.value();
    status["ready"] = m_context.ready();
    status["configVersion"] = m_context.config.version().value();
    status["configIgnored"] = {{"offset", ignored.offset}, {"reason", ignored.reason}};
    status["planner"] = {{"epoch", planner.epoch.value()}, {"holder", planner.holder.value()},
                         {"here", planner.active},         {"gangs", planner.gangs},
                         {"tasks", planner.tasks},         {"workers", planner.workersAtEpoch}};
    status["log"] = {{"config", describeTail(m_context.config.tail())},
                     {"journal", describeTail(m_context.journal.tail())},
                     {"claims", describeTail(m_context.claims.tail())}};
    status["guaranteesBroken"] = planner.brokenGuarantees;
    status["instances"] = describeInstances();
    status["requests"] = {{"queued", m_context.gate.queued()},
                          {"inProgress", m_context.gate.inProgress()},
                          {"slots", m_context.minions.slots()},
                          {"minions", m_context.minions.size()},
                          {"minionsEjected", m_context.minions.ejected()}};
    Json jobs = Json::object();
    m_context.journal.read([&](const Ledger &ledger) {
        for (const auto &[id, job] : ledger.jobs()) {
            Json &count = jobs[toString(job.state)];
            count = count.is_null() ? 1 : count.get<int>() + 1;
        }
        status["ledger"] = {{"digest", ledger.digest()}, {"jobs", ledger.jobs().size()}};
    });
    status["jobs"] = std::move(jobs);
    return jsonResponse(200, toJson(status));
}

HttpResponse AdminApi::showWorkers() const
{
    Json workers = Json::array();
    const auto hosts = m_context.hosts.hosts();
    m_context.journal.read([&](const Ledger &ledger) {
        std::map<WorkerId, Resources> used;
        for (const auto &[order, id] : ledger.active()) {
            const Job &job = *ledger.job(id);
            for (const WorkerId &worker : job.workers) {
                used[worker] += job.spec.shape.part;
            }
        }
        for (std::size_t i = 0; hosts && i < hosts->hosts.size(); ++i) {
            const Host &host = hosts->hosts[i];
            if (host.kind != HostKind::Worker) {
                continue;
            }
            workers.push_back({{"id", host.id},
                               {"place", host.place.value()},
                               {"rack", host.rack.value()},
                               {"state", host.state == HostState::Live ? "live" : "leaving"},
                               {"standing", toString(ledger.standing(WorkerId(host.id)))},
                               {"gpus", host.resources.gpus},
                               {"gpusUsed", used[WorkerId(host.id)].gpus}});
        }
    });
    return jsonResponse(200, toJson({{"workers", std::move(workers)}}));
}

Asio::awaitable<HttpResponse> AdminApi::setStanding(std::string worker, Standing standing)
{
    const auto hosts = m_context.hosts.hosts();
    const auto matches = [&](const Host &host) { return host.kind == HostKind::Worker && host.id == worker; };
    const bool listed = hosts && std::any_of(hosts->hosts.begin(), hosts->hosts.end(), matches);
    if (!listed) {
        co_return errorResponse(404, "no-such-worker", "the host list has no worker with this id: " + worker);
    }
    WorkerStanding record;
    record.worker = WorkerId(worker);
    record.standing = standing;
    const AppendStatus status = co_await m_context.journal.append(record, Clock::now() + SET_STANDING_TIMEOUT);
    if (status == AppendStatus::Applied) {
        co_return jsonResponse(202, toJson({{"worker", worker}, {"standing", toString(standing)}}));
    }
    co_return errorResponse(
        503, "log-out",
        "the log service did not confirm the new standing of the worker within 10 s; the change may still take effect");
}

HttpResponse AdminApi::explain(const std::string &job) const
{
    const bool known = m_context.journal.read([&](const Ledger &ledger) { return ledger.job(JobId(job)) != nullptr; });
    if (!known) {
        return errorResponse(404, "no-such-job", "unknown job id: " + job);
    }
    return jsonResponse(200, toJson({{"job", job}, {"explanation", m_context.planner.explain(JobId(job))}}));
}

} // namespace Papaya
