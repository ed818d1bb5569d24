#include "standins/platformminionstandin.h"

#include "standins/platformservicestandins.h"
#include "standins/platformstorestandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>

namespace Papaya::Standins
{

namespace
{

constexpr Millis TICK_INTERVAL {10};
constexpr std::int64_t STOP_DURATION_MS = 50;
constexpr std::int64_t MAX_LEASE_MS = 10'000;
constexpr std::size_t ENDS_OF_REPORT = 500; // at most; the others are listed once these are acknowledged
constexpr std::int64_t CHECKPOINT_INTERVAL_MS = 200;
constexpr std::int64_t STARTUP_MS = 100;           // until a long-running task is at work
constexpr std::int64_t FIRST_CLOCK_MS = 1'000'000; // the first instance has run for a while; later ones start at 0

HttpResponse noAnswer()
{
    HttpResponse response;
    response.status = 0;
    return response;
}

/** Counts in a number for as long as it exists. */
class Presence
{
public:
    explicit Presence(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~Presence()
    {
        --m_count;
    }
    Presence(const Presence &) = delete;
    Presence &operator=(const Presence &) = delete;

private:
    std::atomic<int> &m_count;
};

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

std::vector<TaskRun> PlatformRuns::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<TaskRun> PlatformRuns::of(const std::string &prefix) const
{
    std::vector<TaskRun> runs = all();
    std::erase_if(runs, [&](const TaskRun &run) { return !run.task.starts_with(prefix); });
    return runs;
}

std::vector<std::string> PlatformRuns::doubled() const
{
    std::vector<std::string> lines;
    const std::vector<TaskRun> runs = all();
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = 0; j < runs.size(); ++j) {
            const TaskRun &first = runs[i];
            const TaskRun &second = runs[j];
            if (i == j || first.task != second.task || second.startedMs < first.startedMs
                || (second.startedMs == first.startedMs && j < i)) {
                continue;
            }
            const bool overlapping = first.endedMs == 0 || second.startedMs < first.endedMs;
            if (overlapping || first.how == "done") {
                lines.push_back(first.task + " run " + std::to_string(first.run) + " on " + first.minion + " and run "
                                + std::to_string(second.run) + " on " + second.minion);
            }
        }
    }
    return lines;
}

std::size_t PlatformRuns::begin(TaskRun run)
{
    const std::lock_guard lock(m_mutex);
    run.startedMs = nowMs();
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void PlatformRuns::end(std::size_t index, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    m_runs[index].endedMs = nowMs();
    m_runs[index].how = how;
}

void PlatformRuns::note(std::size_t index, bool inTime)
{
    const std::lock_guard lock(m_mutex);
    m_runs[index].ackedMs = nowMs();
    m_runs[index].notedMs = inTime ? m_runs[index].ackedMs : 0;
}

PlatformMinionStandin::PlatformMinionStandin(std::string id, std::string service, std::string rack, PlatformRuns &runs)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_rack(std::move(rack))
    , m_runs(runs)
    , m_bornMs(nowMs())
    , m_bornClockMs(FIRST_CLOCK_MS)
{
}

void PlatformMinionStandin::start(Asio::io_context &io, PlatformStoreStandin &store)
{
    m_store = &store;
    listen(io, {"127.0.0.1", 0});
    list();
    Asio::co_spawn(io, advanceLoop(*this), Asio::detached);
}

void PlatformMinionStandin::advertise(const Endpoint &address)
{
    const std::lock_guard lock(m_mutex);
    m_advertised = address;
}

void PlatformMinionStandin::setFaults(const PlatformMinionFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void PlatformMinionStandin::drain(std::int64_t remainingMs)
{
    {
        const std::lock_guard lock(m_mutex);
        m_state = "draining";
        m_remainingMs = remainingMs;
    }
    list();
}

void PlatformMinionStandin::resetState()
{
    for (const auto &[task, running] : m_running) {
        m_runs.end(running.index, "gone");
    }
    m_running.clear();
    m_ends.clear();
    m_lastRun.clear();
    m_fence = 0;
    m_endCount = 0;
    m_leaseUntilMs = 0;
    m_bornMs = nowMs();
    m_bornClockMs = 0;
}

void PlatformMinionStandin::restart()
{
    restartUnlisted();
    list();
}

void PlatformMinionStandin::restartUnlisted()
{
    const std::lock_guard lock(m_mutex);
    resetState();
}

void PlatformMinionStandin::age(std::int64_t ms)
{
    const std::lock_guard lock(m_mutex);
    m_bornMs -= ms;
}

void PlatformMinionStandin::replaceByOther()
{
    const std::lock_guard lock(m_mutex);
    resetState();
    m_replaced = true;
}

void PlatformMinionStandin::comeBackUnlisted()
{
    const std::lock_guard lock(m_mutex);
    resetState();
    m_replaced = false;
}

void PlatformMinionStandin::powerOff()
{
    {
        const std::lock_guard lock(m_mutex);
        resetState();
        m_poweredOff = true;
    }
    m_store->put("keyed.servers", m_id, "");
}

void PlatformMinionStandin::powerOn()
{
    {
        const std::lock_guard lock(m_mutex);
        resetState();
        m_poweredOff = false;
    }
    list();
}

void PlatformMinionStandin::requireTickets(const PlatformOracleStandin &oracle)
{
    m_oracle = &oracle;
}

std::optional<int> PlatformMinionStandin::paceOf(const std::string &task) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(task);
    return found == m_running.end() ? std::nullopt : std::optional<int>(found->second.pacePercent);
}

std::int64_t PlatformMinionStandin::tailOf(const std::string &task) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(task);
    return found == m_running.end() ? 0 : tailOf(found->second);
}

std::int64_t PlatformMinionStandin::tailOf(const Running &running) const
{
    int fillPercent = 0;
    for (const auto &[task, other] : m_running) {
        fillPercent += other.fills && !other.calm ? activity(task, other) : 0;
    }
    return running.tailMs + running.disturbedMs * std::min(fillPercent, 100) / 100;
}

int PlatformMinionStandin::activity(const std::string &task, const Running &running) const
{
    constexpr std::size_t LEVELS = 70; // from 30 to 100 percent of its pace
    const std::size_t level = std::hash<std::string>()(task + std::to_string(clock() / 500)) % (LEVELS + 1);
    return running.cores == 0 ? running.pacePercent : running.pacePercent * static_cast<int>(100 - level) / 100;
}

std::size_t PlatformMinionStandin::ticketsRefused() const
{
    const std::lock_guard lock(m_mutex);
    return m_ticketsRefused;
}

void PlatformMinionStandin::setZone(const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_zone = zone;
}

void PlatformMinionStandin::setCapacity(std::int64_t cpu, std::int64_t memoryMb, std::int64_t gpus)
{
    const std::lock_guard lock(m_mutex);
    m_cpu = cpu;
    m_memoryMb = memoryMb;
    m_gpus = gpus;
}

Resources PlatformMinionStandin::capacity() const
{
    const std::lock_guard lock(m_mutex);
    return {m_cpu, m_memoryMb, m_gpus};
}

std::uint64_t PlatformMinionStandin::highestFence() const
{
    const std::lock_guard lock(m_mutex);
    return m_fence;
}

std::size_t PlatformMinionStandin::lateOrdersCarriedOut() const
{
    const std::lock_guard lock(m_mutex);
    return m_lateOrdersCarriedOut;
}

std::size_t PlatformMinionStandin::pollsAnswered() const
{
    const std::lock_guard lock(m_mutex);
    return m_pollsAnswered;
}

std::size_t PlatformMinionStandin::unacknowledgedEnds() const
{
    const std::lock_guard lock(m_mutex);
    return m_ends.size();
}

void PlatformMinionStandin::list()
{
    Json entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = {{"service", m_service}, {"address", m_advertised.value_or(address()).toString()},
                 {"zone", m_zone},       {"version", "v1"},
                 {"slots", 8},           {"state", m_state},
                 {"coldRemainingMs", 0}, {"capacity", {{"cpu", m_cpu}, {"memMb", m_memoryMb}, {"gpu", m_gpus}}},
                 {"labels", labels()},   {"born", m_bornMs},
                 {"clockMs", clock()},   {"sequence", ++m_sequence}};
        if (m_state == "draining") {
            entry["remainingMs"] = m_remainingMs;
        }
    }
    m_store->put("keyed.servers", m_id, entry.dump());
}

