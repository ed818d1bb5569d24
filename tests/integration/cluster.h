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

// Runs a small cluster for tests: the instances are separate processes; the log, the host list, the minions and the
// workers are stand-ins within the test's process, with optional fault proxies between them and the instances.

namespace Papaya::Testing
{

using Json = nlohmann::json;

/** A papayahalld process, which the destructor kills if it still runs. */
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
    /** Sends SIGKILL and waits until the process has ended. */
    void kill();
    /**
     * Waits until the process has ended.
     * @return its exit code, 128 plus the signal number if a signal ended it, or nothing on a time-out
     */
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

/** An HTTP response and its response time; the status is 0 if the call failed. */
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
 * @return a loopback address with a free port below the ephemeral range. Each shard of a test run has a port range of
 * its own, since the port of a stopped instance must still be free when the instance restarts.
 */
Endpoint freeEndpoint(Asio::io_context &io);

/** Sends a request over a new connection, so that it is never sent again after a failure. */
Asio::awaitable<Answer> exchange(HttpPool &pool, Endpoint endpoint, HttpRequest request, Millis timeout);

/** Sizes, fault proxies and settings of a cluster. */
struct ClusterOptions {
    std::size_t instances = 2;
    std::size_t minions = 3;
    std::size_t workers = 2;
    std::uint32_t slots = 8;
    Resources workerCapacity {64, 128'000, 8};
    std::size_t workersPerRack = 6;
    bool proxyLog = false;          ///< put a proxy between each instance and the log
    bool proxyHosts = false;        ///< put a proxy between each instance and the host list
    bool proxyMinions = false;      ///< put a proxy in front of each minion
    bool proxyPeers = false;        ///< put a proxy in front of each instance's peer listener
    bool ownHostLists = false;      ///< give each instance its own host list, in which a host may have another address
    Json settings = Json::object(); ///< merged into each instance's settings
    std::string program {};         ///< path of the server; that of this build if empty
};

/** Instances and the stand-ins around them. */
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
    /** Sends all requests concurrently and waits for their answers, which have the order of the requests. */
    std::vector<Answer> callAll(const std::vector<std::pair<Endpoint, HttpRequest>> &requests, Millis timeout);

    void setMinionFaults(const Standins::MinionFaults &faults);
    void setWorkerFaults(const Standins::WorkerFaults &faults);

    /** Sends a request of a template to an instance, as the team "bookings". */
    Answer request(std::size_t instance, const std::string &templateName, const std::string &body,
                   const std::string &key = "", Millis timeout = Millis(5'000));
    Answer submitJob(std::size_t instance, const std::string &templateName, const Json &parameters,
                     const std::string &key = "");
    Json jobStatus(std::size_t instance, const std::string &job, Millis wait = Millis(0));
    Json adminStatus(std::size_t instance);
    Answer putConfig(std::size_t instance, const Json &config, std::uint64_t replaces);
    /** @return the value of the metric @p name at the instance; 0 if it is absent. */
    double metric(std::size_t instance, const std::string &name);

    /** Polls until @p condition holds. @return true if it did within @p timeout */
    static bool eventually(const std::function<bool()> &condition, Millis timeout = Millis(10'000));
    /** Waits until an instance other than @p excluding is the planner. @return its index, or nothing on a time-out */
    std::optional<std::size_t> waitForPlanner(Millis timeout = Millis(10'000),
                                              std::optional<std::size_t> excluding = {});
    /** Waits until a job has ended. @return its last known state, also on a time-out */
    std::string waitForJobEnd(std::size_t instance, const std::string &job, Millis timeout = Millis(15'000));

    /** @return the number of runs with this body that minions have begun. */
    std::size_t runsOfBody(const std::string &body) const;
    /** @return the number of runs of this request id that minions have begun. */
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
    [[nodiscard]] Endpoint peers(std::size_t instance) const
    {
        return m_peers[instance];
    }

    Asio::io_context io;
    Standins::LogStandin log;
    Standins::HostsStandin hosts;
    std::vector<std::unique_ptr<Standins::HostsStandin>> hostLists; ///< one per instance, with ownHostLists
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

/** @return a configuration with two teams and their request and job templates. */
Json sampleConfig();

} // namespace Papaya::Testing
