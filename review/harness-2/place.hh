#pragma once

#include "standins/faultproxy.h"
#include "standins/platformminionstandin.h"
#include "standins/platformstorestandin.h"

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

// A small deployment on loopback addresses: the project's server as separate processes, with the command of the deploy
// file, against stand-ins of the platform. All that clients, servers and the platform see is written to a record.

namespace Review
{

using Papaya::Endpoint;
using Papaya::HttpRequest;
using Papaya::HttpResponse;
using Papaya::Millis;
using Papaya::Standins::Json;
using Papaya::Standins::TaskRun;
namespace Asio = boost::asio;
namespace Standins = Papaya::Standins;

/** The case could not run: the exit code is 2. */
struct CannotRun : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** Everything that was sent, answered and run, with milliseconds since the start of the case. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] std::int64_t sinceStart(std::int64_t unixMs) const
    {
        return unixMs - m_startMs;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_startMs;
};

/** A minion of the platform, which lists its ends in parts. */
class Minion : public Standins::PlatformMinionStandin
{
public:
    Minion(std::string id, std::string service, std::string rack, Standins::PlatformRuns &runs, Record &record)
        : PlatformMinionStandin(id, std::move(service), std::move(rack), runs)
        , m_record(record)
        , m_name(std::move(id))
    {
    }
    std::atomic<bool> gone {false}; ///< crashed for good: no entry, no heartbeat
    /** @return the largest number of calls in progress at one time. */
    [[nodiscard]] int mostAtOnce() const
    {
        return m_most;
    }
    static constexpr std::ptrdiff_t ENDS_AT_A_TIME = 500; // "The others are returned again (500 at a time)."

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;

private:
    Record &m_record;
    std::string m_name;
    std::shared_ptr<std::atomic<int>> m_calls = std::make_shared<std::atomic<int>>(0); ///< in progress
    std::atomic<int> m_most {0};
};

/** The platform's control of machines. A machine is named "m-" and the id of its minion. */
class Cloud : public Standins::StandinServer
{
public:
    explicit Cloud(Record &record)
        : m_record(record)
    {
    }
    void start(Asio::io_context &io, Millis maintenance);
    void add(Minion &minion);

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Machine {
        Minion *minion = nullptr;
        std::string state = "up";
        std::vector<std::uint64_t> waves;
    };
    HttpResponse upkeep(const HttpRequest &request);
    static Asio::awaitable<void> finish(Cloud &self, std::string machine);

    Record &m_record;
    mutable std::mutex m_mutex;
    Asio::io_context *m_io = nullptr;
    Millis m_maintenance {2'000};
    std::map<std::string, Machine> m_machines;
};

/** The advice on which minions may run a step. It handles one call at a time for all nodes. */
class Advice : public Standins::StandinServer
{
public:
    explicit Advice(Record &record)
        : m_record(record)
    {
    }
    static constexpr std::int64_t DECISION_MS = 100; // decisionMs
    static constexpr std::int64_t PERIOD_MS = 5;     // periodMs, for each minion named
    static constexpr std::int64_t VALID_MS = 3'000;  // validMs
    /** Lets the steps of @p job run on @p minions only; those of other jobs run anywhere. */
    void allow(const std::string &job, std::set<std::string> minions);

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_allowed;
    std::int64_t m_freeAtMs = 0; ///< when the calls so far will have been answered
};

/** The platform's store, with its limits on the size of a record and of a call. */
class Store : public Standins::PlatformStoreStandin
{
public:
    explicit Store(Review::Record &record)
        : m_record(record)
    {
    }
    static constexpr std::size_t RECORD_BYTES = 262'144; // recordBytes
    static constexpr std::size_t CALL_BYTES = 2'097'152; // callBytes
    [[nodiscard]] std::size_t refusedForSize() const
    {
        return m_refused;
    }

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;

private:
    Review::Record &m_record;
    std::atomic<std::size_t> m_refused {0};
};

/** A server process. */
class Node
{
public:
    Node(std::string settings, std::string log)
        : m_settings(std::move(settings))
        , m_log(std::move(log))
    {
    }
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    void start();
    void signal(int number) const;
    /** Sends SIGKILL and waits for the end. */
    void kill();
    [[nodiscard]] bool running() const
    {
        return m_pid > 0;
    }

private:
    std::string m_settings;
    std::string m_log;
    int m_pid = -1;
};

struct Answer {
    int status = 0; ///< 0: no answer
    std::string body;
};

struct Options {
    std::size_t nodes = 3;
    std::size_t minions = 12;
    std::size_t minionsPerRack = 6;
    bool advice = false;                 ///< the nodes are told where to ask for advice
    std::vector<std::string> racks = {}; ///< rack of each minion; by minionsPerRack where the list ends
};

class Place
{
public:
    Place(const std::string &recordPath, Options options);
    ~Place();
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    /** Writes the configuration, starts all nodes and waits until they are ready and one leads. */
    void start(const Json &config);
    void put(const std::string &topic, const std::string &key, const Json &value);
    Answer call(std::size_t node, const std::string &method, const std::string &path, const std::string &body = "",
                const std::string &key = "key-a");
    Answer submit(std::size_t node, const std::string &queue, const std::string &id, const Json &job,
                  const std::string &key = "key-a");
    bool ready(std::size_t node);
    /** @return the node that leads by the newest announcement in the journal, or -1. */
    int leader() const;
    bool eventually(const std::function<bool()> &condition, Millis timeout);
    /** The minion of @p id loses power for good, silently; its entry goes after three heartbeats. */
    void crash(const std::string &id);
    Minion &minion(const std::string &id);
    /** Writes every run to the record. */
    void recordRuns();
    std::int64_t now() const;

    Record record;
    Asio::io_context io;
    Store store;
    Standins::PlatformRuns runs;
    Cloud cloud;
    Advice advice;
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<std::unique_ptr<Standins::FaultProxy>> links; ///< to each minion
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Endpoint> fronts;
    std::vector<Endpoint> readies;
    static constexpr std::int64_t HEARTBEAT_MS = 1'500;

private:
    Endpoint freeEndpoint();
    Asio::awaitable<Answer> exchange(Endpoint endpoint, HttpRequest request, Millis timeout);

    Asio::executor_work_guard<Asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
    std::thread m_heartbeats;
    std::atomic<bool> m_ending {false};
    std::string m_directory;
};

/** @return a queue of the service "desk". */
Json queue(const std::string &name, int priority);
/** @return a configuration with @p queues and one tenant, whose key is "key-a". */
Json configuration(const std::vector<Json> &queues, std::int64_t guaranteedGpus);
/** @return false if the environment says TROUBLE=0. */
bool trouble();
/** Runs @p body and turns what it returns into the exit code: 0 if the rule held, 1 if it was broken, 2 otherwise. */
int runCase(int argc, char **argv, const std::function<bool(const std::string &recordPath)> &body);

} // namespace Review
