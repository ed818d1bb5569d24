#include "place.hh"

#include "steps/jobrecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

using Papaya::HttpError;
using Standins::bodyOf;
using Standins::jsonAnswer;
using Standins::nowMs;

Record::Record(const std::string &path)
    : m_file(path)
    , m_startMs(nowMs())
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << sinceStart(nowMs()) << " " << text << std::endl;
}

Asio::awaitable<HttpResponse> Minion::serve(HttpRequest request)
{
    const std::string path(request.path());
    // Shares the counter, as a call that hangs ends with the event loop, after the minion.
    const struct Counted {
        std::shared_ptr<std::atomic<int>> calls;
        ~Counted()
        {
            --*calls;
        }
    } counted {m_calls};
    m_most = std::max(m_most.load(), ++*m_calls);
    const std::string body = path == "/-/hold" ? "" : request.body;
    HttpResponse response = co_await PlatformMinionStandin::serve(std::move(request));
    if (path == "/-/hold" && response.status == 200) {
        Json report = Json::parse(response.body);
        Json &ended = report["ended"];
        if (ended.size() > ENDS_AT_A_TIME) { // in the order of their numbers
            m_record.line("minion " + m_name + " lists " + std::to_string(ENDS_AT_A_TIME) + " of "
                          + std::to_string(ended.size()) + " ends");
            ended.erase(ended.begin() + ENDS_AT_A_TIME, ended.end());
            response.body = report.dump();
        }
    }
    if (path != "/-/hold") {
        m_record.line("minion " + m_name + " got " + path + " " + body + " answered "
                      + std::to_string(response.status));
    }
    co_return response;
}

void Cloud::start(Asio::io_context &io, Millis maintenance)
{
    m_io = &io;
    m_maintenance = maintenance;
    listen(io, {"127.0.0.1", 0});
}

void Cloud::add(Minion &minion)
{
    const std::lock_guard lock(m_mutex);
    m_machines["m-" + minion.id()].minion = &minion;
}

HttpResponse Cloud::upkeep(const HttpRequest &request)
{
    const Json body = bodyOf(request);
    const std::string name = body.value("machine", "");
    const std::uint64_t wave = body.value("wave", std::uint64_t(0));
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
        return jsonAnswer(400, Json::object());
    }
    Machine &machine = found->second;
    if (std::find(machine.waves.begin(), machine.waves.end(), wave) != machine.waves.end()) {
        return jsonAnswer(200, Json::object()); // already done
    }
    if (machine.state != "up" || machine.minion->gone) {
        return jsonAnswer(409, {{"reason", "busy"}});
    }
    machine.waves.push_back(wave);
    machine.state = "upkeep";
    machine.minion->powerOff();
    Asio::co_spawn(*m_io, finish(*this, name), Asio::detached);
    return jsonAnswer(200, Json::object());
}

Asio::awaitable<void> Cloud::finish(Cloud &self, std::string machine)
{
    co_await Papaya::sleepFor(self.m_maintenance);
    const std::lock_guard lock(self.m_mutex);
    self.m_machines.at(machine).state = "up";
    self.m_machines.at(machine).minion->powerOn();
    self.m_record.line("machine " + machine + " is up again");
}

Asio::awaitable<HttpResponse> Cloud::serve(HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (request.path() == "/-/machines") {
        Json machines = Json::array();
        for (const auto &[name, machine] : m_machines) {
            machines.push_back({{"machine", name},
                                {"pool", "desk"},
                                {"state", machine.minion->gone ? "down" : machine.state},
                                {"zone", "here"},
                                {"labels", machine.minion->labels()},
                                {"id", machine.minion->id()}});
        }
        co_return jsonAnswer(200, {{"machines", machines}, {"nextToken", nullptr}});
    }
    const HttpResponse response = upkeep(request);
    m_record.line("cloud got upkeep " + request.body + " answered " + std::to_string(response.status));
    co_return response;
}

HttpResponse Cloud::control(const HttpRequest & /*request*/)
{
    return jsonAnswer(404, Json::object());
}

void Advice::allow(const std::string &job, std::set<std::string> minions)
{
    const std::lock_guard lock(m_mutex);
    m_allowed[job] = std::move(minions);
}

Asio::awaitable<HttpResponse> Advice::serve(HttpRequest request)
{
    const Json body = bodyOf(request);
    const std::string step = body.at("step");
    const Json &named = body.at("workers");
    std::int64_t waitMs = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto takesMs = DECISION_MS + PERIOD_MS * static_cast<std::int64_t>(named.size());
        m_freeAtMs = std::max(m_freeAtMs, nowMs()) + takesMs;
        waitMs = m_freeAtMs - nowMs();
    }
    co_await Papaya::sleepFor(Millis(waitMs));
    const std::lock_guard lock(m_mutex);
    const auto allowed = m_allowed.find(step.substr(0, step.find('.')));
    Json good = Json::array();
    for (const Json &minion : named) {
        if (allowed == m_allowed.end() || allowed->second.contains(minion.get<std::string>())) {
            good.push_back({minion, "ticket"});
        }
    }
    m_record.line("advice asked about step " + step + " and " + std::to_string(named.size()) + " minions, "
                  + std::to_string(good.size()) + " may run it");
    co_return jsonAnswer(200, {{"good", good}, {"validMs", VALID_MS}});
}

