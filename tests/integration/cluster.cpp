#include "cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <sstream>

extern char **environ;

namespace Papaya::Testing
{

namespace
{

constexpr unsigned THREADS = 3;
constexpr Millis POLL_INTERVAL {20};

} // namespace

Endpoint freeEndpoint(Asio::io_context &io)
{
    constexpr unsigned FIRST_PORT = 12'000;
    constexpr unsigned PORTS = 2'500;
    // Test programs that run at the same time need ports of their own.
    const char *shardIndex = std::getenv("GTEST_SHARD_INDEX");
    const char *ports = std::getenv("PAPAYAHALL_TEST_PORT_BLOCK");
    const char *block = ports == nullptr ? shardIndex : ports;
    const unsigned shard = block == nullptr ? 7 : static_cast<unsigned>(std::atoi(block)) % 8;
    static std::atomic<unsigned> next {0};
    while (true) {
        const auto port = static_cast<std::uint16_t>(FIRST_PORT + shard * PORTS + next++ % PORTS);
        Asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(Asio::ip::tcp::v4());
        acceptor.bind({Asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return {"127.0.0.1", port};
        }
    }
}

Asio::awaitable<Answer> exchange(HttpPool &pool, Endpoint endpoint, HttpRequest request, Millis timeout)
{
    const TimePoint begin = Clock::now();
    Answer answer;
    try {
        HttpConnectionPtr connection = co_await pool.acquire(endpoint, Millis(0), begin + timeout);
        HttpResponse response = co_await connection->exchange(request, begin + timeout);
        answer = {response.status, std::move(response.fields), std::move(response.body), {}};
    } catch (const HttpError &) {
        answer.status = 0;
    }
    answer.time = Clock::now() - begin;
    co_return answer;
}

InstanceProcess::InstanceProcess(std::string program, std::string settingsPath, std::string logPath,
                                 std::vector<std::string> options)
    : m_program(program.empty() ? PAPAYAHALLD_PATH : std::move(program))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
    , m_options(std::move(options))
{
}

InstanceProcess::~InstanceProcess()
{
    kill();
}

void InstanceProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = m_program;
    std::string settingsOption = "--settings";
    std::vector<char *> arguments {program.data(), settingsOption.data(), m_settingsPath.data()};
    for (std::string &option : m_options) {
        arguments.push_back(option.data());
    }
    arguments.push_back(nullptr);
    ASSERT_EQ(0, posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ));
    posix_spawn_file_actions_destroy(&actions);
}

void InstanceProcess::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void InstanceProcess::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

