#include "load/openloop.h"

#include <gtest/gtest.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>

#include <unistd.h>

// Measures policies under open-loop load on real processes. Prints one line of key=value pairs for each measurement.

namespace Papaya::Testing
{

namespace
{

constexpr Millis MIN_SERVICE_TIME {60}; // plus a jitter of up to SERVICE_TIME_JITTER
constexpr Millis SERVICE_TIME_JITTER {40};
constexpr double MEAN_SERVICE_SECONDS = 0.080;

void print(const std::string &scenario, const std::string &policy, const Stream &stream, const StreamResult &result)
{
    std::cout << std::fixed << std::setprecision(3) << "scenario=" << scenario << " policy=" << policy
              << " stream=" << stream.name << " rate=" << stream.perSecond << " sent=" << result.sent
              << " goodput=" << result.goodput() << " p50_ms=" << result.quantile(0.5)
              << " p99_ms=" << result.quantile(0.99) << " p999_ms=" << result.quantile(0.999) << std::endl;
}

/** Size of the cluster, and duration and seed of each measurement. */
struct RunParameters {
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

std::unique_ptr<Cluster> makeCluster(const RunParameters &parameters, const std::string &minionPolicy,
                                     const std::string &admission)
{
    ClusterOptions options;
    options.instances = parameters.instances;
    options.minions = parameters.minions;
    options.workers = 0;
    options.settings = {{"minionPolicy", minionPolicy}, {"admissionPolicy", admission}, {"logLevel", "warning"}};
    auto cluster = std::make_unique<Cluster>(options);
    cluster->start(loadConfig(parameters.minions * options.slots * 4 / 10));
    Standins::MinionFaults faults;
    faults.delayMs = MIN_SERVICE_TIME.count();
    faults.jitterMs = SERVICE_TIME_JITTER.count();
    for (const auto &minion : cluster->minions) {
        minion->setFaults(faults);
    }
    return cluster;
}

/** @return the rate in requests per second that occupies @p share of all slots on average. */
double rateForShare(const RunParameters &parameters, double share)
{
    return share * static_cast<double>(parameters.minions) * 8 / MEAN_SERVICE_SECONDS;
}

void choiceScenario(const RunParameters &parameters)
{
    for (const std::string policy : {"random", "round-robin", "home"}) {
        const auto cluster = makeCluster(parameters, policy, "fair");
        OpenLoopLoad load(*cluster, parameters.seed);
        load.run({{"warm-up", "bookings", "c", "phone-check", rateForShare(parameters, 0.3)}}, Millis(1'500));
        for (const double share : {0.3, 0.7, 0.95}) {
            const Stream stream {"phone-check", "bookings", "c", "phone-check", rateForShare(parameters, share)};
            print("choice-" + std::to_string(static_cast<int>(share * 100)), policy, stream,
                  load.run({stream}, parameters.duration)[0]);
        }
    }
}

void floodScenario(const RunParameters &parameters, const std::string &flood)
{
    for (const std::string policy : {"fifo", "fair"}) {
        const auto cluster = makeCluster(parameters, "home", policy);
        OpenLoopLoad load(*cluster, parameters.seed);
        const Stream steady {"phone-check", "bookings", "c", "phone-check", rateForShare(parameters, 0.3)};
        const Stream flooding {"flood", "archive", "f", flood, rateForShare(parameters, 1.0), Millis(5'000)};
        load.run({steady}, Millis(1'500));
        const StreamResult without = load.run({steady}, parameters.duration)[0];
        print("flood-" + flood + "-without", policy, steady, without);
        // The flood demands all slots; in an ordinary hour the team takes a tenth of them.
        const auto with = load.run({steady, flooding}, parameters.duration);
        print("flood-" + flood + "-with", policy, steady, with[0]);
        print("flood-" + flood + "-with", policy, flooding, with[1]);
    }
}

void callerScenario(const RunParameters &parameters)
{
    for (const std::string policy : {"fifo", "teams-only", "fair"}) {
        const auto cluster = makeCluster(parameters, "home", policy);
        OpenLoopLoad load(*cluster, parameters.seed);
        const double small = rateForShare(parameters, 1.6) / 70;
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
        report("caller-without", load.run(streams, parameters.duration));
        streams.push_back({"large", "bookings", "large", "phone-check", small * 50, Millis(800)});
        const auto results = load.run(streams, parameters.duration);
        report("caller-with", results);
        print("caller-with", policy, streams.back(), results.back());
    }
}

void failingScenario(const RunParameters &parameters)
{
    const auto cluster = makeCluster(parameters, "home", "fair");
    for (std::size_t i = 0; i < cluster->minions.size(); i += 3) {
        Standins::MinionFaults faults = cluster->minions[i]->faults();
        faults.failing = true;
        cluster->minions[i]->setFaults(faults);
    }
    OpenLoopLoad load(*cluster, parameters.seed);
    const Stream stream {"phone-check", "bookings", "c", "phone-check", rateForShare(parameters, 0.3)};
    const StreamResult result = load.run({stream}, parameters.duration)[0];
    print("failing-third", "fair", stream, result);
    std::size_t runs = 0;
    for (const auto &minion : cluster->minions) {
        runs += minion->runs().size();
    }
    std::cout << "scenario=failing-third sends_per_request="
              << static_cast<double>(runs) / static_cast<double>(result.sent) << "\n";
}

/** @return the processor time that a process has used, in seconds. */
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

/** Measures processor time, memory and control traffic of each instance while jobs, if any, run without changes. */
void restScenario(const RunParameters &parameters, const std::string &program, std::size_t workers, std::size_t jobs)
{
    ClusterOptions options;
    options.instances = parameters.instances;
    options.minions = parameters.minions;
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
        cluster.submitJob(i % parameters.instances, "small-study", Json::object());
    }
    std::this_thread::sleep_for(Millis(4'000 + 30 * static_cast<std::int64_t>(jobs)));
    const auto planner = cluster.waitForPlanner();
    std::vector<double> secondsBefore;
    std::vector<double> bytesBefore;
    const auto trafficOf = [&](std::size_t i) {
        return static_cast<double>(cluster.logProxies[i]->bytes() + cluster.hostsProxies[i]->bytes())
               + cluster.metric(i, "papayahall_peer_bytes_sent") + cluster.metric(i, "papayahall_peer_bytes_received");
    };
    for (std::size_t i = 0; i < parameters.instances; ++i) {
        secondsBefore.push_back(processorSeconds(cluster.instances[i]->pid()));
        bytesBefore.push_back(trafficOf(i));
    }
    const double seconds = std::chrono::duration<double>(parameters.duration).count();
    std::this_thread::sleep_for(parameters.duration);
    for (std::size_t i = 0; i < parameters.instances; ++i) {
        const double usedSeconds = processorSeconds(cluster.instances[i]->pid()) - secondsBefore[i];
        std::cout << std::fixed << std::setprecision(3) << "scenario=rest workers=" << workers << " tasks=" << jobs
                  << " instance=" << i << " planner=" << (planner == i ? 1 : 0)
                  << " core_percent=" << 100 * usedSeconds / seconds
                  << " rss_kb=" << residentKb(cluster.instances[i]->pid())
                  << " control_bytes_per_s=" << (trafficOf(i) - bytesBefore[i]) / seconds << "\n";
    }
}

/** Measures the requests answered per processor second of all instances, and the memory of one instance. */
void throughputScenario(const RunParameters &parameters, const std::string &program, double perSecond)
{
    ClusterOptions options;
    options.instances = parameters.instances;
    options.minions = parameters.minions;
    options.workers = 0;
    options.settings = {{"logLevel", "warning"}};
    options.program = program;
    Cluster cluster(options);
    cluster.start(loadConfig(100));
    OpenLoopLoad load(cluster, parameters.seed);
    const Stream stream {"phone-check", "bookings", "c", "phone-check", perSecond};
    load.run({stream}, Millis(1'500));
    const auto totalProcessorSeconds = [&] {
        double seconds = 0;
        for (const auto &instance : cluster.instances) {
            seconds += processorSeconds(instance->pid());
        }
        return seconds;
    };
    const double before = totalProcessorSeconds();
    const StreamResult result = load.run({stream}, parameters.duration)[0];
    const double usedSeconds = totalProcessorSeconds() - before;
    print("throughput", program.empty() ? "this" : "other", stream, result);
    std::cout << "scenario=throughput requests_per_core_second=" << static_cast<double>(result.good) / usedSeconds
              << " rss_kb=" << residentKb(cluster.instances[0]->pid()) << "\n";
}

} // namespace

int runLoadBench(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures policies under open-loop load on real processes.");
    const TCLAP::ValueArg<std::string> only(
        "s", "scenario", "choice, flood, urgent-flood, caller, failing, rest or throughput", false, "", "NAME", line);
    const TCLAP::ValueArg<std::size_t> instances("i", "instances", "Number of instances", false, 7, "N", line);
    const TCLAP::ValueArg<std::size_t> minions("m", "minions", "Number of minions, each with 8 slots", false, 50, "N",
                                               line);
    const TCLAP::ValueArg<std::int64_t> duration("d", "duration-ms", "Duration of each measurement", false, 4'000, "MS",
                                                 line);
    const TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrival times", false, 1, "N", line);
    const TCLAP::ValueArg<std::string> program(
        "p", "program", "Server program to measure instead of the one of this build", false, "", "FILE", line);
    const TCLAP::ValueArg<double> rate("r", "rate", "Requests per second in the throughput scenario", false, 3'000, "N",
                                       line);
    const TCLAP::ValueArg<std::size_t> workers("w", "workers", "Number of workers in the rest scenario", false, 100,
                                               "N", line);
    const TCLAP::ValueArg<std::size_t> tasks("t", "tasks", "Number of tasks in the rest scenario", false, 400, "N",
                                             line);
    line.parse(argc, argv);
    const RunParameters parameters {instances.getValue(), minions.getValue(), Millis(duration.getValue()),
                                    seed.getValue()};
    const auto isSelected = [&](const char *name) { return only.getValue().empty() || only.getValue() == name; };
    if (isSelected("choice")) {
        choiceScenario(parameters);
    }
    if (isSelected("flood")) {
        floodScenario(parameters, "matching");
    }
    if (isSelected("urgent-flood")) {
        floodScenario(parameters, "urgent-flood");
    }
    if (isSelected("caller")) {
        callerScenario(parameters);
    }
    if (isSelected("failing")) {
        failingScenario(parameters);
    }
    if (isSelected("rest") && workers.isSet()) {
        restScenario(parameters, program.getValue(), workers.getValue(), tasks.getValue());
    } else if (isSelected("rest")) {
        restScenario(parameters, program.getValue(), 0, 0);
        restScenario(parameters, program.getValue(), 50, 0);
        restScenario(parameters, program.getValue(), 50, 200);
        restScenario(parameters, program.getValue(), 100, 400);
    }
    if (only.getValue() == "throughput") {
        throughputScenario(parameters, program.getValue(), rate.getValue());
    }
    return 0;
}

} // namespace Papaya::Testing

int main(int argc, char **argv)
{
    return Papaya::Testing::runLoadBench(argc, argv);
}
