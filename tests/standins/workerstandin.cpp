#include "standins/workerstandin.h"

#include <algorithm>

namespace Papaya::Standins
{

namespace
{

constexpr std::int64_t FAIL_AFTER_MS = 20;
constexpr std::size_t KEPT_REPORTS = 400;

bool ended(const std::string &state)
{
    return state == "succeeded" || state == "failed" || state == "stopped";
}

} // namespace

WorkerStandin::WorkerStandin(std::string id, Resources capacity)
    : m_id(std::move(id))
    , m_capacity(capacity)
{
}

void WorkerStandin::setFaults(const WorkerFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    advance();
    m_faults = faults;
}

void WorkerStandin::setCallHook(std::function<void(std::string_view)> hook)
{
    const std::lock_guard lock(m_mutex);
    m_callHook = std::move(hook);
}

WorkerFaults WorkerStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::vector<WorkerSpan> WorkerStandin::spans()
{
    const std::lock_guard lock(m_mutex);
    advance();
    return m_spans;
}

std::uint64_t WorkerStandin::epoch() const
{
    const std::lock_guard lock(m_mutex);
    return m_epoch;
}

std::uint64_t WorkerStandin::staleCommands() const
{
    const std::lock_guard lock(m_mutex);
    return m_staleCommands;
}

void WorkerStandin::loseTasks()
{
    const std::lock_guard lock(m_mutex);
    advance();
    for (auto &[key, task] : m_tasks) {
        if (!ended(task.state)) {
            endTask(key, task, "stopped", Clock::now());
        }
    }
    m_tasks.clear();
}

std::int64_t WorkerStandin::progressOf(const Task &task, TimePoint now) const
{
    return task.state == "running" ? task.doneMs + toMillis(now - task.startedAt) : task.doneMs;
}

void WorkerStandin::endTask(const TaskKey & /*key*/, Task &task, const std::string &state, TimePoint when)
{
    if (task.state == "running") {
        m_spans[task.span].end = when;
        m_spans[task.span].ending = state;
        task.doneMs = progressOf(task, when);
    }
    task.state = state;
}

void WorkerStandin::advance()
{
    const TimePoint now = Clock::now();
    for (auto &[key, task] : m_tasks) {
        if (ended(task.state)) {
            continue;
        }
        if (task.state == "running") {
            const std::int64_t need = m_faults.failing ? FAIL_AFTER_MS : m_faults.runMs;
            const std::int64_t left = std::max<std::int64_t>(0, need - task.doneMs);
            const TimePoint finish = task.startedAt + Millis(left);
            if (!m_faults.neverFinish && finish <= now && finish <= task.leaseUntil) {
                endTask(key, task, m_faults.failing ? "failed" : "succeeded", finish);
                continue;
            }
        }
        if (now >= task.leaseUntil) {
            endTask(key, task, "stopped", task.leaseUntil);
        }
    }
}

Resources WorkerStandin::useOf(const Task &task) const
{
    Resources use = task.need;
    if (task.state == "running" && m_faults.usedCores >= 0 && !task.throttled) {
        use.cores = m_faults.usedCores;
    }
    if (task.state == "running" && m_faults.usedMemoryMb >= 0) {
        use.memoryMb = m_faults.usedMemoryMb;
    }
    return use;
}

Resources WorkerStandin::used() const
{
    Resources total;
    for (const auto &[key, task] : m_tasks) {
        if (!ended(task.state)) {
            total += useOf(task);
        }
    }
    return total;
}

void WorkerStandin::trackOvercommit()
{
    const TimePoint now = Clock::now();
    const bool over = !m_capacity.covers(used());
    if (over && !m_overcommitSince) {
        m_overcommitSince = now;
    }
    if (m_overcommitSince) {
        m_longestOvercommit = std::max(m_longestOvercommit, now - *m_overcommitSince);
    }
    if (!over) {
        m_overcommitSince.reset();
    }
}

Duration WorkerStandin::longestOvercommit()
{
    const std::lock_guard lock(m_mutex);
    advance();
    trackOvercommit();
    return m_longestOvercommit;
}

Json WorkerStandin::describeTasks()
{
    const TimePoint now = Clock::now();
    Json tasks = Json::array();
    for (const auto &[key, task] : m_tasks) {
        tasks.push_back({{"job", key.first},
                         {"part", key.second},
                         {"state", task.state},
                         {"cores", useOf(task).cores},
                         {"memoryMb", useOf(task).memoryMb},
                         {"gpus", task.need.gpus},
                         {"progress", progressOf(task, now)},
                         {"checkpoint", task.checkpoint},
                         {"exit", task.state == "failed" ? 1 : 0}});
    }
    return tasks;
}

bool WorkerStandin::stale(const Json &body)
{
    const std::uint64_t epoch = body.value("epoch", std::uint64_t(0));
    if (epoch < m_epoch) {
        ++m_staleCommands;
        return true;
    }
    m_epoch = epoch;
    return false;
}

Asio::awaitable<HttpResponse> WorkerStandin::serve(HttpRequest request)
{
    std::function<void(std::string_view)> hook;
    {
        const std::lock_guard lock(m_mutex);
        hook = m_callHook;
    }
    if (hook) {
        hook(request.path());
    }
    const std::int64_t delayMs = request.path() == "/v1/tasks" ? faults().prepareDelayMs : 0;
    if (delayMs > 0) {
        co_await sleepFor(Millis(delayMs));
    }
    HttpResponse response = dispatch(request);
    const std::int64_t answerDelayMs = request.path() == "/v1/leases" ? faults().renewalAnswerDelayMs : 0;
    if (answerDelayMs > 0) {
        co_await sleepFor(Millis(answerDelayMs));
    }
    co_return response;
}

HttpResponse WorkerStandin::dispatch(const HttpRequest &request)
{
    const std::string path(request.path());
    const Json body = bodyOf(request);
    const std::lock_guard lock(m_mutex);
    advance();
    HttpResponse response = route(request, path, body);
    trackOvercommit();
    return response;
}

HttpResponse WorkerStandin::route(const HttpRequest &request, const std::string &path, const Json &body)
{
    if (request.method == "GET" && path == "/v1/report") {
        return report();
    }
    if (path == "/v1/epoch") {
        return raiseEpoch(body);
    }
    if (stale(body)) {
        return jsonAnswer(409, Json {{"epoch", m_epoch}});
    }
    if (path == "/v1/tasks") {
        return prepare(body);
    }
    if (path == "/v1/leases") {
        return renew(body);
    }
    return command(path, body);
}

HttpResponse WorkerStandin::raiseEpoch(const Json &body)
{
    if (stale(body)) {
        return jsonAnswer(409, Json {{"epoch", m_epoch}});
    }
    return jsonAnswer(200, Json {{"epoch", m_epoch},
                                 {"capacity", {{"cores", m_capacity.cores}, {"gpus", m_capacity.gpus}}},
                                 {"tasks", describeTasks()}});
}

HttpResponse WorkerStandin::prepare(const Json &body)
{
    const TaskKey key(body.at("job").get<std::string>(), body.at("part").get<std::uint32_t>());
    const auto known = m_tasks.find(key);
    if (known != m_tasks.end() && !ended(known->second.state)) {
        return jsonAnswer(409, Json::object());
    }
    const Json &shape = body.at("shape");
    Task task;
    task.need = {shape.value("cores", std::int64_t(0)), shape.value("memoryMb", std::int64_t(0)),
                 shape.value("gpus", std::int64_t(0))};
    Resources total = used();
    total += task.need;
    if (!m_capacity.covers(total)) {
        return jsonAnswer(507, Json::object());
    }
    task.leaseUntil = Clock::now() + Millis(body.value("leaseMs", std::int64_t(0)));
    task.checkpoint = body.value("checkpoint", "");
    if (task.checkpoint.starts_with("p")) {
        task.doneMs = std::stoll(task.checkpoint.substr(1));
    }
    m_tasks[key] = task;
    return jsonAnswer(200, Json::object());
}

HttpResponse WorkerStandin::command(const std::string &path, const Json &body)
{
    constexpr std::string_view TASKS = "/v1/tasks/";
    const std::size_t partAt = path.find('/', TASKS.size());
    const std::size_t verbAt = path.rfind('/');
    if (!path.starts_with(TASKS) || partAt == std::string::npos || verbAt <= partAt) {
        return jsonAnswer(404, Json::object());
    }
    const std::string verb = path.substr(verbAt + 1);
    const TaskKey key(path.substr(TASKS.size(), partAt - TASKS.size()),
                      static_cast<std::uint32_t>(std::stoul(path.substr(partAt + 1, verbAt - partAt - 1))));
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end()) {
        return verb == "stop" ? jsonAnswer(200, Json::object()) : jsonAnswer(409, Json::object());
    }
    Task &task = found->second;
    const TimePoint now = Clock::now();
    if (verb == "run" && task.state == "prepared" && !m_faults.refuseRun) {
        task.state = "running";
        task.startedAt = now;
        task.span = m_spans.size();
        m_spans.push_back({key.first, key.second, body.value("epoch", std::uint64_t(0)), now, TimePoint::max(), ""});
        return jsonAnswer(200, Json::object());
    }
    if (verb == "run" && task.state == "running") {
        return jsonAnswer(200, Json::object());
    }
    if (verb == "stop") {
        if (!ended(task.state)) {
            endTask(key, task, "stopped", now);
        }
        return jsonAnswer(200, Json::object());
    }
    if (verb == "checkpoint" && task.state == "running") {
        task.checkpoint = "p" + std::to_string(progressOf(task, now));
        return jsonAnswer(200, Json {{"checkpoint", task.checkpoint}});
    }
    if (verb == "throttle") {
        task.throttled = true;
        return jsonAnswer(200, Json::object());
    }
    return jsonAnswer(409, Json::object());
}

