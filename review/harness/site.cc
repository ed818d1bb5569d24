#include "site.hh"

#include "steps/jobrecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>

extern char **environ;

namespace Review
{

namespace
{

constexpr unsigned TIME_LIMIT_S = 116; // of a case; it may run for 120 s
constexpr std::size_t MAX_CHILDREN = 256;
std::array<std::atomic<pid_t>, MAX_CHILDREN> children {}; // 0 where there is none

/** Ends all child processes and then this one; called on signals. */
void endAll(int /*signal*/)
{
    for (const auto &child : children) {
        if (const pid_t pid = child; pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    ::_exit(2);
}

void note(pid_t pid, pid_t replaced)
{
    for (auto &child : children) {
        if (pid_t expected = replaced; child.compare_exchange_strong(expected, pid)) {
            return;
        }
    }
}

constexpr unsigned FIRST_PORT = 15'000;
constexpr unsigned PORTS = 17'000;
constexpr Millis CALL_TIMEOUT {3'000};
constexpr Millis MAINTENANCE {2'000}; // maintenanceS
constexpr Millis START_TIMEOUT {15'000};
constexpr std::int64_t MIN_OVERLAP_MS = 20; // the record's clock is in milliseconds, and lines are written one by one

/** @return an address that is free, with a port below those that the system gives to connections. */
Endpoint freeEndpoint(Asio::io_context &io)
{
    static std::random_device random;
    static std::set<std::uint16_t> given;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(FIRST_PORT + random() % PORTS);
        Asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(Asio::ip::tcp::v4());
        acceptor.bind({Asio::ip::address_v4::loopback(), port}, error);
        if (!error && given.insert(port).second) {
            return {"127.0.0.1", port};
        }
    }
}

Json queueConfig(const std::string &name, int priority)
{
    return {{"name", name},      {"host", "jobs.example"},    {"pathPrefix", "/" + name + "/"},
            {"service", "desk"}, {"priority", priority},      {"attempts", 4},
            {"stretch", 3.0},    {"targetDurationMs", 1'000}, {"authExempt", false},
            {"timeoutMs", 3'000}};
}

Asio::awaitable<Reply> exchange(HttpPool &pool, Endpoint endpoint, HttpRequest request)
{
    const TimePoint deadline = Clock::now() + CALL_TIMEOUT;
    try {
        HttpConnectionPtr connection = co_await pool.acquire(endpoint, Millis(0), deadline);
        HttpResponse response = co_await connection->exchange(request, deadline);
        co_return Reply {response.status, std::move(response.body)};
    } catch (const HttpError &) {
        co_return Reply {};
    }
}

} // namespace

Child::Child(std::vector<std::string> command, std::string output)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> arguments;
    for (std::string &word : command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int failed = posix_spawn(&m_pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        m_pid = -1;
        throw CannotRun("cannot start " + command[0]);
    }
    note(m_pid, 0);
}

Child::~Child()
{
    kill();
}

void Child::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Child::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        note(0, m_pid);
        m_pid = -1;
    }
}

Machines::Machines(Asio::io_context &io, std::size_t count, Event record, Replace replace,
                   std::function<std::string(std::size_t)> minionOf)
    : m_io(io)
    , m_record(std::move(record))
    , m_replace(std::move(replace))
    , m_minionOf(std::move(minionOf))
    , m_machines(count)
{
    listen(io, {"127.0.0.1", 0});
}

void Machines::lose(std::uint64_t wave, int count)
{
    const std::lock_guard lock(m_mutex);
    m_toLose[wave] = count;
}

bool Machines::begun(std::size_t machine, std::uint64_t wave) const
{
    const std::lock_guard lock(m_mutex);
    return m_machines[machine].waves.contains(wave);
}

Asio::awaitable<HttpResponse> Machines::serve(HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (request.path() == "/-/machines") {
        Json rows = Json::array();
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            rows.push_back({{"machine", "m-" + std::to_string(i)},
                            {"pool", "desk"},
                            {"state", m_machines[i].up ? "up" : "upkeep"},
                            {"zone", "here"},
                            {"labels", {"a", "r1"}},
                            {"capacity", {{"cpu", 64'000}, {"memMb", 131'072}, {"gpu", 8}}},
                            {"id", m_minionOf(i)}});
        }
        co_return Standins::jsonAnswer(200, {{"machines", rows}, {"nextToken", nullptr}});
    }
    if (request.path() != "/-/machine-upkeep") {
        co_return Standins::jsonAnswer(404, Json::object());
    }
    const Json body = Standins::bodyOf(request);
    const std::string name = body.at("machine");
    const std::uint64_t wave = body.at("wave");
    const auto index = static_cast<std::size_t>(std::stoul(name.substr(2)));
    const std::string order = "order of upkeep of " + name + " for wave " + std::to_string(wave);
    if (index >= m_machines.size()) {
        co_return Standins::jsonAnswer(400, Json::object());
    }
    if (m_toLose[wave] > 0) {
        --m_toLose[wave];
        m_record(order + ": no answer and no effect");
        HttpResponse none;
        none.status = 0; // the connection ends
        co_return none;
    }
    Machine &machine = m_machines[index];
    if (machine.waves.contains(wave)) {
        m_record(order + ": 200, already done");
        co_return Standins::jsonAnswer(200, Json::object());
    }
    if (!machine.up) {
        m_record(order + ": 409 busy");
        co_return Standins::jsonAnswer(409, {{"reason", "busy"}});
    }
    m_record(order + ": 200, begun");
    machine.waves.insert(wave);
    machine.up = false;
    m_replace(index, false);
    Asio::co_spawn(m_io, finish(*this, index), Asio::detached);
    co_return Standins::jsonAnswer(200, Json::object());
}

Asio::awaitable<void> Machines::finish(Machines &self, std::size_t machine)
{
    co_await sleepFor(MAINTENANCE);
    self.m_replace(machine, true);
    const std::lock_guard lock(self.m_mutex);
    self.m_machines[machine].up = true;
}

HttpResponse Machines::control(const HttpRequest & /*request*/)
{
    return Standins::jsonAnswer(404, Json::object());
}

Site::Site(std::string folder, SiteShape shape)
    : m_folder(std::move(folder))
    , m_shape(std::move(shape))
    , m_work(m_io.get_executor())
    , m_pool(m_io)
    , m_upkeeps(m_shape.minions)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw CannotRun("no temporary folder");
    }
    m_directory = pattern;
    m_record = ::open((m_folder + "/record.txt").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
    if (m_record < 0) {
        throw CannotRun("cannot write " + m_folder + "/record.txt");
    }
    m_kinds = m_shape.kinds;
    m_kinds.resize(m_shape.minions, "a");
    for (int i = 0; i < 2; ++i) {
        m_threads.emplace_back([this] { m_io.run(); });
    }
    m_store.listen(m_io, {"127.0.0.1", 0});
    if (m_shape.machines) {
        m_machines = std::make_unique<Machines>(
            m_io, m_shape.minions, [this](const std::string &text) { record(text); },
            [this](std::size_t minion, bool up) {
                if (up) {
                    ++m_upkeeps[minion];
                    startMinion(minion);
                } else {
                    killMinion(minion);
                    m_store.put("keyed.servers", minionId(minion), "");
                }
            },
            [this](std::size_t minion) { return minionId(minion); });
    }
    for (std::size_t i = 0; i < m_shape.nodes; ++i) {
        m_callers.push_back(freeEndpoint(m_io));
        m_ready.push_back(freeEndpoint(m_io));
        m_proxies.push_back(Standins::FaultProxy::create(m_io, {"127.0.0.1", 0}, m_store.address()));
        // The fields of deploy/settings.json, with the bounds of a small deployment.
        Json settings = {{"node", "node-" + std::to_string(i)},
                         {"place", "here"},
                         {"callers", m_callers[i].toString()},
                         {"ready", m_ready[i].toString()},
                         {"store", m_proxies[i]->address().toString()},
                         {"peers", freeEndpoint(m_io).toString()},
                         {"cores", 0.25},
                         {"minionDrainMs", 2'000},
                         {"drainLimitMs", 6'000},
                         {"keepEndedMs", 120'000}};
        if (m_machines) {
            settings["machines"] = m_machines->address().toString();
        }
        std::ofstream(m_directory + "/node-" + std::to_string(i) + ".json") << settings.dump(2);
        m_nodes.emplace_back();
    }
    for (std::size_t i = 0; i < m_shape.minions; ++i) {
        m_minionAddresses.push_back(freeEndpoint(m_io));
        m_advertised.push_back(freeEndpoint(m_io));
        m_minionCallPaths.emplace_back();
        m_minionStorePaths.push_back(Standins::FaultProxy::create(m_io, {"127.0.0.1", 0}, m_store.address()));
        m_minions.emplace_back();
    }
}

Site::~Site()
{
    m_work.reset();
    m_io.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_nodes.clear();
    m_minionCallPaths.clear();
    m_minions.clear();
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_directory);
    } else {
        std::cerr << "logs of the nodes: " << m_directory << "\n";
    }
    ::close(m_record);
}

std::string Site::minionId(std::size_t minion) const
{
    const unsigned upkeeps = m_upkeeps[minion];
    return "i-" + std::to_string(minion) + (upkeeps == 0 ? "" : "-" + std::to_string(upkeeps));
}

void Site::record(const std::string &text) const
{
    const std::string line = std::to_string(Standins::nowMs()) + " " + text + "\n";
    [[maybe_unused]] const auto written = ::write(m_record, line.data(), line.size());
}

void Site::startNode(std::size_t node)
{
    const std::string base = m_directory + "/node-" + std::to_string(node);
    record("node-" + std::to_string(node) + " is started");
    m_nodes[node] = std::make_unique<Child>(
        std::vector<std::string> {"target/apps/papayahalld", "--platform", "--settings", base + ".json"},
        base + ".log");
}

void Site::killNode(std::size_t node)
{
    m_nodes[node]->kill();
    record("node-" + std::to_string(node) + " is killed");
}

void Site::startMinion(std::size_t minion, const std::string &kind)
{
    if (!kind.empty()) {
        m_kinds[minion] = kind;
    }
    m_minions[minion] = std::make_unique<Child>(
        std::vector<std::string> {"target/review/minion", minionId(minion), m_minionAddresses[minion].toString(),
                                  m_minionStorePaths[minion]->address().toString(), m_folder + "/record.txt",
                                  m_kinds[minion], m_shape.checkpoints, m_shape.ill.contains(minion) ? "ill" : "well",
                                  (m_shape.relayed ? m_advertised : m_minionAddresses)[minion].toString()},
        m_directory + "/" + minionId(minion) + ".log");
}

void Site::killMinion(std::size_t minion)
{
    const std::int64_t since = Standins::nowMs();
    m_minions[minion]->kill();
    record("minion " + minionId(minion) + " is killed, since " + std::to_string(since));
}

void Site::openCallPath(std::size_t minion)
{
    m_minionCallPaths[minion] =
        std::make_unique<Child>(std::vector<std::string> {"target/review/relay", m_advertised[minion].toString(),
                                                          m_minionAddresses[minion].toString()},
                                m_directory + "/relay.log");
}

void Site::cutOff(std::size_t minion, bool cut)
{
    record("minion " + minionId(minion) + (cut ? " is cut off" : " is reached again"));
    if (cut) {
        m_minionStorePaths[minion]->setSilent(true);
        m_minionCallPaths[minion]->kill();
    } else {
        m_minionStorePaths[minion]->setSilent(false);
        m_minionStorePaths[minion]->cutOpen();
        openCallPath(minion);
    }
}

void Site::removeEntry(std::size_t minion)
{
    record("the entry of " + minionId(minion) + " is removed");
    m_store.put("keyed.servers", minionId(minion), "");
}

void Site::cutFromStore(std::size_t node, bool cut)
{
    record("node-" + std::to_string(node) + (cut ? " is cut off from the store" : " reaches the store again"));
    m_proxies[node]->setSilent(cut);
}

void Site::start()
{
    Json config = {{"version", 3},
                   {"routes", {queueConfig("urgent", 0), queueConfig("plan", 1), queueConfig("batch", 2)}},
                   {"services", {{{"name", "desk"}, {"admissionCheck", true}}}},
                   {"tenants", {{{"name", "a"}, {"apiKeys", {"key-a"}}, {"guaranteed", {{"gpu", 8}}}}}}};
    m_store.put("keyed.op", "config", config.dump());
    for (std::size_t i = 0; i < m_minions.size(); ++i) {
        startMinion(i);
        if (m_shape.relayed) {
            openCallPath(i);
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        startNode(i);
    }
    const auto ready = [this] {
        for (const Endpoint &endpoint : m_ready) {
            HttpRequest request {"GET", "/-/ready", {}, {}};
            if (Asio::co_spawn(m_io, exchange(m_pool, endpoint, std::move(request)), Asio::use_future).get().status
                != 200) {
                return false;
            }
        }
        return leader().has_value();
    };
    if (!eventually(ready, START_TIMEOUT)) {
        throw CannotRun("the servers do not get ready");
    }
    std::this_thread::sleep_for(Millis(1'000)); // the minions are known by then
}

std::optional<std::size_t> Site::leader() const
{
    const std::string value = m_store.newest("keyed.journal", "q");
    const auto decoded = decodeRecord("q", value);
    if (value.empty() || !decoded || std::get<PlannerAnnouncement>(*decoded).resigned) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::stoul(std::get<PlannerAnnouncement>(*decoded).node.substr(5)));
}

Reply Site::call(std::size_t node, const std::string &method, const std::string &queue, const std::string &id,
                 const std::string &body)
{
    HttpRequest request {method, "/" + queue + "/" + id, {}, body};
    request.fields.set("Host", "jobs.example");
    request.fields.set("Papayahall-Key", "key-a");
    request.fields.set("Papayahall-Deadline-Remaining", std::to_string(CALL_TIMEOUT.count()));
    const std::string name = method + " /" + queue + "/" + id + " at node-" + std::to_string(node);
    if (method != "GET") {
        record("client sends " + name + (body.empty() ? "" : " " + body));
    }
    Reply reply = Asio::co_spawn(m_io, exchange(m_pool, m_callers[node], std::move(request)), Asio::use_future).get();
    record("client gets " + std::to_string(reply.status) + " " + reply.body + " for " + name);
    return reply;
}

Reply Site::submit(std::size_t node, const std::string &id, const Json &steps, const Json &taskSpec,
                   const std::string &queue)
{
    const Json body = {{"taskSpec", taskSpec.dump()}, {"steps", steps}};
    return call(node, "POST", queue, id, body.dump());
}

std::string Site::state(std::size_t node, const std::string &id, const std::string &queue)
{
    const Reply reply = call(node, "GET", queue, id);
    const Json json = Json::parse(reply.body, nullptr, false);
    return reply.status == 200 && json.is_object() ? json.value("state", "") : "";
}

std::string Site::newId()
{
    std::ostringstream id;
    id << std::hex;
    id.width(16);
    id.fill('0');
    id << 0xabc000 + ++m_lastId;
    return id.str();
}

std::vector<RunSeen> Site::runs() const
{
    std::vector<RunSeen> runs;
    std::ifstream file(m_folder + "/record.txt");
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::int64_t at = 0;
        std::string what;
        words >> at >> what;
        if (what == "start") {
            RunSeen run;
            std::string skipped;
            words >> run.task >> run.run >> skipped >> run.minion >> skipped >> run.kind;
            const std::size_t open = line.find('[');
            run.checkpoint = line.substr(open + 1, line.rfind(']') - open - 1);
            run.startedMs = at;
            runs.push_back(run);
        } else if (what == "end") {
            std::string task;
            std::uint32_t number = 0;
            std::string skipped;
            std::string minion;
            std::string how;
            words >> task >> number >> skipped >> minion >> how;
            for (RunSeen &run : runs) {
                if (run.endedMs == 0 && run.task == task && run.run == number && run.minion == minion) {
                    run.endedMs = at;
                    run.how = how;
                }
            }
        } else if (what == "minion" && line.find(" is killed, since ") != std::string::npos) {
            std::string minion;
            words >> minion;
            const std::int64_t since = std::stoll(line.substr(line.rfind(' ') + 1));
            for (RunSeen &run : runs) {
                if (run.endedMs == 0 && run.minion == minion) {
                    run.endedMs = std::max(run.startedMs, since);
                    run.how = "gone";
                }
            }
        }
    }
    return runs;
}

std::vector<std::string> Site::doubled() const
{
    std::vector<std::string> lines;
    std::map<std::string, std::vector<RunSeen>> byTask;
    for (const RunSeen &run : runs()) {
        byTask[run.task].push_back(run);
    }
    const std::int64_t now = Standins::nowMs();
    for (const auto &[task, all] : byTask) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            for (std::size_t j = i + 1; j < all.size(); ++j) {
                const std::int64_t from = std::max(all[i].startedMs, all[j].startedMs);
                const std::int64_t to =
                    std::min(all[i].endedMs == 0 ? now : all[i].endedMs, all[j].endedMs == 0 ? now : all[j].endedMs);
                if (to - from >= MIN_OVERLAP_MS) {
                    lines.push_back("task " + task + ": run " + std::to_string(all[i].run) + " on " + all[i].minion
                                    + " (" + all[i].how + ") and run " + std::to_string(all[j].run) + " on "
                                    + all[j].minion + " (" + all[j].how + ") at the same time for "
                                    + std::to_string(to - from) + " ms from " + std::to_string(from));
                }
            }
        }
    }
    return lines;
}

bool Site::eventually(const std::function<bool()> &condition, Millis limit)
{
    const TimePoint deadline = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(Millis(20));
    }
    return true;
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

int runCase(const std::function<std::vector<std::string>()> &body)
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        ::signal(number, endAll);
    }
    ::alarm(TIME_LIMIT_S);
    try {
        const std::vector<std::string> broken = body();
        for (const std::string &line : broken) {
            std::cout << line << "\n";
        }
        std::cout << (broken.empty() ? "the rule held" : "the rule was broken") << "\n";
        return broken.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return 2;
    }
}

} // namespace Review