HttpResponse Advice::control(const HttpRequest & /*request*/)
{
    return jsonAnswer(404, Json::object());
}

Asio::awaitable<HttpResponse> Store::serve(HttpRequest request)
{
    if (request.path() == "/-/log-append" && request.body.size() > CALL_BYTES) {
        if (m_refused++ < 20) {
            m_record.line("store refused an append of " + std::to_string(request.body.size()) + " bytes with 413");
        }
        co_return jsonAnswer(413, Json::object());
    }
    co_return co_await PlatformStoreStandin::serve(std::move(request));
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    std::string program = SERVER_PATH;
    std::string platform = "--platform";
    std::string option = "--settings";
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        char *arguments[] = {program.data(), platform.data(), option.data(), m_settings.data(), nullptr};
        ::execv(program.c_str(), arguments);
        ::_exit(127);
    }
    if (m_pid < 0) {
        throw CannotRun("no process for a node");
    }
}

void Node::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Node::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

Place::Place(const std::string &recordPath, Options options)
    : record(recordPath)
    , store(record)
    , cloud(record)
    , advice(record)
    , m_work(Asio::make_work_guard(io))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw CannotRun("no temporary folder");
    }
    m_directory = pattern;
    for (int i = 0; i < 2; ++i) {
        m_threads.emplace_back([this] { io.run(); });
    }
    store.listen(io, {"127.0.0.1", 0});
    cloud.start(io, Millis(2'000)); // maintenanceS
    advice.listen(io, {"127.0.0.1", 0});
    for (std::size_t i = 0; i < options.minions; ++i) {
        const std::string rack =
            i < options.racks.size() ? options.racks[i] : "r" + std::to_string(i / options.minionsPerRack);
        minions.push_back(std::make_unique<Minion>("i-" + std::to_string(i), "desk", rack, runs, record));
        minions.back()->start(io, store);
        links.push_back(Standins::FaultProxy::create(io, {"127.0.0.1", 0}, minions.back()->address()));
        minions.back()->advertise(links.back()->address());
        minions.back()->list();
        cloud.add(*minions.back());
    }
    for (std::size_t i = 0; i < options.nodes; ++i) {
        fronts.push_back(freeEndpoint());
        readies.push_back(freeEndpoint());
        // As deploy/settings.json, with the bounds of the small sites.
        Json settings = {{"node", "front-" + std::to_string(i)},
                               {"place", "here"},
                               {"callers", fronts[i].toString()},
                               {"ready", readies[i].toString()},
                               {"store", store.address().toString()},
                               {"peers", freeEndpoint().toString()},
                               {"machines", cloud.address().toString()},
                               {"cores", 0.25},
                               {"minionDrainMs", 2'000},
                               {"maxLeaseMs", 10'000},
                               {"drainLimitMs", 6'000},
                               {"keepEndedMs", 120'000}};
        if (options.advice) {
            settings["oracle"] = advice.address().toString();
        }
        const std::string base = m_directory + "/front-" + std::to_string(i);
        std::ofstream(base + ".json") << settings.dump(2);
        nodes.push_back(std::make_unique<Node>(base + ".json", base + ".log"));
    }
    m_heartbeats = std::thread([this] {
        for (std::int64_t at = nowMs() + HEARTBEAT_MS; !m_ending; std::this_thread::sleep_for(Millis(20))) {
            if (nowMs() < at) {
                continue;
            }
            at += HEARTBEAT_MS;
            for (auto &minion : minions) {
                if (!minion->gone && !store.newest("keyed.servers", minion->id()).empty()) {
                    minion->list();
                }
            }
        }
    });
}

Place::~Place()
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i]->kill();
    }
    m_ending = true;
    m_heartbeats.join();
    m_work.reset();
    io.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    if (const char *keep = std::getenv("KEEP_LOGS")) {
        std::filesystem::copy(m_directory, keep,
                              std::filesystem::copy_options::recursive
                                  | std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(m_directory);
}

Endpoint Place::freeEndpoint()
{
    // Below the range from which the kernel takes ports for outgoing connections.
    static std::uint16_t next = static_cast<std::uint16_t>(11'000 + ::getpid() % 700 * 30);
    for (int i = 0; i < 1'000; ++i) {
        const std::uint16_t port = next++;
        boost::system::error_code error;
        Asio::ip::tcp::acceptor probe(io);
        probe.open(Asio::ip::tcp::v4(), error);
        probe.bind({Asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return {"127.0.0.1", port};
        }
    }
    throw CannotRun("no free port");
}

Asio::awaitable<Answer> Place::exchange(Endpoint endpoint, HttpRequest request, Millis timeout)
{
    try {
        const auto deadline = Papaya::Clock::now() + timeout;
        auto connection = co_await Papaya::connectHttp(io, endpoint, deadline);
        const HttpResponse response = co_await connection->exchange(request, deadline);
        co_return Answer {response.status, response.body};
    } catch (const HttpError &) {
        co_return Answer {};
    }
}

void Place::start(const Json &config)
{
    put("keyed.op", "config", config);
    for (auto &node : nodes) {
        node->start();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!eventually([&] { return ready(i); }, Millis(10'000))) {
            throw CannotRun("node " + std::to_string(i) + " is not ready");
        }
    }
    if (!eventually([&] { return leader() >= 0; }, Millis(10'000))) {
        throw CannotRun("no node leads");
    }
    record.line("all nodes are ready; front-" + std::to_string(leader()) + " leads");
}

void Place::put(const std::string &topic, const std::string &key, const Json &value)
{
    store.put(topic, key, value.dump());
    record.line("operator wrote " + topic + " " + key + ": " + value.dump());
}

Answer Place::call(std::size_t node, const std::string &method, const std::string &path, const std::string &body,
                   const std::string &key)
{
    HttpRequest request {method, path, {}, body};
    request.fields.set("Host", "jobs.example");
    request.fields.set("Papayahall-Key", key);
    request.fields.set("Papayahall-Deadline-Remaining", "3000");
    request.fields.set("Content-Type", "application/json");
    const Answer answer =
        Asio::co_spawn(io, exchange(fronts[node], std::move(request), Millis(3'000)), Asio::use_future).get();
    record.line("client with " + key + " sent " + method + " " + path + " " + body + " to front-" + std::to_string(node) + " answered "
                + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

Answer Place::submit(std::size_t node, const std::string &queue, const std::string &id, const Json &job,
                     const std::string &key)
{
    return call(node, "POST", "/" + queue + "/" + id, job.dump(), key);
}

bool Place::ready(std::size_t node)
{
    HttpRequest request {"GET", "/-/ready", {}, {}};
    return Asio::co_spawn(io, exchange(readies[node], std::move(request), Millis(500)), Asio::use_future).get().status
           == 200;
}

int Place::leader() const
{
    const std::string value = store.newest("keyed.journal", "q");
    const auto decoded = Papaya::decodeRecord("q", value);
    if (value.empty() || !decoded) {
        return -1;
    }
    const auto &announced = std::get<Papaya::PlannerAnnouncement>(*decoded);
    return announced.resigned ? -1 : std::atoi(announced.node.substr(6).c_str());
}

bool Place::eventually(const std::function<bool()> &condition, Millis timeout)
{
    for (const std::int64_t end = nowMs() + timeout.count(); nowMs() < end;) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Millis(20));
    }
    return condition();
}

void Place::crash(const std::string &id)
{
    for (std::size_t i = 0; i < minions.size(); ++i) {
        if (minions[i]->id() == id) {
            record.line("minion " + id + " loses power for good");
            links[i]->setSilent(true);
            minions[i]->gone = true;
            minions[i]->replaceByOther(); // ends its runs; nothing reaches it any more
            auto timer = std::make_shared<Asio::steady_timer>(io, Millis(3 * HEARTBEAT_MS));
            timer->async_wait([this, id, timer](const boost::system::error_code &error) {
                if (!error) {
                    store.put("keyed.servers", id, "");
                    record.line("entry of minion " + id + " removed after three heartbeats");
                }
            });
        }
    }
}

Minion &Place::minion(const std::string &id)
{
    for (auto &minion : minions) {
        if (minion->id() == id) {
            return *minion;
        }
    }
    throw CannotRun("no minion " + id);
}

void Place::recordRuns()
{
    for (const TaskRun &run : runs.all()) {
        record.line("run " + run.task + " " + std::to_string(run.run) + " on " + run.minion + " from "
                    + std::to_string(record.sinceStart(run.startedMs)) + " to "
                    + (run.endedMs == 0 ? "now" : std::to_string(record.sinceStart(run.endedMs))) + " " + run.how);
    }
}

std::int64_t Place::now() const
{
    return nowMs();
}

Json queue(const std::string &name, int priority)
{
    return {{"name", name},      {"host", "jobs.example"},    {"pathPrefix", "/" + name + "/"},
            {"service", "desk"}, {"priority", priority},      {"attempts", 2},
            {"stretch", 3.0},    {"targetDurationMs", 1'000}, {"authExempt", false},
            {"timeoutMs", 3'000}};
}

Json configuration(const std::vector<Json> &queues, std::int64_t guaranteedGpus)
{
    return {
        {"version", 3},
        {"routes", queues},
        {"services", Json::array({{{"name", "desk"}, {"admissionCheck", true}}})},
        {"tenants", Json::array({{{"name", "a"}, {"apiKeys", {"key-a"}}, {"guaranteed", {{"gpu", guaranteedGpus}}}}})}};
}

bool trouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

int runCase(int argc, char **argv, const std::function<bool(const std::string &recordPath)> &body)
{
    try {
        const bool held = body(argc > 1 ? argv[1] : "record.txt");
        std::cout << (held ? "the rule held" : "the rule was broken") << "\n";
        return held ? 0 : 1;
    } catch (const std::exception &error) {
        std::cout << "cannot run: " << error.what() << "\n";
        return 2;
    }
}

} // namespace Review
