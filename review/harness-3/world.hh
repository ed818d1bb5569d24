#pragma once

#include "standins/faultproxy.h"
#include "standins/platformminionstandin.h"
#include "standins/platformservicestandins.h"
#include "standins/platformstorestandin.h"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// A small deployment for the scripts of the review: the server of the deploy file as separate processes, and the
// project's stand-ins of the platform within the program of the case. All addresses are loopback addresses.

namespace Review
{

using namespace Papaya;
using Json = nlohmann::json;
using Standins::nowMs;

/** @return false if the variable TROUBLE is 0: the case then runs without its disruption. */
bool trouble();

/** Writes lines with the time since the start to record.txt and to standard output. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::string m_path;
    std::int64_t m_beganMs;
};

/** The store of the platform, which takes 4 ms for an answer and tells of appends. */
class Store : public Standins::PlatformStoreStandin
{
public:
    /** Called with the body of an append to the journal after it was stored, before its answer leaves. */
    std::function<void(const std::string &body)> onStored;

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
};

/** A server process, started as the deploy file says. */
class Process
{
public:
    Process(std::string settingsPath, std::string logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void start();
    void signal(int number) const;
    void kill();
    [[nodiscard]] bool running() const
    {
        return m_pid > 0;
    }
    /** @return true if it has ended by itself. */
    bool hasEnded();

private:
    std::string m_settingsPath;
    std::string m_logPath;
    int m_pid = -1;
};

struct Reply {
    int status = 0; ///< 0 without an answer
    std::string body;
};

struct Options {
    std::vector<std::string> nodes = {"front-a-1", "front-b-1"};
    std::size_t minions = 6;
    std::int64_t maintenanceMs = 2'000;
};

class World
{
public:
    World(Options options, Record &record);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /** Writes the next version of the configuration to the store. */
    void configure();
    /** @return the route of a queue as an operator configures it. */
    static Json queue(const std::string &name, int priority);
    /** Starts all processes. @return true once all are ready and one leads */
    bool start();
    bool ready(std::size_t node);
    Reply call(std::size_t node, const std::string &method, const std::string &target, const std::string &body = "");
    Reply submit(std::size_t node, const std::string &queue, const std::string &id, const Json &steps,
                 const Json &taskSpec);
    /** @return the index of the node that leads by the newest record of the journal. */
    std::optional<std::size_t> leader();
    /** Cuts a minion off for good, as if its machine had lost power: silent at once, its entry goes three beats later. */
    void losePower(std::size_t minion);
    /** Cuts the links between a minion and all nodes, or mends them. The minion works on and its entry stays. */
    void setCut(std::size_t minion, bool cut);
    static bool eventually(const std::function<bool()> &condition, std::int64_t timeoutMs);
    static std::string id(unsigned number);

    Json config;
    Asio::io_context io;
    Store store;
    Standins::PlatformRuns runs;
    Standins::PlatformOracleStandin oracle;
    Standins::PlatformMachinesStandin machines;
    std::vector<std::unique_ptr<Standins::PlatformMinionStandin>> minions;
    std::vector<std::unique_ptr<Standins::FaultProxy>> links;
    std::vector<std::unique_ptr<Process>> nodes;

private:
    void beat();

    Options m_options;
    Record &m_record;
    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    std::thread m_beats;
    std::atomic<bool> m_ending {false};
    std::mutex m_mutex;
    std::vector<std::int64_t> m_lostMs; ///< when each minion has lost power; 0 if it has not
    HttpPool m_pool;
    std::string m_directory;
    int m_version = 0;
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_ready;
};

} // namespace Review
