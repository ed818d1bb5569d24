#pragma once

#include "standins/faultproxy.h"
#include "standins/hostsstandin.h"
#include "standins/logstandin.h"
#include "standins/minionstandin.h"
#include "standins/workerstandin.h"

#include <boost/asio/executor_work_guard.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// A small cluster for tests: instances as real processes, everything around them as stand-ins in the test's own
// process, and a fault proxy wherever a test asks for one.

namespace Papaya::Testing
{

using Json = nlohmann::json;

/** A papayahalld process; killed at the latest when it goes out of scope. */
class InstanceProcess
{
public:
    InstanceProcess(std::string program, std::string settingsPath, std::string logPath,
                    std::vector<std::string> options = {});
    ~InstanceProcess();
    InstanceProcess(const InstanceProcess &) = delete;
    InstanceProcess &operator=(const InstanceProcess &) = delete;

    void start();
    void signal(int number) const;
    /** Kills the process and waits for its end. */
    void kill();
    /** Waits for the end. @return the exit code, or nothing if it still runs at the limit */
    std::optional<int> waitForExit(Millis timeout);
    [[nodiscard]] bool running() const
    {
        return m_pid > 0;
    }
    [[nodiscard]] int pid() const
    {
        return m_pid;
    }

private:
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    std::vector<std::string> m_options;
    int m_pid = -1;
};

/** An answer to a test's call; a status of 0 says that there was none. */
struct Answer {
    int status = 0;
    HttpFields fields;
    std::string body;
    Duration time {0};

    [[nodiscard]] Json json() const;
    [[nodiscard]] std::string outcome() const
    {
        return fields.get(Field::OUTCOME);
    }
    [[nodiscard]] std::string reason() const
    {
        return fields.get(Field::REASON);
    }
};

/**
 * @return an address whose port is free, below the range from which outgoing connections take theirs. Shards of a test
 * run take their ports from ranges of their own, since a stopped instance must find its port free when it starts again.
 */
Endpoint freeEndpoint(Asio::io_context &io);

/** Makes one call over a fresh connection, so that nothing is sent twice. */
Asio::awaitable<Answer> exchange(HttpPool &pool, Endpoint endpoint, HttpRequest request, Millis timeout);

/** Sizes and proxies of a cluster. */
struct ClusterOptions {
    std::size_t instances = 2;
    std::size_t minions = 3;
    std::size_t workers = 2;
    std::uint32_t slots = 8;
    Resources workerCapacity {64, 128'000, 8};
    std::size_t workersPerRack = 6;
    bool proxyLog = false;          ///< a proxy between each instance and the log
    bool proxyHosts = false;        ///< a proxy between each instance and the host list
    bool proxyMinions = false;      ///< one proxy in front of each minion
    bool proxyPeers = false;        ///< a proxy in front of each instance's peer listener
    bool ownHostLists = false;      ///< a host list for each instance, which may show it another address of a host
    Json settings = Json::object(); ///< merged into each instance's settings
    std::string program {};         ///< the server to run; that of this build if empty
};

/** The cluster. */
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /** Starts every instance, applies @p config and waits until all are ready. */
    void start(const Json &config);
    void startInstance(std::size_t index);

    Answer call(const Endpoint &endpoint, HttpRequest request, Millis timeout = Millis(5'000));
    /** Sends all requests at once. */
    std::vector<Answer> callAll(const std::vector<std::pair<Endpoint, HttpRequest>> &requests, Millis timeout);

    void setMinionFaults(const Standins::MinionFaults &faults);
    void setWorkerFaults(const Standins::WorkerFaults &faults);

    /** Sends a request of a template to an instance. */
    Answer request(std::size_t instance, const std::string &templateName, const std::string &body,
                   const std::string &key = "", Millis timeout = Millis(5'000));
    Answer submitJob(std::size_t instance, const std::string &templateName, const Json &parameters,
                     const std::string &key = "");
    Json jobStatus(std::size_t instance, const std::string &job, Millis wait = Millis(0));
    Json adminStatus(std::size_t instance);
    Answer putConfig(std::size_t instance, const Json &config, std::uint64_t replaces);
    /** @return the value of a line of /metrics that begins with @p name; 0 if there is none. */
    double metric(std::size_t instance, const std::string &name);

    /** Polls until @p condition holds. @return whether it did within the limit */
    static bool eventually(const std::function<bool()> &condition, Millis timeout = Millis(10'000));
    /** @return the index of the instance that plans, waiting for one; @p excluding is passed over. */
    std::optional<std::size_t> waitForPlanner(Millis timeout = Millis(10'000),
                                              std::optional<std::size_t> excluding = {});
    /** Waits until a job has ended. @return its last state */
    std::string waitForJobEnd(std::size_t instance, const std::string &job, Millis timeout = Millis(15'000));

    /** @return how often a minion began a run with this body. */
    std::size_t runsOfBody(const std::string &body) const;
    /** @return how often minions began a run of this request id. */
    std::size_t runsOfRequest(const std::string &request) const;

    static Host hostOf(const Standins::MinionStandin &minion, const Endpoint &address);
    Host hostOf(const Standins::WorkerStandin &worker, std::size_t index) const;

    [[nodiscard]] Endpoint callers(std::size_t instance) const
    {
        return m_callers[instance];
    }
    [[nodiscard]] Endpoint admin(std::size_t instance) const
    {
        return m_admin[instance];
    }

    Asio::io_context io;
    Standins::LogStandin log;
    Standins::HostsStandin hosts;
    std::vector<std::unique_ptr<Standins::HostsStandin>> hostLists; ///< by instance, if each has its own
    std::vector<std::unique_ptr<Standins::MinionStandin>> minions;
    std::vector<std::unique_ptr<Standins::WorkerStandin>> workers;
    std::vector<std::unique_ptr<InstanceProcess>> instances;
    std::vector<std::unique_ptr<Standins::FaultProxy>> logProxies;
    std::vector<std::unique_ptr<Standins::FaultProxy>> hostsProxies;
    std::vector<std::unique_ptr<Standins::FaultProxy>> minionProxies;
    std::vector<std::unique_ptr<Standins::FaultProxy>> peerProxies;

private:
    void makeInstance(std::size_t index);
    void listHost(const Host &host);

    ClusterOptions m_options;
    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    HttpPool m_pool;
    std::string m_directory;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_admin;
    std::vector<Endpoint> m_peers;
};

/** @return a configuration with teams, request templates and job templates for tests. */
Json sampleConfig();

} // namespace Papaya::Testing