std::int64_t PlatformMinionStandin::clock() const
{
    return nowMs() - m_bornMs + m_bornClockMs;
}

Asio::awaitable<void> PlatformMinionStandin::advanceLoop(PlatformMinionStandin &self)
{
    std::int64_t last = nowMs();
    for (;;) {
        co_await sleepFor(TICK_INTERVAL);
        const std::int64_t now = nowMs();
        const std::lock_guard lock(self.m_mutex);
        self.advance(now - last);
        last = now;
    }
}

bool PlatformMinionStandin::gangPresent(const std::string &task, const Running &running) const
{
    if (running.gang <= 1) {
        return true;
    }
    const std::vector<TaskRun> all = m_runs.of(stepOf(task) + ".");
    return std::count_if(all.begin(), all.end(), [&](const TaskRun &run) { return run.run == running.run; })
           >= static_cast<std::ptrdiff_t>(running.gang);
}

void PlatformMinionStandin::advance(std::int64_t byMs)
{
    std::vector<std::pair<std::string, std::string>> ended;
    for (End &end : m_ends) {
        end.leaseExpired = end.leaseExpired || clock() > m_leaseUntilMs;
    }
    for (auto &[task, running] : m_running) {
        if (clock() > m_leaseUntilMs) {
            ended.emplace_back(task, "lapsed");
        } else if (running.stopAtMs && clock() >= *running.stopAtMs) {
            ended.emplace_back(task, "stopped");
        } else if (m_faults.failAll || running.run <= running.fails) {
            ended.emplace_back(task, "failed");
        } else if (!m_faults.hang && gangPresent(task, running)) {
            running.doneMs += byMs * running.pacePercent / 100;
            if (!running.lasts && running.doneMs >= running.workMs) {
                ended.emplace_back(task, "done");
            }
        }
    }
    for (const auto &[task, how] : ended) {
        endRun(task, how);
    }
}

