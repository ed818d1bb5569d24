#include "dispatch/operatorapi.h"

#include "base/codec.h"
#include "connection/waiter.h"
#include "dispatch/jobspecreader.h"
#include "process/callerauth.h"
#include "process/callersapi.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <random>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view JOBS = "/v1/jobs";
constexpr std::string_view ADMIN_JOBS = "/admin/jobs/";
constexpr std::string_view EXPLAIN = "/explain";
constexpr Millis STORE_TIMEOUT {3'000};
constexpr Millis MAX_WAIT {10'000};
constexpr Millis WAIT_POLL_INTERVAL {50};
constexpr std::size_t MAX_EXPLAINED_UNITS = 20; // units listed in one explanation

HttpResponse failure(int status, const Errors &errors)
{
    Json list = Json::array();
    for (const Error &error : errors) {
        list.push_back({{"code", error.code}, {"message", error.message}, {"path", error.path}});
    }
    return jsonResponse(status, toJson({{"error", list.front()}, {"errors", list}}));
}

HttpResponse failure(int status, const std::string &code, const std::string &message)
{
    return failure(status, Errors {{code, message, ""}});
}

std::string newJobId()
{
    static std::random_device source;
    std::uniform_int_distribution<std::uint64_t> any;
    constexpr std::string_view HEX = "0123456789abcdef";
    std::uint64_t bits = any(source);
    std::string id;
    for (int i = 0; i < 16; ++i, bits >>= 4) {
        id += HEX[bits & 15];
    }
    return id;
}

Json describeJob(const JobId &id, const JobEntry &entry, const StoredJobState &stored)
{
    return {{"job", id.value()},
            {"queue", entry.job.queue.value()},
            {"team", entry.job.team.value()},
            {"state", toString(stored.state)},
            {"unitsLeft", stored.units.left},
            {"unitsFailed", stored.units.failed},
            {"reason", ""}};
}

HttpResponse accepted(const JobId &id)
{
    return jsonResponse(202, toJson({{"job", id.value()}, {"state", "queued"}}));
}

/** @param firstAttempt true if the record cannot have been stored before */
JobApi::CallerTime storeTime(bool firstAttempt)
{
    const TimePoint deadline = Clock::now() + STORE_TIMEOUT;
    return {deadline, deadline, firstAttempt};
}

Millis waitOf(const HttpRequest &request)
{
    const std::string_view text = request.query("waitMs");
    std::int64_t wait = 0;
    std::from_chars(text.data(), text.data() + text.size(), wait); // an invalid number means no wait
    return std::clamp(Millis(wait), Millis(0), MAX_WAIT);
}

} // namespace

OperatorApi::OperatorApi(Context context)
    : m_context(std::move(context))
{
}

Asio::awaitable<HttpResponse> OperatorApi::handle(HttpRequest request)
{
    const std::string path(request.path());
    const bool get = request.method == "GET";
    if (get && path == m_context.codec.readyPath()) {
        const bool ready = m_context.status().ready;
        co_return jsonResponse(ready ? 200 : 503, ready ? R"({"ok":true})" : R"({"ok":false})");
    }
    if (get && path == "/metrics") {
        co_return showMetrics();
    }
    if (get && path == "/admin/status") {
        co_return showStatus();
    }
    if (get && path.starts_with(ADMIN_JOBS) && path.ends_with(EXPLAIN)) {
        co_return explain(JobId(path.substr(ADMIN_JOBS.size(), path.size() - ADMIN_JOBS.size() - EXPLAIN.size())));
    }
    if (path == JOBS && request.method == "POST") {
        co_return co_await submit(request);
    }
    if (path.starts_with(std::string(JOBS) + "/")) {
        co_return co_await job(JobId(path.substr(JOBS.size() + 1)), request);
    }
    co_return noSuchCall(request);
}

HttpResponse OperatorApi::showStatus() const
{
    const NodeStatus status = m_context.status();
    Json evacuatedPlaces = Json::array();
    for (const PlaceName &place : status.evacuatedPlaces) {
        evacuatedPlaces.push_back(place.value());
    }
    return jsonResponse(200, toJson({{"node", status.node},
                                     {"ready", status.ready},
                                     {"leading", status.leading},
                                     {"planner", status.planner},
                                     {"epoch", status.epoch},
                                     {"configVersion", status.configVersion},
                                     {"journalAgeMs", status.journalAgeMs},
                                     {"journalOffset", status.journalOffset},
                                     {"jobs", status.jobs},
                                     {"liveJobs", status.liveJobs},
                                     {"minions", status.minions},
                                     {"evacuatedPlaces", evacuatedPlaces}}));
}

HttpResponse OperatorApi::showMetrics() const
{
    const NodeStatus status = m_context.status();
    const std::map<std::string, double> gauges {{"ready", status.ready ? 1 : 0},
                                                {"leading", status.leading ? 1 : 0},
                                                {"planner_epoch", double(status.epoch)},
                                                {"config_version", double(status.configVersion)},
                                                {"journal_age_seconds", double(status.journalAgeMs) / 1000},
                                                {"jobs", double(status.jobs)},
                                                {"jobs_live", double(status.liveJobs)},
                                                {"minions", double(status.minions)},
                                                {"interfering_pairs", double(status.interferingPairs)},
                                                {"minions_slow", double(status.slowMinions)},
                                                {"places_evacuated", double(status.evacuatedPlaces.size())}};
    HttpResponse response;
    response.fields.set(Field::CONTENT_TYPE, "text/plain; version=0.0.4");
    response.body = m_context.metrics.toPrometheus(gauges);
    return response;
}

HttpResponse OperatorApi::explain(const JobId &id) const
{
    const JobEntry *entry = m_context.jobTable.find(id);
    if (entry == nullptr) {
        return failure(404, "no-such-job", "this node has no job " + id.value());
    }
    const NodeStatus status = m_context.status();
    const StoredJobState stored = m_context.jobTable.stored(*entry);
    Json answer = describeJob(id, *entry, stored);
    if (!status.leading) {
        answer["explanation"] = "the job is " + std::string(toString(stored.state)) + "; node " + status.planner
                                + " leads and knows why its units wait";
        return jsonResponse(200, toJson(answer));
    }
    std::string text = "the job is " + std::string(toString(stored.state));
    Json units = Json::array();
    for (const auto &[unit, why] : m_context.explain(id)) {
        if (units.size() < MAX_EXPLAINED_UNITS) {
            text += "\n" + unit.toString() + ": " + std::string(toString(why.reason)) + ": " + why.detail;
            units.push_back({{"unit", unit.toString()}, {"reason", toString(why.reason)}, {"detail", why.detail}});
        }
    }
    answer["explanation"] = text;
    answer["units"] = std::move(units);
    return jsonResponse(200, toJson(answer));
}

const TeamName *OperatorApi::teamOf(const HttpRequest &request) const
{
    const DeploymentConfig *config = m_context.config();
    if (config == nullptr) {
        return nullptr;
    }
    const auto found = config->teamByKey.find(bearerToken(request));
    return found == config->teamByKey.end() ? nullptr : &found->second;
}

Asio::awaitable<HttpResponse> OperatorApi::submit(const HttpRequest &request)
{
    const TeamName *team = teamOf(request);
    if (team == nullptr) {
        co_return failure(401, "bad-token", "a valid team key is required");
    }
    const auto json = parseJson(request.body);
    if (!json) {
        co_return failure(400, json.errors());
    }
    auto read = readJobRequest(*json);
    if (!read) {
        co_return failure(400, read.errors());
    }
    const QueueConfig *queue = m_context.config()->queue(read->queue);
    if (queue == nullptr) {
        co_return failure(404, "no-such-queue", "there is no queue " + read->queue.value());
    }
    const JobId id = read->id.value_or(JobId(newJobId()));
    const JobEntry *known = m_context.jobTable.find(id);
    if (known != nullptr && known->job.team != *team) {
        co_return failure(409, "id-taken", "the id is in use by a job of another team");
    }
    HttpResponse response =
        co_await m_context.jobApi.accept(*queue, *team, id, std::move(read->spec), storeTime(!read->id));
    if (response.status == 200) {
        response = accepted(id);
    }
    co_return response;
}

Asio::awaitable<HttpResponse> OperatorApi::job(JobId id, const HttpRequest &request)
{
    const TeamName *team = teamOf(request);
    if (team == nullptr) {
        co_return failure(401, "bad-token", "a valid team key is required");
    }
    const TeamName own = *team;
    const auto find = [&]() -> const JobEntry * {
        const JobEntry *entry = m_context.jobTable.find(id);
        return entry != nullptr && entry->job.team == own ? entry : nullptr;
    };
    const JobEntry *entry = find();
    if (entry == nullptr) {
        co_return failure(404, "no-such-job", "this team has no job " + id.value());
    }
    if (request.method == "DELETE") {
        HttpResponse response = co_await m_context.jobApi.cancel(id, storeTime(true));
        if (response.status != 200) {
            co_return response;
        }
    } else if (request.method == "GET") {
        const StepJobState first = m_context.jobTable.stored(*entry).state;
        const TimePoint deadline = Clock::now() + waitOf(request);
        const auto isUnchanged = [&] {
            const JobEntry *present = find();
            const StoredJobState state = present == nullptr ? StoredJobState() : m_context.jobTable.stored(*present);
            return present != nullptr && state.state == first && state.live();
        };
        while (Clock::now() < deadline && isUnchanged()) {
            co_await sleepFor(WAIT_POLL_INTERVAL);
        }
    } else {
        co_return noSuchCall(request);
    }
    entry = find();
    co_return entry == nullptr ? failure(404, "no-such-job", "the job has ended and its retention period is over")
                               : jsonResponse(200, toJson(describeJob(id, *entry, m_context.jobTable.stored(*entry))));
}

} // namespace Papaya
