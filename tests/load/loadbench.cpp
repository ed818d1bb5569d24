#include "load/openloop.h"

#include <gtest/gtest.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>

#include <unistd.h>

// Measures policies by open-loop load on real processes, and prints one line of key=value pairs for each run.

namespace Papaya::Testing
{

namespace
{

constexpr Millis SERVICE {60}; // shortest run
constexpr Millis JITTER {40};
constexpr double MEAN_SERVICE_SECONDS = 0.080;

void print(const std::string &scenario, const std::string &policy, const Stream &stream, const StreamResult &result)
{
    std::cout << std::fixed << std::setprecision(3) << "scenario=" << scenario << " policy=" << policy
              << " stream=" << stream.name << " rate=" << stream.perSecond << " sent=" << result.sent
              << " goodput=" << result.goodput() << " p50_ms=" << result.quantile(0.5)
              << " p99_ms=" << result.quantile(0.99) << " p999_ms=" << result.quantile(0.999) << std::endl;
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
        OpenLoopLoad load(*cluster, sizes.seed);
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
        OpenLoopLoad load(*cluster, sizes.seed);
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
        OpenLoopLoad load(*cluster, sizes.seed);
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
                all.add(results[i]);
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
    OpenLoopLoad load(*cluster, sizes.seed);
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
void restScenario(const Sizes &sizes, const std::string &program, std::size_t workers, std::size_t jobs)
{
    ClusterOptions options;
    options.instances = sizes.instances;
    options.minions = sizes.minions;
    options.workers = workers;
    options.proxyLog = true;
    options.proxyHosts = true;
    options.settings = {{"logLevel", "warning"}};
    options.program = program;
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
    const auto planner = cluster.waitForPlanner();
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

/** What a request costs: requests answered by processor second of the instances, and their memory. */
void throughputScenario(const Sizes &sizes, const std::string &program, double perSecond)
{
    ClusterOptions options;
    options.instances = sizes.instances;
    options.minions = sizes.minions;
    options.workers = 0;
    options.settings = {{"logLevel", "warning"}};
    options.program = program;
    Cluster cluster(options);
    cluster.start(loadConfig(100));
    OpenLoopLoad load(cluster, sizes.seed);
    const Stream stream {"phone-check", "bookings", "c", "phone-check", perSecond};
    load.run({stream}, Millis(1'500));
    const auto processor = [&] {
        double seconds = 0;
        for (const auto &instance : cluster.instances) {
            seconds += processorSeconds(instance->pid());
        }
        return seconds;
    };
    const double before = processor();
    const StreamResult result = load.run({stream}, sizes.duration)[0];
    const double used = processor() - before;
    print("throughput", program.empty() ? "this" : "other", stream, result);
    std::cout << "scenario=throughput requests_per_core_second=" << static_cast<double>(result.good) / used
              << " rss_kb=" << residentKb(cluster.instances[0]->pid()) << "\n";
}

} // namespace

int runLoadBench(int argc, char **argv)
{
    TCLAP::CmdLine line("Open-loop load on real processes.");
    const TCLAP::ValueArg<std::string> only(
        "s", "scenario", "choice, flood, urgent-flood, caller, failing, rest or throughput", false, "", "NAME", line);
    const TCLAP::ValueArg<std::size_t> instances("i", "instances", "Instances", false, 7, "N", line);
    const TCLAP::ValueArg<std::size_t> minions("m", "minions", "Minions of 8 slots", false, 50, "N", line);
    const TCLAP::ValueArg<std::int64_t> duration("d", "duration-ms", "Time of a run", false, 4'000, "MS", line);
    const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrivals", false, 1, "N", line);
    const TCLAP::ValueArg<std::string> program("p", "program", "Server to load instead of this build's", false, "",
                                               "FILE", line);
    const TCLAP::ValueArg<double> rate("r", "rate", "Requests a second of the throughput scenario", false, 3'000, "N",
                                       line);
    const TCLAP::ValueArg<std::size_t> workers("w", "workers", "Workers of the rest scenario", false, 100, "N", line);
    const TCLAP::ValueArg<std::size_t> tasks("t", "tasks", "Tasks of the rest scenario", false, 400, "N", line);
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
    if (wanted("rest") && workers.isSet()) {
        restScenario(sizes, program.getValue(), workers.getValue(), tasks.getValue());
    } else if (wanted("rest")) {
        restScenario(sizes, program.getValue(), 0, 0);
        restScenario(sizes, program.getValue(), 50, 0);
        restScenario(sizes, program.getValue(), 50, 200);
        restScenario(sizes, program.getValue(), 100, 400);
    }
    if (only.getValue() == "throughput") {
        throughputScenario(sizes, program.getValue(), rate.getValue());
    }
    return 0;
}

} // namespace Papaya::Testing

int main(int argc, char **argv)
{
    return Papaya::Testing::runLoadBench(argc, argv);
}
