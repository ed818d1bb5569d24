#include "chaos.h"
#include "promises.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

// Plays seeded rounds of overlapping faults on a deployment of real processes while callers submit and query jobs, and
// checks the promises to callers. Settings by environment variables: SOAK_SEEDS, "first-last" (default "1-3");
// SOAK_SECONDS, length of the faults in each round (default 15); SOAK_LANES, series of faults at the same time
// (default 2); SOAK_NODES and SOAK_MINIONS, size of the deployment (default 3 and 8); SOAK_KINDS, numbers of FaultKind
// separated by commas (default all); SOAK_KEEP, a folder in which the logs of a round that broke a promise are kept.

namespace Papaya::Testing
{

namespace
{

constexpr Millis CALL_TIMEOUT {900};
constexpr Millis SUBMIT_INTERVAL {120};
constexpr Millis QUERY_INTERVAL {60};
constexpr Millis SETTLE_LIMIT {45'000}; // a successor waits for up to 13.65 s before it restarts a silent minion's work
constexpr int SUBMIT_ATTEMPTS = 4;

std::string variable(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

std::vector<FaultKind> chosenKinds()
{
    std::istringstream text(variable("SOAK_KINDS", ""));
    std::vector<FaultKind> kinds;
    for (std::string number; std::getline(text, number, ',');) {
        kinds.push_back(static_cast<FaultKind>(std::stoi(number)));
    }
    return kinds.empty() ? Chaos::allKinds() : kinds;
}

/** Submits jobs and queries them at random nodes, as callers do, until it is told to settle. */
class Callers
{
public:
    Callers(Deployment &deployment, std::uint32_t seed)
        : m_deployment(deployment)
        , m_submitter([this, seed] { submitLoop(seed); })
        , m_querier([this, seed] { queryLoop(seed + 1); })
    {
    }

    /** Ends the submissions and waits until every accepted job is shown as completed. */
    void settle()
    {
        m_settling = true;
        m_submitter.join();
        m_settled = true;
        Cluster::eventually([&] { return openJobs().empty(); }, SETTLE_LIMIT);
        m_ended = true;
        m_querier.join();
    }

    [[nodiscard]] const CallersView &view() const
    {
        return m_view;
    }

private:
    void submitLoop(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        while (!m_settling) {
            const std::string id = m_deployment.newId();
            const std::uint32_t count = 1 + random() % 6;
            const bool gang = random() % 5 == 0;
            const int workMs = 20 + static_cast<int>(random() % 1'500);
            const TaskShape shape {1'000, 1'000, static_cast<std::int64_t>(random() % 3 == 0 ? 8 : 1)};
            Json taskSpec = {{"workMs", workMs}};
            if (gang) {
                taskSpec["gang"] = count;
            }
            const Json step = Deployment::step(count, shape, {{"gang", gang}, {"checkpointing", random() % 2 == 0}});
            const Json body = {{"taskSpec", taskSpec.dump()}, {"steps", Json::array({step})}};
            m_view.add(id, gang ? 1 : count);
            submit(random() % m_deployment.nodes.size(), id, body.dump());
            std::this_thread::sleep_for(SUBMIT_INTERVAL);
        }
    }

    /** Tries again at the next node unless a node has answered that the job is stored. */
    void submit(std::size_t node, const std::string &id, const std::string &body)
    {
        for (int attempt = 0; attempt < SUBMIT_ATTEMPTS; ++attempt) {
            const Millis left = CALL_TIMEOUT * (SUBMIT_ATTEMPTS - attempt);
            const int status = m_deployment
                                   .call((node + static_cast<std::size_t>(attempt)) % m_deployment.nodes.size(), "POST",
                                         "plan", id, body, "key-a", CALL_TIMEOUT, left)
                                   .status;
            m_view.submitted(id, status);
            if (status == 200) {
                return;
            }
        }
    }

    [[nodiscard]] std::vector<std::string> openJobs() const
    {
        std::vector<std::string> open;
        for (const auto &[id, job] : m_view.jobs()) {
            if (job.accepted && !job.completed) {
                open.push_back(id);
            }
        }
        return open;
    }

    void queryLoop(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        while (!m_ended) {
            const std::vector<std::string> open = openJobs();
            if (!open.empty()) {
                const std::string &id = open[random() % std::min<std::size_t>(open.size(), 40)];
                const bool settled = m_settled;
                const Answer answer = m_deployment.call(random() % m_deployment.nodes.size(), "GET", "plan", id, "",
                                                        "key-a", CALL_TIMEOUT, CALL_TIMEOUT);
                if (answer.status == 200) {
                    m_view.shown(id, answer.json().value("state", ""), settled);
                }
            }
            if (!m_settled) {
                std::this_thread::sleep_for(QUERY_INTERVAL);
            }
        }
    }

    Deployment &m_deployment;
    CallersView m_view;
    std::atomic<bool> m_settling {false};
    std::atomic<bool> m_settled {false};
    std::atomic<bool> m_ended {false};
    std::thread m_submitter;
    std::thread m_querier;
};

void keepLogs(const Deployment &deployment, const Chaos &chaos, const std::vector<std::string> &broken,
              std::uint32_t seed)
{
    const std::string folder = variable("SOAK_KEEP", "");
    if (folder.empty()) {
        return;
    }
    const std::string base = folder + "/seed-" + std::to_string(seed);
    std::ofstream summary(base + ".txt");
    for (const std::string &line : broken) {
        summary << line << '\n';
    }
    for (const std::string &line : chaos.history()) {
        summary << line << '\n';
    }
    for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
        std::ofstream(base + "-node-" + std::to_string(i) + ".log") << deployment.log(i);
    }
}

void playRound(std::uint32_t seed)
{
    DeploymentOptions options {std::stoul(variable("SOAK_NODES", "3")), std::stoul(variable("SOAK_MINIONS", "8"))};
    options.storeProxies = true;
    options.minionProxies = true;
    options.printLogs = false;
    Deployment deployment(options);
    deployment.start();
    const auto length = Millis(1'000 * std::stoi(variable("SOAK_SECONDS", "15")));
    const auto lanes = static_cast<unsigned>(std::stoi(variable("SOAK_LANES", "2")));
    Callers callers(deployment, seed);
    Chaos chaos(deployment, seed, lanes, chosenKinds());
    std::this_thread::sleep_for(length);
    chaos.end();
    callers.settle();
    const auto runs = deployment.runs.all();
    const auto jobs = callers.view().jobs();
    const std::vector<std::string> broken = brokenPromises(runs, jobs);
    std::printf("soak seed %u: %zu jobs, %zu runs, %zu faults, %zu promises broken\n", seed, jobs.size(), runs.size(),
                chaos.history().size(), broken.size());
    std::fflush(stdout);
    if (!broken.empty()) {
        keepLogs(deployment, chaos, broken, seed);
    }
    for (const std::string &line : broken) {
        ADD_FAILURE() << "seed " << seed << ": " << line;
    }
}

TEST(Soak, KeepsThePromisesThroughOverlappingFaults)
{
    const std::string seeds = variable("SOAK_SEEDS", "1-3");
    const auto first = static_cast<std::uint32_t>(std::stoul(seeds));
    const auto last = static_cast<std::uint32_t>(std::stoul(seeds.substr(seeds.find('-') + 1)));
    for (std::uint32_t seed = first; seed <= last; ++seed) {
        playRound(seed);
    }
}

} // namespace

} // namespace Papaya::Testing
