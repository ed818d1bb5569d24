#pragma once

#include "cluster.h"
#include "standins/faultproxy.h"
#include "standins/platformminionstandin.h"
#include "standins/platformservicestandins.h"
#include "standins/platformstorestandin.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Runs the nodes that schedule jobs of steps as separate processes with the platform adapter, against stand-ins for the
// services of the users' platform.

namespace Papaya::Testing
{

/** Number of nodes and minions of a deployment, and its time settings. */
struct DeploymentOptions {
    std::size_t nodes = 2;
    std::size_t minions = 3;
    std::size_t minionsPerRack = 6;
    std::int64_t keepEndedMs = 120'000; ///< retention period of ended jobs
    std::int64_t maintenanceMs = 300;   ///< duration of a machine's maintenance
    bool storeProxies = false;          ///< each node reaches the store through a proxy of its own
    bool minionProxies = false;         ///< all nodes reach each minion through a proxy of its own
    bool printLogs = true;              ///< prints the nodes' logs if the test has failed
    std::vector<double> cores = {};     ///< CPU limit of each node; those beyond the list have one core
};

/** Resources that a task of a test requests. */
struct TaskShape {
    std::int64_t cpu = 1'000;
    std::int64_t memoryMb = 1'000;
    std::int64_t gpus = 0;
};

/** A deployment whose queues "urgent", "plan" and "batch" have the priorities 0, 1 and 2. */
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Writes the configuration, starts all nodes and waits until every node is ready and one is the leader. */
    void start();
    void startNode(std::size_t index);
    /**
     * Writes the next version of the configuration to the store.
     * @param change edits the configuration before it is written
     * @return the version
     */
    std::uint64_t configure(const std::function<void(Json &)> &change = {});

    /** Adds the queue "advised", whose minions require tickets of the admission oracle, valid for @p validMs. */
    void addAdvisedQueue(std::int64_t validMs);
    /** @return a job id that is unique within the deployment. */
    std::string newId();
    /**
     * Submits a job.
     * @param steps one step or an array of steps
     * @param taskSpec passed to each task as its specification
     * @param extraFields merged into the job
     */
    Answer submit(std::size_t node, const std::string &queue, const std::string &id, const Json &steps,
                  const Json &taskSpec = {{"workMs", 100}}, const Json &extraFields = Json::object());
    /** @param timeLeft how long the caller says that it will wait */
    Answer call(std::size_t node, const std::string &method, const std::string &queue, const std::string &id,
                const std::string &body = "", const std::string &key = "key-a", Millis timeout = Millis(4'000),
                Millis timeLeft = Millis(3'000));
    /** Calls the operator interface of a node. */
    Answer callOperatorApi(std::size_t node, const std::string &method, const std::string &target,
                           const std::string &body = "", const std::string &key = "key-a");
    /** @return the state of the job as @p node reports it; empty if the node does not answer with status 200. */
    std::string state(std::size_t node, const std::string &queue, const std::string &id);
    /** Waits until @p node reports the state. @return true if it did within @p timeout */
    bool waitForState(const std::string &queue, const std::string &id, const std::string &state,
                      Millis timeout = Millis(8'000), std::size_t node = 0);
    [[nodiscard]] bool ready(std::size_t node);
    /** @return the index of the leader according to the newest heartbeat in the journal; none if it has resigned. */
    std::optional<std::size_t> leader();
    /** @return the listener of the node for callers. */
    [[nodiscard]] Endpoint callers(std::size_t node) const
    {
        return m_callers[node];
    }
    /** @return the listener of the node for the readiness probe and operators. */
    [[nodiscard]] Endpoint operators(std::size_t node) const
    {
        return m_operatorEndpoints[node];
    }
    /** @return the listener of the node for other nodes. */
    [[nodiscard]] Endpoint peers(std::size_t node) const
    {
        return m_peers[node];
    }
    /** @return the settings file of the node. */
    [[nodiscard]] std::string settingsPath(std::size_t node) const;
    /** @return the log output of the node. */
    [[nodiscard]] std::string log(std::size_t node) const;
    Standins::PlatformMinionStandin &minion(const std::string &id);
    /** Waits until exactly @p count runs of job @p id are in progress. @return false on a time-out */
    bool waitForRunCount(const std::string &id, std::size_t count);
    /** @return the number of runs of job @p id that completed. */
    std::size_t doneRuns(const std::string &id);

    static Json step(std::uint32_t count, const TaskShape &shape = {}, const Json &extraFields = Json::object());

    Asio::io_context io;
    Standins::PlatformStoreStandin store;
    Standins::PlatformRuns runs;
    Standins::PlatformOracleStandin oracle;
    Standins::PlatformMachinesStandin machines;
    std::vector<std::unique_ptr<Standins::PlatformMinionStandin>> minions;
    std::vector<std::unique_ptr<InstanceProcess>> nodes;
    std::vector<std::unique_ptr<Standins::FaultProxy>> storeProxies;  ///< of each node, if there are any
    std::vector<std::unique_ptr<Standins::FaultProxy>> minionProxies; ///< of each minion, if there are any

private:
    DeploymentOptions m_options;
    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    HttpPool m_pool;
    std::string m_directory;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_operatorEndpoints;
    std::vector<Endpoint> m_peers;
    Json m_config;
    std::uint64_t m_version = 0;
    std::atomic<unsigned> m_lastId = 0;
};

} // namespace Papaya::Testing
