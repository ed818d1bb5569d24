#pragma once

#include "cluster.h"
#include "standins/platformminionstandin.h"
#include "standins/platformservicestandins.h"
#include "standins/platformstorestandin.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Nodes that schedule jobs of steps, as real processes with the adapter, against a stand-in of the users' platform.

namespace Papaya::Testing
{

/** Sizes of a deployment. */
struct DeploymentOptions {
    std::size_t nodes = 2;
    std::size_t minions = 3;
    std::size_t minionsPerRack = 6;
    std::int64_t keepEndedMs = 120'000;
    std::int64_t maintenanceMs = 300; ///< how long a machine is down
};

/** What a test's task asks for. */
struct TaskShape {
    std::int64_t cpu = 1'000;
    std::int64_t memoryMb = 1'000;
    std::int64_t gpus = 0;
};

/** The deployment; its queues are "urgent", "plan" and "batch" with priorities 0, 1 and 2. */
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Writes the configuration, starts everything and waits until all nodes are ready and one leads. */
    void start();
    void startNode(std::size_t index);
    /** Writes the next version of the configuration; @p change edits it. */
    std::uint64_t configure(const std::function<void(Json &)> &change = {});

    /** Adds the queue "advised", whose minions ask for tickets that are good for @p validMs. */
    void addAdvisedQueue(std::int64_t validMs);
    /** @return a job id that no other call has returned. */
    std::string newId();
    /** Hands a job of @p steps in; the tasks are given @p taskSpec as their specification. */
    Answer submit(std::size_t node, const std::string &queue, const std::string &id, const Json &steps,
                  const Json &taskSpec = {{"workMs", 100}}, const Json &extraFields = Json::object());
    Answer call(std::size_t node, const std::string &method, const std::string &queue, const std::string &id,
                const std::string &body = "", const std::string &key = "key-a", Millis timeout = Millis(4'000));
    /** Calls the product's own interface of a node. */
    Answer callOperatorApi(std::size_t node, const std::string &method, const std::string &target,
                           const std::string &body = "", const std::string &key = "key-a");
    /** @return the job's state at @p node; empty if it gives none. */
    std::string state(std::size_t node, const std::string &queue, const std::string &id);
    /** Waits for a state. @return whether it came within @p timeout */
    bool waitForState(const std::string &queue, const std::string &id, const std::string &state,
                      Millis timeout = Millis(8'000), std::size_t node = 0);
    [[nodiscard]] bool ready(std::size_t node);
    /** @return the index of the node that leads, by the journal. */
    std::optional<std::size_t> leader();
    /** @return the text that the node has logged. */
    [[nodiscard]] std::string log(std::size_t node) const;
    Standins::PlatformMinionStandin &minion(const std::string &id);
    /** Waits until just @p count runs of job @p id are in progress. */
    bool running(const std::string &id, std::size_t count);
    /** @return the runs of job @p id that were done. */
    std::size_t doneRuns(const std::string &id);

    static Json step(std::uint32_t count, const TaskShape &shape = {}, const Json &extraFields = Json::object());

    Asio::io_context io;
    Standins::PlatformStoreStandin store;
    Standins::PlatformRuns runs;
    Standins::PlatformOracleStandin oracle;
    Standins::PlatformMachinesStandin machines;
    std::vector<std::unique_ptr<Standins::PlatformMinionStandin>> minions;
    std::vector<std::unique_ptr<InstanceProcess>> nodes;

private:
    DeploymentOptions m_options;
    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    HttpPool m_pool;
    std::string m_directory;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_operatorEndpoints;
    Json m_config;
    std::uint64_t m_version = 0;
    unsigned m_lastId = 0;
};

} // namespace Papaya::Testing
