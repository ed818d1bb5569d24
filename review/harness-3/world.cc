#include "world.hh"

#include "steps/jobrecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

extern char **environ;

namespace Review
{

namespace
{

constexpr std::int64_t STORE_MS = 4;    // an answer of the store
constexpr std::int64_t BEAT_MS = 1'500; // heartbeatMs
constexpr int LOST_BEATS = 3;           // an entry is removed after as many without a word
constexpr const char *PROGRAM = "target/apps/papayahalld";

Asio::awaitable<Reply> exchange(HttpPool &pool, Endpoint to, HttpRequest request)
{
    Reply reply;
    try {
        HttpResponse response = co_await pool.exchangeOnce(std::move(to), std::move(request),
                                                           Clock::now() + Millis(3'000));
        reply.status = response.status;
        reply.body = std::move(response.body);
    } catch (const HttpError &) {
        reply.status = 0;
    }
    co_return reply;
}

/** @return a free port outside the range from which the system takes ports of its own. */
Endpoint freeEndpoint(Asio::io_context &io)
{
    static std::mt19937 random(std::random_device {}());
    for (;;) {
        const auto port = static_cast<std::uint16_t>(15'000 + random() % 15'000);
        Asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(Asio::ip::tcp::v4());
        acceptor.bind({Asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return {"127.0.0.1", port};
        }
    }
}

} // namespace

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : m_path(path)
    , m_beganMs(nowMs())
{
    std::ofstream(m_path).close();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const std::string time = std::to_string(nowMs() - m_beganMs);
    const std::string whole = std::string(time.size() < 7 ? 7 - time.size() : 0, ' ') + time + " ms  " + text;
    std::ofstream(m_path, std::ios::app) << whole << "\n";
    std::cout << whole << std::endl;
}

Asio::awaitable<HttpResponse> Store::serve(HttpRequest request)
{
    co_await sleepFor(Millis(STORE_MS));
    const bool toJournal = request.path() == "/-/log-append" && request.query("topic") == "keyed.journal";
    const std::string body = toJournal ? request.body : std::string();
    HttpResponse response = co_await PlatformStoreStandin::serve(std::move(request));
    if (toJournal && response.status == 200 && onStored) {
        onStored(body);
    }
    co_return response;
}

Process::Process(std::string settingsPath, std::string logPath)
    : m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{
}

Process::~Process()
{
    kill();
}

void Process::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> words {PROGRAM, "--platform", "--settings", m_settingsPath};
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&m_pid, PROGRAM, &actions, nullptr, arguments.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool Process::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid <= 0;
}

World::World(Options options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_work(Asio::make_work_guard(io))
    , m_lostMs(m_options.minions, 0)
    , m_pool(io)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "papayahall-review-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    for (int i = 0; i < 2; ++i) {
        m_threads.emplace_back([this] { io.run(); });
    }
    const Endpoint any {"127.0.0.1", 0};
    store.listen(io, any);
    oracle.listen(io, any);
    machines.start(io, Millis(m_options.maintenanceMs));
    for (std::size_t i = 0; i < m_options.minions; ++i) {
        minions.push_back(std::make_unique<Standins::PlatformMinionStandin>("i-" + std::to_string(i), "desk",
                                                                            "r" + std::to_string(i / 6), runs));
        minions.back()->setCapacity(64'000, 131'072, 8);
        minions.back()->age(600'000); // started long ago
        minions.back()->start(io, store);
        links.push_back(Standins::FaultProxy::create(io, any, minions.back()->address()));
        minions.back()->advertise(links.back()->address());
        minions.back()->list();
        machines.add(*minions.back());
    }
    for (const std::string &name : m_options.nodes) {
        m_callers.push_back(freeEndpoint(io));
        m_ready.push_back(freeEndpoint(io));
        // The template of the deploy file, filled in for a machine of a small deployment.
        const Json settings = {{"node", name},
                               {"place", "here"},
                               {"callers", m_callers.back().toString()},
                               {"ready", m_ready.back().toString()},
                               {"store", store.address().toString()},
                               {"peers", freeEndpoint(io).toString()},
                               {"oracle", oracle.address().toString()},
                               {"machines", machines.address().toString()},
                               {"cores", 0.25},
                               {"minionDrainMs", 2'000},
                               {"maxLeaseMs", 10'000},
                               {"drainLimitMs", 6'000},
                               {"keepEndedMs", 120'000}};
        const std::string base = m_directory + "/" + name;
        std::ofstream(base + ".json") << settings.dump(2);
        nodes.push_back(std::make_unique<Process>(base + ".json", base + ".log"));
    }
    config = {{"routes", {queue("urgent", 0), queue("plan", 1), queue("batch", 2)}},
              {"services", {{{"name", "desk"}, {"admissionCheck", true}, {"spare", false}}}},
              {"tenants", {{{"name", "a"}, {"apiKeys", {"key-a"}}, {"guaranteed", {{"gpu", 8}}}}}}};
    configure();
    m_beats = std::thread([this] { beat(); });
}

World::~World()
{
    m_ending = true;
    m_beats.join();
    for (auto &node : nodes) {
        node->signal(SIGCONT);
        node->kill();
    }
    if (const char *keep = std::getenv("KEEP_LOGS")) {
        std::filesystem::create_directories(keep);
        std::filesystem::copy(m_directory, keep,
                              std::filesystem::copy_options::overwrite_existing
                                  | std::filesystem::copy_options::recursive);
    }
    m_work.reset();
    io.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    std::filesystem::remove_all(m_directory);
}

void World::configure()
{
    m_version += 3; // versions increase in uneven steps
    config["version"] = m_version;
    store.put("keyed.op", "config", config.dump());
}

Json World::queue(const std::string &name, int priority)
{
    return {{"name", name},       {"host", "jobs.example"},    {"pathPrefix", "/" + name + "/"},
            {"service", "desk"},  {"priority", priority},      {"attempts", 4},
            {"stretch", 3.0},     {"targetDurationMs", 1'000}, {"authExempt", false},
            {"timeoutMs", 3'000}, {"kind", "non_idempotent"}};
}

void World::beat()
{
    std::int64_t nextMs = nowMs() + BEAT_MS;
    while (!m_ending) {
        std::this_thread::sleep_for(Millis(20));
        const std::int64_t now = nowMs();
        const bool due = now >= nextMs;
        nextMs += due ? BEAT_MS : 0;
        const std::lock_guard lock(m_mutex);
        for (std::size_t i = 0; i < minions.size(); ++i) {
            if (m_lostMs[i] == 0 && due) {
                minions[i]->list();
            } else if (m_lostMs[i] > 0 && now - m_lostMs[i] >= LOST_BEATS * BEAT_MS) {
                store.put("keyed.servers", minions[i]->id(), "");
                m_lostMs[i] = INT64_MAX;
                m_record.line("the store has removed the entry of " + minions[i]->id());
            }
        }
    }
}

bool World::start()
{
    if (::access(PROGRAM, X_OK) != 0) {
        m_record.line(std::string(PROGRAM) + " is missing: build it first, see the deploy file");
        return false;
    }
    for (auto &node : nodes) {
        node->start();
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!eventually([&] { return ready(i); }, 15'000)) {
            return false;
        }
    }
    return eventually([&] { return leader().has_value(); }, 15'000);
}

bool World::ready(std::size_t node)
{
    const HttpRequest request {"GET", "/-/ready", {}, {}};
    return Asio::co_spawn(io, exchange(m_pool, m_ready[node], request), Asio::use_future).get().status == 200;
}

Reply World::call(std::size_t node, const std::string &method, const std::string &target, const std::string &body)
{
    HttpRequest request {method, target, {}, body};
    request.fields.set("Host", "jobs.example");
    request.fields.set("Content-Type", "application/json");
    request.fields.set("Papayahall-Key", "key-a");
    request.fields.set("Papayahall-Deadline-Remaining", "3000");
    return Asio::co_spawn(io, exchange(m_pool, m_callers[node], std::move(request)), Asio::use_future).get();
}

Reply World::submit(std::size_t node, const std::string &queue, const std::string &id, const Json &steps,
                    const Json &taskSpec)
{
    const Json body = {{"taskSpec", taskSpec.dump()}, {"steps", steps}};
    return call(node, "POST", "/" + queue + "/" + id, body.dump());
}

std::optional<std::size_t> World::leader()
{
    const std::string value = store.newest("keyed.journal", "q");
    const auto record = decodeRecord("q", value);
    if (value.empty() || !record || std::get<PlannerAnnouncement>(*record).resigned) {
        return std::nullopt;
    }
    const std::string &name = std::get<PlannerAnnouncement>(*record).node;
    for (std::size_t i = 0; i < m_options.nodes.size(); ++i) {
        if (m_options.nodes[i] == name) {
            return i;
        }
    }
    return std::nullopt;
}

void World::losePower(std::size_t minion)
{
    links[minion]->setSilent(true);
    const std::lock_guard lock(m_mutex);
    m_lostMs[minion] = nowMs();
}

void World::setCut(std::size_t minion, bool cut)
{
    links[minion]->setSilent(cut);
}

bool World::eventually(const std::function<bool()> &condition, std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Millis(20));
    }
    return condition();
}

std::string World::id(unsigned number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace Review