std::optional<int> InstanceProcess::waitForExit(Millis timeout)
{
    int status = 0;
    const bool ended = Cluster::eventually([&] { return ::waitpid(m_pid, &status, WNOHANG) == m_pid; }, timeout);
    if (!ended) {
        return std::nullopt;
    }
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

Json Answer::json() const
{
    return Json::parse(body, nullptr, false);
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_work(Asio::make_work_guard(io))
    , m_pool(io)
{
    for (unsigned i = 0; i < THREADS; ++i) {
        m_threads.emplace_back([this] { io.run(); });
    }
    std::string pattern = (std::filesystem::temp_directory_path() / "papayahall-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    const Endpoint any {"127.0.0.1", 0};
    log.listen(io, any);
    hosts.listen(io, any);
    for (std::size_t i = 0; m_options.ownHostLists && i < m_options.instances; ++i) {
        hostLists.push_back(std::make_unique<Standins::HostsStandin>());
        hostLists.back()->listen(io, any);
    }
    for (std::size_t i = 0; i < m_options.minions; ++i) {
        minions.push_back(std::make_unique<Standins::MinionStandin>("minion-" + std::to_string(i), m_options.slots));
        minions.back()->listen(io, any);
        Endpoint address = minions.back()->address();
        if (m_options.proxyMinions) {
            minionProxies.push_back(Standins::FaultProxy::create(io, any, address));
            address = minionProxies.back()->address();
        }
        listHost(hostOf(*minions.back(), address));
    }
    for (std::size_t i = 0; i < m_options.workers; ++i) {
        workers.push_back(
            std::make_unique<Standins::WorkerStandin>("worker-" + std::to_string(i), m_options.workerCapacity));
        workers.back()->listen(io, any);
        listHost(hostOf(*workers.back(), i));
    }
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        makeInstance(i);
    }
}

Cluster::~Cluster()
{
    instances.clear();
    minionProxies.clear();
    logProxies.clear();
    hostsProxies.clear();
    peerProxies.clear();
    m_work.reset();
    io.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    if (!::testing::Test::HasFailure()) {
        std::filesystem::remove_all(m_directory);
    } else {
        std::cerr << "instance logs kept in " << m_directory << "\n";
    }
}

Host Cluster::hostOf(const Standins::MinionStandin &minion, const Endpoint &address)
{
    Host host;
    host.id = minion.id();
    host.kind = HostKind::Minion;
    host.address = address;
    host.place = PlaceName("bergen");
    host.slots = minion.slots();
    host.connections = 64;
    return host;
}

Host Cluster::hostOf(const Standins::WorkerStandin &worker, std::size_t index) const
{
    Host host;
    host.id = worker.id();
    host.kind = HostKind::Worker;
    host.address = worker.address();
    host.place = PlaceName("bergen");
    host.rack = RackName("rack-" + std::to_string(index / m_options.workersPerRack));
    host.resources = worker.capacity();
    return host;
}

void Cluster::listHost(const Host &host)
{
    hosts.set(host);
    for (const auto &list : hostLists) {
        list->set(host);
    }
}

void Cluster::makeInstance(std::size_t index)
{
    const std::string id = "entry-" + std::to_string(index);
    const Endpoint any {"127.0.0.1", 0};
    m_callers.push_back(freeEndpoint(io));
    m_admin.push_back(freeEndpoint(io));
    m_peers.push_back(freeEndpoint(io));
    Endpoint logAddress = log.address();
    if (m_options.proxyLog) {
        logProxies.push_back(Standins::FaultProxy::create(io, any, logAddress));
        logAddress = logProxies.back()->address();
    }
    Endpoint hostsAddress = m_options.ownHostLists ? hostLists[index]->address() : hosts.address();
    if (m_options.proxyHosts) {
        hostsProxies.push_back(Standins::FaultProxy::create(io, any, hostsAddress));
        hostsAddress = hostsProxies.back()->address();
    }
    Endpoint peerAddress = m_peers.back();
    if (m_options.proxyPeers) {
        peerProxies.push_back(Standins::FaultProxy::create(io, any, peerAddress));
        peerAddress = peerProxies.back()->address();
    }
    Json settings {{"instance", {{"id", id}, {"place", "bergen"}}},
                   {"listen",
                    {{"callers", m_callers.back().toString()},
                     {"admin", m_admin.back().toString()},
                     {"peers", m_peers.back().toString()}}},
                   {"platform", {{"log", logAddress.toString()}, {"hosts", hostsAddress.toString()}}},
                   {"threads", 2},
                   {"drainNoticeMs", 200},
                   {"logLevel", "debug"}};
    settings.merge_patch(m_options.settings);
    const std::string path = m_directory + "/" + id + ".json";
    std::ofstream(path) << settings.dump(2);
    instances.push_back(std::make_unique<InstanceProcess>(m_options.program, path, m_directory + "/" + id + ".log"));
    Host host;
    host.id = id;
    host.kind = HostKind::Entry;
    host.address = peerAddress;
    host.place = PlaceName("bergen");
    listHost(host);
}

void Cluster::startInstance(std::size_t index)
{
    instances[index]->start();
}

void Cluster::start(const Json &config)
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        startInstance(i);
    }
    const auto applied = [&] { return putConfig(0, config, 0).status == 200; };
    ASSERT_TRUE(eventually(applied)) << "instance 0 did not accept the initial configuration within 10 s";
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const auto ready = [&] { return call(admin(i), {"GET", "/ready", {}, ""}).status == 200; };
        ASSERT_TRUE(eventually(ready)) << "instance " << i << " is not ready after 10 s";
    }
}

Answer Cluster::call(const Endpoint &endpoint, HttpRequest request, Millis timeout)
{
    return Asio::co_spawn(Asio::make_strand(io), exchange(m_pool, endpoint, std::move(request), timeout),
                          Asio::use_future)
        .get();
}

std::vector<Answer> Cluster::callAll(const std::vector<std::pair<Endpoint, HttpRequest>> &requests, Millis timeout)
{
    std::vector<std::future<Answer>> futures;
    futures.reserve(requests.size());
    for (const auto &[endpoint, request] : requests) {
        futures.push_back(
            Asio::co_spawn(Asio::make_strand(io), exchange(m_pool, endpoint, request, timeout), Asio::use_future));
    }
    std::vector<Answer> answers;
    answers.reserve(futures.size());
    for (auto &future : futures) {
        answers.push_back(future.get());
    }
    return answers;
}

void Cluster::setMinionFaults(const Standins::MinionFaults &faults)
{
    for (const auto &minion : minions) {
        minion->setFaults(faults);
    }
}

void Cluster::setWorkerFaults(const Standins::WorkerFaults &faults)
{
    for (const auto &worker : workers) {
        worker->setFaults(faults);
    }
}

Answer Cluster::request(std::size_t instance, const std::string &templateName, const std::string &body,
                        const std::string &key, Millis timeout)
{
    HttpRequest request {"POST", "/v1/requests/" + templateName, {}, body};
    request.fields.set(Field::TEAM, "bookings");
    if (!key.empty()) {
        request.fields.set(Field::IDEMPOTENCY_KEY, key);
    }
    return call(callers(instance), std::move(request), timeout);
}