void PlatformMinionStandin::endRun(const std::string &task, const std::string &how)
{
    const Running running = m_running.at(task);
    m_running.erase(task);
    m_lastRun[task] = std::max(m_lastRun[task], running.run);
    m_runs.end(running.index, how);
    const std::string checkpoint = how == "done" ? "" : std::to_string(running.doneMs);
    m_ends.push_back({++m_endCount, task, running.run, how, checkpoint, running.index});
}

bool PlatformMinionStandin::fenced(const Json &body)
{
    const std::uint64_t fence = body.value("fence", std::uint64_t(0));
    if (fence < m_fence) {
        return true;
    }
    m_fence = fence;
    return false;
}

HttpResponse PlatformMinionStandin::refusal(const std::string &reason) const
{
    return jsonAnswer(409, {{"clockMs", clock()}, {"reason", reason}});
}

bool PlatformMinionStandin::isMeantForThis(const HttpRequest &request) const
{
    const std::string &target = request.fields.get("Papayahall-Target-Instance");
    return target.empty() || target == m_id;
}

Asio::awaitable<HttpResponse> PlatformMinionStandin::serve(HttpRequest request)
{
    const std::string path(request.path());
    const Json body = bodyOf(request);
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.unresponsive || m_poweredOff) {
            co_return noAnswer();
        }
        if (m_replaced || !isMeantForThis(request)) {
            co_return jsonAnswer(421, Json::object());
        }
    }
    if (const std::int64_t lateMs = takeLateness(path); lateMs > 0) {
        co_await carryOutLate(path, body, lateMs);
        co_return noAnswer();
    }
    if (path == "/-/run-start") {
        HttpResponse response = startRun(body);
        const std::lock_guard lock(m_mutex);
        if (m_faults.garbledStarts > 0) {
            --m_faults.garbledStarts;
            response.status = 500;
        }
        co_return response;
    }
    if (path == "/-/run-stop") {
        co_return stopRun(body);
    }
    if (path == "/-/pace") {
        co_return pace(body);
    }
    if (path == "/-/hold") {
        if (const std::int64_t delayMs = takePollDelay(); delayMs > 0) {
            const Presence delayed(m_pollsDelayed);
            co_await sleepFor(Millis(delayMs));
        }
        co_return co_await hold(body);
    }
    co_return jsonAnswer(404, Json::object());
}

std::int64_t PlatformMinionStandin::takeLateness(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    if (path == "/-/run-start" && m_faults.lateStarts > 0) {
        --m_faults.lateStarts;
        return m_faults.lateMs;
    }
    if (m_faults.lateOrders > 0) {
        --m_faults.lateOrders;
        return m_faults.lateMs;
    }
    return 0;
}

std::int64_t PlatformMinionStandin::takePollDelay()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.slowPolls == 0) {
        return 0;
    }
    --m_faults.slowPolls;
    return m_faults.lateMs;
}

Asio::awaitable<void> PlatformMinionStandin::carryOutLate(std::string path, Json body, std::int64_t lateMs)
{
    co_await sleepFor(Millis(lateMs));
    {
        const std::lock_guard lock(m_mutex);
        if (m_poweredOff || m_replaced) {
            co_return;
        }
    }
    if (path == "/-/run-start") {
        startRun(body);
    } else if (path == "/-/run-stop") {
        stopRun(body);
    } else if (path == "/-/hold") {
        body["waitMs"] = 0;
        co_await hold(std::move(body));
    }
    const std::lock_guard lock(m_mutex);
    ++m_lateOrdersCarriedOut;
}