HttpResponse WorkerStandin::renew(const Json &body)
{
    Json lapsed = Json::array();
    for (const Json &pair : body.at("tasks")) {
        const auto found = m_tasks.find(TaskKey(pair[0].get<std::string>(), pair[1].get<std::uint32_t>()));
        if (found == m_tasks.end() || ended(found->second.state)) {
            // The end of a finished task is reported separately; only an unknown or stopped task counts as lapsed.
            if (found == m_tasks.end() || found->second.state == "stopped") {
                lapsed.push_back(pair);
            }
            continue;
        }
        found->second.leaseUntil = Clock::now() + Millis(body.value("leaseMs", std::int64_t(0)));
    }
    return jsonAnswer(200, Json {{"lapsed", lapsed}});
}

HttpResponse WorkerStandin::report()
{
    const TimePoint now = Clock::now();
    m_reports.emplace_back(now, describeTasks());
    const TimePoint asOf = now - Millis(m_faults.reportLagMs);
    while (m_reports.size() > 1 && (m_reports[1].first <= asOf || m_reports.size() > KEPT_REPORTS)) {
        m_reports.pop_front();
    }
    const bool old = m_reports.front().first <= asOf;
    return jsonAnswer(200, Json {{"asOfMs", nowMs() - m_faults.reportLagMs},
                                 {"tasks", old ? m_reports.front().second : Json::array()}});
}

HttpResponse WorkerStandin::control(const HttpRequest &request)
{
    const Json body = bodyOf(request);
    const std::lock_guard lock(m_mutex);
    advance();
    m_faults.runMs = body.value("runMs", m_faults.runMs);
    m_faults.failing = body.value("failing", m_faults.failing);
    m_faults.neverFinish = body.value("neverFinish", m_faults.neverFinish);
    return jsonAnswer(200, Json {{"epoch", m_epoch}, {"tasks", describeTasks()}});
}

} // namespace Papaya::Standins
