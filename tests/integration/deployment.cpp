#include "deployment.h"

#include "steps/jobrecord.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Papaya::Testing
{

namespace
{

constexpr unsigned THREADS = 2;
constexpr Millis READY_TIMEOUT {10'000};
constexpr std::int64_t DRAIN_LIMIT_MS = 4'000;

Json queueConfig(const std::string &name, int priority)
{
    return {{"name", name},      {"host", "jobs.example"},    {"pathPrefix", "/" + name + "/"},
            {"service", "desk"}, {"priority", priority},      {"attempts", 2},
            {"stretch", 3.0},    {"targetDurationMs", 1'000}, {"authExempt", false},
            {"timeoutMs", 3'000}};
}

Json initialConfig()
{
    return {{"routes", {queueConfig("urgent", 0), queueConfig("plan", 1), queueConfig("batch", 2)}},
            {"services", {{{"name", "desk"}, {"admissionCheck", true}}}},
            {"tenants",
             {{{"name", "a"}, {"apiKeys", {"key-a"}}, {"guaranteed", {{"gpu", 8}}}},
              {{"name", "b"}, {"apiKeys", {"key-b"}}}}}};
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_work(io.get_executor())
    , m_pool(io)
    , m_config(initialConfig())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "papayahall-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    for (unsigned i = 0; i < THREADS; ++i) {
        m_threads.emplace_back([this] { io.run(); });
    }
    store.listen(io, {"127.0.0.1", 0});
    oracle.listen(io, {"127.0.0.1", 0});
    machines.start(io, Millis(m_options.maintenanceMs));
    for (std::size_t i = 0; i < m_options.minions; ++i) {
        const std::string rack = "r" + std::to_string(i / m_options.minionsPerRack);
        minions.push_back(
            std::make_unique<Standins::PlatformMinionStandin>("i-" + std::to_string(i), "desk", rack, runs));
        minions.back()->start(io, store);
        if (m_options.minionProxies) {
            minionProxies.push_back(Standins::FaultProxy::create(io, {"127.0.0.1", 0}, minions.back()->address()));
            minions.back()->advertise(minionProxies.back()->address());
            minions.back()->list();
        }
        machines.add(*minions.back());
    }
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        m_callers.push_back(freeEndpoint(io));
        m_operatorEndpoints.push_back(freeEndpoint(io));
        m_peers.push_back(freeEndpoint(io));
        const std::string base = m_directory + "/node-" + std::to_string(i);
        Endpoint storeAddress = store.address();
        if (m_options.storeProxies) {
            storeProxies.push_back(Standins::FaultProxy::create(io, {"127.0.0.1", 0}, storeAddress));
            storeAddress = storeProxies.back()->address();
        }
        Json settings = {{"node", "node-" + std::to_string(i)},   {"place", "here"},
                         {"callers", m_callers[i].toString()},    {"ready", m_operatorEndpoints[i].toString()},
                         {"store", storeAddress.toString()},      {"drainLimitMs", DRAIN_LIMIT_MS},
                         {"peers", m_peers[i].toString()},        {"keepEndedMs", m_options.keepEndedMs},
                         {"oracle", oracle.address().toString()}, {"machines", machines.address().toString()}};
        if (i < m_options.cores.size()) {
            settings["cores"] = m_options.cores[i];
        }
        std::ofstream(settingsPath(i)) << settings.dump(2);
        nodes.push_back(std::make_unique<InstanceProcess>("", settingsPath(i), base + ".log",
                                                          std::vector<std::string> {"--platform"}));
    }
}

Deployment::~Deployment()
{
    for (auto &node : nodes) {
        node->kill();
    }
    if (::testing::Test::HasFailure() && m_options.printLogs) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            std::printf("--- log of node %zu\n%s\n", i, log(i).c_str());
        }
    }
    m_work.reset();
    io.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    std::filesystem::remove_all(m_directory);
}

void Deployment::start()
{
    configure();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        startNode(i);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        ASSERT_TRUE(Cluster::eventually([&] { return ready(i); }, READY_TIMEOUT)) << "node " << i;
    }
    ASSERT_TRUE(Cluster::eventually([&] { return leader().has_value(); }, READY_TIMEOUT));
}

void Deployment::startNode(std::size_t index)
{
    nodes[index]->start();
}

std::uint64_t Deployment::configure(const std::function<void(Json &)> &change)
{
    if (change) {
        change(m_config);
    }
    m_version += 3; // versions need not be consecutive
    m_config["version"] = m_version;
    store.put("keyed.op", "config", m_config.dump());
    return m_version;
}

void Deployment::addAdvisedQueue(std::int64_t validMs)
{
    oracle.setValidity(validMs);
    configure([](Json &config) {
        Json queue = queueConfig("advised", 2);
        queue["advice"] = {{"decisionMs", 20}, {"periodMs", 1}, {"validMs", 0}};
        config["routes"].push_back(queue);
    });
    for (auto &minion : minions) {
        minion->requireTickets(oracle);
    }
}

std::string Deployment::newId()
{
    std::ostringstream id;
    id << std::hex;
    id.width(16);
    id.fill('0');
    id << 0xabc000 + ++m_lastId;
    return id.str();
}

Json Deployment::step(std::uint32_t count, const TaskShape &shape, const Json &extraFields)
{
    Json step = {{"count", count}, {"cpu", shape.cpu}, {"memMb", shape.memoryMb}, {"estimateMs", 500}};
    if (shape.gpus > 0) {
        step["gpu"] = shape.gpus;
    }
    step.update(extraFields);
    return step;
}

Answer Deployment::submit(std::size_t node, const std::string &queue, const std::string &id, const Json &steps,
                          const Json &taskSpec, const Json &extraFields)
{
    // A braced list that holds one step collapses to the step itself, which is wrapped in an array here.
    Json body = {{"taskSpec", taskSpec.dump()}, {"steps", steps.is_array() ? steps : Json::array({steps})}};
    body.update(extraFields);
    return call(node, "POST", queue, id, body.dump());
}

Answer Deployment::call(std::size_t node, const std::string &method, const std::string &queue, const std::string &id,
                        const std::string &body, const std::string &key, Millis timeout, Millis timeLeft)
{
    HttpRequest request {method, "/" + queue + "/" + id, {}, body};
    request.fields.set("Host", "jobs.example");
    request.fields.set("Papayahall-Key", key);
    request.fields.set("Papayahall-Deadline-Remaining", std::to_string(timeLeft.count()));
    return Asio::co_spawn(io, exchange(m_pool, m_callers[node], std::move(request), timeout), Asio::use_future).get();
}

Answer Deployment::callOperatorApi(std::size_t node, const std::string &method, const std::string &target,
                                   const std::string &body, const std::string &key)
{
    HttpRequest request {method, target, {}, body};
    request.fields.set("Authorization", "Bearer " + key);
    return Asio::co_spawn(io, exchange(m_pool, m_operatorEndpoints[node], std::move(request), Millis(4'000)),
                          Asio::use_future)
        .get();
}

std::string Deployment::state(std::size_t node, const std::string &queue, const std::string &id)
{
    const Answer answer = call(node, "GET", queue, id);
    return answer.status == 200 ? answer.json().value("state", "") : "";
}

bool Deployment::waitForState(const std::string &queue, const std::string &id, const std::string &wanted,
                              Millis timeout, std::size_t node)
{
    return Cluster::eventually([&] { return state(node, queue, id) == wanted; }, timeout);
}

bool Deployment::ready(std::size_t node)
{
    const HttpRequest request {"GET", "/-/ready", {}, {}};
    const Answer answer =
        Asio::co_spawn(io, exchange(m_pool, m_operatorEndpoints[node], request, Millis(500)), Asio::use_future).get();
    return answer.status == 200;
}

std::optional<std::size_t> Deployment::leader()
{
    const std::string value = store.newest("keyed.journal", "q");
    const auto record = decodeRecord("q", value);
    if (value.empty() || !record || std::get<PlannerAnnouncement>(*record).resigned) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::stoul(std::get<PlannerAnnouncement>(*record).node.substr(5)));
}

std::string Deployment::settingsPath(std::size_t node) const
{
    return m_directory + "/node-" + std::to_string(node) + ".json";
}

std::string Deployment::log(std::size_t node) const
{
    const std::ifstream file(m_directory + "/node-" + std::to_string(node) + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool Deployment::waitForRunCount(const std::string &id, std::size_t count)
{
    return Cluster::eventually([&] {
        const auto all = runs.of(id);
        const auto open = std::count_if(all.begin(), all.end(), [](const auto &run) { return run.endedMs == 0; });
        return static_cast<std::size_t>(open) == count;
    });
}

std::size_t Deployment::doneRuns(const std::string &id)
{
    const auto all = runs.of(id);
    const auto done = std::count_if(all.begin(), all.end(), [](const auto &run) { return run.how == "done"; });
    return static_cast<std::size_t>(done);
}

Standins::PlatformMinionStandin &Deployment::minion(const std::string &id)
{
    for (auto &minion : minions) {
        if (minion->id() == id) {
            return *minion;
        }
    }
    throw std::out_of_range(id);
}

} // namespace Papaya::Testing
