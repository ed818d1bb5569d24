#include "../integration/cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <gtest/gtest.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>

#include <unistd.h>

// Open-loop load on real processes: requests go out when they are due, and a late answer counts from when its request
// was due. Prints one line of key=value pairs for each run.

namespace Papaya::Testing
{

namespace
{

constexpr Millis SERVICE {60}; // shortest run
constexpr Millis JITTER {40};
constexpr double MEAN_SERVICE_SECONDS = 0.080;

/** One stream of requests. */
struct Stream {
    std::string name;
    std::string team;
    std::string caller;
    std::string work;
    double perSecond = 0;
    Millis deadline {800};
};

/** What came of a stream. */
struct StreamResult {
    std::vector<double> milliseconds; ///< of answers in time
    std::size_t sent = 0;
    std::size_t good = 0;
};

/** Sends streams at a cluster. */
class Load
{
public:
    Load(Cluster &cluster, std::uint64_t seed)
        : m_cluster(cluster)
        , m_pool(cluster.io)
        , m_random(seed)
    {
    }

    std::vector<StreamResult> run(const std::vector<Stream> &streams, Millis duration)
    {
        m_results.assign(streams.size(), {});
        std::vector<std::thread> threads;
        const TimePoint begin = Clock::now() + Millis(50);
        for (std::size_t i = 0; i < streams.size(); ++i) {
            threads.emplace_back([&, i, seed = m_random()] { send(streams[i], i, begin, duration, seed); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        Cluster::eventually([&] { return m_pending == 0; }, Millis(15'000));
        const std::lock_guard lock(m_mutex);
        return m_results;
    }

private:
    void send(const Stream &stream, std::size_t index, TimePoint begin, Millis duration, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(stream.perSecond);
        TimePoint due = begin;
        std::size_t count = 0;
        while (due < begin + duration) {
            due += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            std::this_thread::sleep_until(due);
            ++m_pending;
            const Endpoint entry = m_cluster.callers(count++ % m_cluster.instances.size());
            Asio::co_spawn(Asio::make_strand(m_cluster.io), one(*this, stream, index, entry, due), Asio::detached);
        }
    }

    static Asio::awaitable<void> one(Load &self, Stream stream, std::size_t index, Endpoint entry, TimePoint due)
    {
        HttpRequest request {"POST", "/v1/requests/" + stream.work, {}, "x"};
        request.fields.set(Field::TEAM, stream.team);
        request.fields.set(Field::CALLER, stream.caller);
        int status = 0;
        try {
            HttpConnectionPtr connection = co_await self.m_pool.acquire(entry, Millis(20'000), due + Millis(6'000));
            const HttpResponse response = co_await connection->exchange(request, due + Millis(6'000));
            status = response.status;
            self.m_pool.release(entry, std::move(connection));
        } catch (const HttpError &) {
            status = 0;
        }
        const Duration took = Clock::now() - due;
        {
            const std::lock_guard lock(self.m_mutex);
            StreamResult &result = self.m_results[index];
            ++result.sent;
            if (status == 200 && took <= stream.deadline) {
                ++result.good;
                result.milliseconds.push_back(std::chrono::duration<double, std::milli>(took).count());
            }
        }
        --self.m_pending;
    }

    Cluster &m_cluster;
    HttpPool m_pool;
    std::mt19937_64 m_random;
    std::mutex m_mutex;
    std::vector<StreamResult> m_results;
    std::atomic<std::size_t> m_pending {0};
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void print(const std::string &scenario, const std::string &policy, const Stream &stream, const StreamResult &result)
{
    std::cout << std::fixed << std::setprecision(3) << "scenario=" << scenario << " policy=" << policy
              << " stream=" << stream.name << " rate=" << stream.perSecond << " sent=" << result.sent << " goodput="
              << static_cast<double>(result.good) / static_cast<double>(std::max<std::size_t>(1, result.sent))
              << " p50_ms=" << quantile(result.milliseconds, 0.5) << " p99_ms=" << quantile(result.milliseconds, 0.99)
              << " p999_ms=" << quantile(result.milliseconds, 0.999) << std::endl;
}

/** Sizes of a run. */
struct Sizes {
    std::size_t instances = 7;
    std::size_t minions = 50;
    Millis duration {4'000};
    std::uint64_t seed = 1;
};

Json loadConfig(std::size_t guaranteedSlots)
{
    Json config = sampleConfig();
    config["teams"]["bookings"] = {{"guarantees", Json::array({{{"slots", guaranteedSlots}}})},
                                   {"limits", {{"inFlight", 100'000}, {"queued", 20'000}}}};
    config["teams"]["archive"] = {{"limits", {{"inFlight", 100'000}, {"queued", 20'000}}}};
    config["templates"]["phone-check"]["deadlineMs"] = 800;
    config["templates"]["urgent-flood"] = {
        {"team", "archive"}, {"kind", "request"}, {"urgency", "urgent"}, {"idempotent", true}, {"deadlineMs", 5'000}};
    return config;
}

std::unique_ptr<Cluster> makeCluster(const Sizes &sizes, const std::string &minionPolicy, const std::string &admission)
{
    ClusterOptions options;
    options.instances = sizes.instances;
    options.minions = sizes.minions;
    options.workers = 0;
    options.settings = {{"minionPolicy", minionPolicy}, {"admissionPolicy", admission}, {"logLevel", "warning"}};
    auto cluster = std::make_unique<Cluster>(options);
    cluster->start(loadConfig(sizes.minions * options.slots * 4 / 10));
    Standins::MinionFaults faults;
    faults.delayMs = SERVICE.count();
    faults.jitterMs = JITTER.count();
    for (const auto &minion : cluster->minions) {
        minion->setFaults(faults);
    }
    return cluster;
}

/** @return requests a second that take this share of all slots. */
double rateFor(const Sizes &sizes, double share)
{
    return share * static_cast<double>(sizes.minions) * 8 / MEAN_SERVICE_SECONDS;
}

void choiceScenario(const Sizes &sizes)
{
    for (const std::string policy : {"random", "round-robin", "home"}) {
        const auto cluster = makeCluster(sizes, policy, "fair");
        Load load(*cluster, sizes.seed);
        load.run({{"warm-up", "bookings", "c", "phone-check", rateFor(sizes, 0.3)}}, Millis(1'500));
        for (const double share : {0.3, 0.7, 0.95}) {
            const Stream stream {"phone-check", "bookings", "c", "phone-check", rateFor(sizes, share)};
            print("choice-" + std::to_string(static_cast<int>(share * 100)), policy, stream,
                  load.run({stream}, sizes.duration)[0]);
        }
    }
}

void floodScenario(const Sizes &sizes, const std::string &flood)
{
    for (const std::string policy : {"fifo", "fair"}) {
        const auto cluster = makeCluster(sizes, "home", policy);
        Load load(*cluster, sizes.seed);
        const Stream own {"phone-check", "bookings", "c", "phone-check", rateFor(sizes, 0.3)};
        const Stream flooding {"flood", "archive", "f", flood, rateFor(sizes, 1.0), Millis(5'000)};
        load.run({own}, Millis(1'500));
        const StreamResult without = load.run({own}, sizes.duration)[0];
        print("flood-" + flood + "-without", policy, own, without);
        // Ten times what the flooding team's work takes in an ordinary hour, a tenth of all slots.
        const auto with = load.run({own, flooding}, sizes.duration);
        print("flood-" + flood + "-with", policy, own, with[0]);
        print("flood-" + flood + "-with", policy, flooding, with[1]);
    }
}

void callerScenario(const Sizes &sizes)
{
    for (const std::string policy : {"fifo", "teams-only", "fair"}) {
        const auto cluster = makeCluster(sizes, "home", policy);
        Load load(*cluster, sizes.seed);
        const double small = rateFor(sizes, 1.6) / 70;
        std::vector<Stream> streams;
        streams.reserve(21);
        for (int i = 0; i < 20; ++i) {
            streams.push_back({"small", "bookings", "small-" + std::to_string(i), "phone-check", small, Millis(800)});
        }
        load.run(streams, Millis(1'500));
        const auto report = [&](const std::string &name, const std::vector<StreamResult> &results) {
            StreamResult all;
            for (std::size_t i = 0; i < 20; ++i) {
                all.sent += results[i].sent;
                all.good += results[i].good;
                all.milliseconds.insert(all.milliseconds.end(), results[i].milliseconds.begin(),
                                        results[i].milliseconds.end());
            }
            print(name, policy, streams[0], all);
        };
        report("caller-without", load.run(streams, sizes.duration));
        streams.push_back({"large", "bookings", "large", "phone-check", small * 50, Millis(800)});
        const auto results = load.run(streams, sizes.duration);
        report("caller-with", results);
        print("caller-with", policy, streams.back(), results.back());
    }
}

void failingScenario(const Sizes &sizes)
{
    const auto cluster = makeCluster(sizes, "home", "fair");
    for (std::size_t i = 0; i < cluster->minions.size(); i += 3) {
        Standins::MinionFaults faults = cluster->minions[i]->faults();
        faults.failing = true;
        cluster->minions[i]->setFaults(faults);
    }
    Load load(*cluster, sizes.seed);
    const Stream stream {"phone-check", "bookings", "c", "phone-check", rateFor(sizes, 0.3)};
    const StreamResult result = load.run({stream}, sizes.duration)[0];
    print("failing-third", "fair", stream, result);
    std::size_t runs = 0;
    for (const auto &minion : cluster->minions) {
        runs += minion->runs().size();
    }
    std::cout << "scenario=failing-third sends_per_request="
              << static_cast<double>(runs) / static_cast<double>(result.sent) << "\n";
}

/** @return processor time of a process, in seconds. */
double processorSeconds(int pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values((std::istream_iterator<std::string>(fields)), std::istream_iterator<std::string>());
    constexpr std::size_t USER_TIME = 11;
    return (std::stod(values[USER_TIME]) + std::stod(values[USER_TIME + 1]))
           / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t residentKb(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

/** What each instance costs at rest, and with running jobs that only have to be kept up. */
void restScenario(const Sizes &sizes, std::size_t workers, std::size_t jobs)
{
    ClusterOptions options;
    options.instances = sizes.instances;
    options.minions = sizes.minions;
    options.workers = workers;
    options.proxyLog = true;
    options.proxyHosts = true;
    options.settings = {{"logLevel", "warning"}};
    Cluster cluster(options);
    cluster.start(loadConfig(100));
    Standins::WorkerFaults faults;
    faults.neverFinish = true;
    for (const auto &worker : cluster.workers) {
        worker->setFaults(faults);
    }
    for (std::size_t i = 0; i < jobs; ++i) {
        cluster.submitJob(i % sizes.instances, "small-study", Json::object());
    }
    std::this_thread::sleep_for(Millis(4'000 + 30 * static_cast<std::int64_t>(jobs)));
    const auto planner = cluster.planner();
    std::vector<double> processor;
    std::vector<double> bytes;
    const auto trafficOf = [&](std::size_t i) {
        return static_cast<double>(cluster.logProxies[i]->bytes() + cluster.hostsProxies[i]->bytes())
               + cluster.metric(i, "papayahall_peer_bytes_sent") + cluster.metric(i, "papayahall_peer_bytes_received");
    };
    for (std::size_t i = 0; i < sizes.instances; ++i) {
        processor.push_back(processorSeconds(cluster.instances[i]->pid()));
        bytes.push_back(trafficOf(i));
    }
    const double seconds = std::chrono::duration<double>(sizes.duration).count();
    std::this_thread::sleep_for(sizes.duration);
    for (std::size_t i = 0; i < sizes.instances; ++i) {
        const double used = processorSeconds(cluster.instances[i]->pid()) - processor[i];
        std::cout << std::fixed << std::setprecision(3) << "scenario=rest workers=" << workers << " tasks=" << jobs
                  << " instance=" << i << " planner=" << (planner == i ? 1 : 0)
                  << " core_percent=" << 100 * used / seconds << " rss_kb=" << residentKb(cluster.instances[i]->pid())
                  << " control_bytes_per_s=" << (trafficOf(i) - bytes[i]) / seconds << "\n";
    }
}

} // namespace

int runLoadBench(int argc, char **argv)
{
    TCLAP::CmdLine line("Open-loop load on real processes.");
    const TCLAP::ValueArg<std::string> only("s", "scenario", "choice, flood, urgent-flood, caller, failing or rest",
                                            false, "", "NAME", line);
    const TCLAP::ValueArg<std::size_t> instances("i", "instances", "Instances", false, 7, "N", line);
    const TCLAP::ValueArg<std::size_t> minions("m", "minions", "Minions of 8 slots", false, 50, "N", line);
    const TCLAP::ValueArg<std::int64_t> duration("d", "duration-ms", "Time of a run", false, 4'000, "MS", line);
    const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrivals", false, 1, "N", line);
    line.parse(argc, argv);
    const Sizes sizes {instances.getValue(), minions.getValue(), Millis(duration.getValue()), seed.getValue()};
    const auto wanted = [&](const char *name) { return only.getValue().empty() || only.getValue() == name; };
    if (wanted("choice")) {
        choiceScenario(sizes);
    }
    if (wanted("flood")) {
        floodScenario(sizes, "matching");
    }
    if (wanted("urgent-flood")) {
        floodScenario(sizes, "urgent-flood");
    }
    if (wanted("caller")) {
        callerScenario(sizes);
    }
    if (wanted("failing")) {
        failingScenario(sizes);
    }
    if (wanted("rest")) {
        restScenario(sizes, 0, 0);
        restScenario(sizes, 50, 0);
        restScenario(sizes, 50, 200);
        restScenario(sizes, 100, 400);
    }
    return 0;
}

} // namespace Papaya::Testing

int main(int argc, char **argv)
{
    return Papaya::Testing::runLoadBench(argc, argv);
}