Answer Cluster::submitJob(std::size_t instance, const std::string &templateName, const Json &parameters,
                          const std::string &key)
{
    HttpRequest request {"POST", "/v1/jobs", {}, Json {{"template", templateName}, {"parameters", parameters}}.dump()};
    request.fields.set(Field::TEAM, "bookings");
    if (!key.empty()) {
        request.fields.set(Field::IDEMPOTENCY_KEY, key);
    }
    return call(callers(instance), std::move(request), Millis(15'000));
}

Json Cluster::jobStatus(std::size_t instance, const std::string &job, Millis wait)
{
    HttpRequest request {"GET", "/v1/jobs/" + job + "?waitMs=" + std::to_string(wait.count()), {}, ""};
    request.fields.set(Field::TEAM, "bookings");
    return call(callers(instance), std::move(request), wait + Millis(3'000)).json();
}

Json Cluster::adminStatus(std::size_t instance)
{
    return call(admin(instance), {"GET", "/admin/status", {}, ""}).json();
}

Answer Cluster::putConfig(std::size_t instance, const Json &config, std::uint64_t replaces)
{
    HttpRequest request {"PUT", "/admin/config", {}, config.dump()};
    request.fields.set(Field::IF_MATCH, std::to_string(replaces));
    return call(admin(instance), std::move(request), Millis(12'000));
}

double Cluster::metric(std::size_t instance, const std::string &name)
{
    std::istringstream lines(call(admin(instance), {"GET", "/metrics", {}, ""}).body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

bool Cluster::eventually(const std::function<bool()> &condition, Millis timeout)
{
    const TimePoint until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return true;
}

std::optional<std::size_t> Cluster::waitForPlanner(Millis timeout, std::optional<std::size_t> excluding)
{
    std::optional<std::size_t> found;
    eventually(
        [&] {
            for (std::size_t i = 0; i < instances.size() && !found; ++i) {
                if (i == excluding || !instances[i]->running()) {
                    continue;
                }
                const Json status = call(admin(i), {"GET", "/admin/status", {}, ""}, Millis(500)).json();
                if (status.is_object() && status["planner"].value("here", false)) {
                    found = i;
                }
            }
            return found.has_value();
        },
        timeout);
    return found;
}

std::string Cluster::waitForJobEnd(std::size_t instance, const std::string &job, Millis timeout)
{
    std::string state;
    eventually(
        [&] {
            const Json status = jobStatus(instance, job, Millis(500));
            state = status.is_object() ? status.value("state", "") : "";
            return state == "succeeded" || state == "failed" || state == "cancelled";
        },
        timeout);
    return state;
}

std::size_t Cluster::runsOfBody(const std::string &body) const
{
    std::size_t count = 0;
    for (const auto &minion : minions) {
        for (const Standins::MinionRun &run : minion->runs()) {
            count += run.body == body ? 1U : 0U;
        }
    }
    return count;
}

std::size_t Cluster::runsOfRequest(const std::string &request) const
{
    std::size_t count = 0;
    for (const auto &minion : minions) {
        for (const Standins::MinionRun &run : minion->runs()) {
            count += run.request == request ? 1U : 0U;
        }
    }
    return count;
}

Json sampleConfig()
{
    return Json::parse(R"({
        "teams": {
            "bookings": {"guarantees": [{"slots": 8}]},
            "archive": {}
        },
        "templates": {
            "phone-check": {"team": "bookings", "kind": "request", "urgency": "urgent", "idempotent": true, "deadlineMs": 2000},
            "book-table": {"team": "bookings", "kind": "request", "urgency": "normal", "idempotent": false, "deadlineMs": 4000},
            "matching": {"team": "archive", "kind": "request", "urgency": "background", "idempotent": true, "deadlineMs": 5000},
            "route-plan": {"team": "bookings", "kind": "job", "urgency": "normal", "restart": "checkpoint",
                "shape": {"parts": 2, "gpus": 8, "cores": 16, "memoryMb": 16000, "adjacent": "rack"}, "runMs": 60000,
                "parameters": {"depot": "string"}},
            "urgent-plan": {"team": "bookings", "kind": "job", "urgency": "urgent", "restart": "scratch",
                "shape": {"parts": 2, "gpus": 4, "adjacent": "rack"}, "runMs": 60000},
            "small-study": {"team": "bookings", "kind": "job", "urgency": "background", "restart": "scratch",
                "shape": {"parts": 1, "gpus": 1}, "runMs": 60000},
            "once-only": {"team": "bookings", "kind": "job", "urgency": "normal", "restart": "never",
                "shape": {"parts": 2, "gpus": 4, "adjacent": "rack"}, "runMs": 60000},
            "too-large": {"team": "bookings", "kind": "job", "shape": {"parts": 1, "gpus": 64}, "runMs": 1000}
        }
    })");
}

} // namespace Papaya::Testing