HttpResponse PlatformMinionStandin::startRun(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    if (fenced(body)) {
        return refusal("fence");
    }
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(body.at("untilMs").get<std::int64_t>(), clock() + MAX_LEASE_MS));
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run) {
        return jsonAnswer(200, {{"clockMs", clock()}});
    }
    if (found != m_running.end() || (m_lastRun.contains(task) && run <= m_lastRun[task])) {
        return refusal("old");
    }
    if (body.at("untilMs").get<std::int64_t>() < clock()) {
        return refusal("late");
    }
    if (m_faults.refuseStarts > 0) {
        --m_faults.refuseStarts;
        return refusal("room");
    }
    const Json spec = Json::parse(body.value("taskSpec", "{}"), nullptr, false);
    const bool advised = m_oracle != nullptr && spec.value("advised", true);
    if (advised && !m_oracle->accepts(stepOf(task), m_id, body.value("ticket", ""))) {
        ++m_ticketsRefused;
        return refusal("ticket");
    }
    const std::string checkpoint = body.value("checkpoint", "");
    Running running;
    running.run = run;
    running.workMs = spec.value("workMs", 100);
    running.doneMs = checkpoint.empty() ? 0 : std::stoll(checkpoint);
    running.gang = spec.value("gang", 1U);
    running.fails = spec.value("fails", 0U);
    running.lasts = spec.value("lasts", false);
    running.fills = spec.value("fills", false);
    running.tailMs = spec.value("tailMs", std::int64_t(0));
    running.disturbedMs = spec.value("disturbedMs", std::int64_t(0));
    running.calm = spec.value("calm", false);
    running.cores = spec.value("cores", std::int64_t(0));
    running.startedMs = clock();
    TaskRun record;
    record.task = task;
    record.run = run;
    record.minion = m_id;
    record.checkpoint = checkpoint;
    running.index = m_runs.begin(record);
    m_running[task] = running;
    return jsonAnswer(200, {{"clockMs", clock()}});
}

HttpResponse PlatformMinionStandin::stopRun(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const std::string task = body.at("task");
    const std::uint32_t run = body.at("run");
    if (fenced(body)) {
        return refusal("fence");
    }
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run <= run) {
        if (!found->second.stopAtMs) {
            found->second.stopAtMs = clock() + STOP_DURATION_MS;
        }
    } else {
        m_lastRun[task] = std::max(m_lastRun[task], run);
    }
    return jsonAnswer(200, {{"clockMs", clock()}});
}

HttpResponse PlatformMinionStandin::pace(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    if (fenced(body)) {
        return refusal("fence");
    }
    const auto found = m_running.find(body.at("task"));
    if (found == m_running.end() || found->second.run != body.at("run").get<std::uint32_t>()) {
        return refusal("old");
    }
    found->second.pacePercent = body.at("percent");
    return jsonAnswer(200, {{"clockMs", clock()}});
}

Json PlatformMinionStandin::report() const
{
    Json running = Json::array();
    for (const auto &[task, run] : m_running) {
        const std::int64_t saved = run.doneMs / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        const std::int64_t work = run.lasts ? STARTUP_MS : run.workMs;
        const std::int64_t percent = work > 0 ? std::min<std::int64_t>(100, 100 * run.doneMs / work) : 0;
        running.push_back({task, run.run, saved > 0 ? std::to_string(saved) : "", percent,
                           run.cores > 0 ? run.cores * activity(task, run) / 100 : tailOf(run)});
    }
    Json ended = Json::array();
    for (const End &end : m_ends) {
        if (ended.size() == ENDS_OF_REPORT) {
            break;
        }
        ended.push_back({end.number, end.task, end.run, end.how, end.checkpoint});
    }
    return {{"clockMs", clock()}, {"born", m_bornMs}, {"runningTasks", running}, {"ended", ended}};
}

Asio::awaitable<HttpResponse> PlatformMinionStandin::hold(Json body)
{
    const std::uint64_t seen = body.value("lastSeen", std::uint64_t(0));
    const TimePoint deadline = Clock::now() + Millis(body.value("waitMs", 0));
    std::int64_t bornMs = 0; // of the instance that the call has reached
    bool first = true;
    std::optional<Presence> held;
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            bornMs = first ? m_bornMs : bornMs;
            if (m_faults.unresponsive || m_faults.silentPolls || m_poweredOff || m_replaced || bornMs != m_bornMs) {
                co_return noAnswer();
            }
            if (first && fenced(body)) {
                co_return refusal("fence");
            }
            if (first && body.contains("untilMs")) {
                m_leaseUntilMs =
                    std::max(m_leaseUntilMs, std::min(body["untilMs"].get<std::int64_t>(), clock() + MAX_LEASE_MS));
            }
            for (const End &end : m_ends) {
                if (end.number <= seen) {
                    m_runs.note(end.index, !end.leaseExpired);
                }
            }
            std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
            if (!m_ends.empty() || Clock::now() >= deadline) {
                ++m_pollsAnswered;
                co_return jsonAnswer(200, report());
            }
        }
        first = false;
        if (!held) {
            held.emplace(m_pollsHeld);
        }
        co_await sleepFor(TICK_INTERVAL);
    }
}

HttpResponse PlatformMinionStandin::control(const HttpRequest &)
{
    return jsonAnswer(404, Json::object());
}

} // namespace Papaya::Standins
