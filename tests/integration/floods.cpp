#include "cluster.h"
#include "load/openloop.h"

#include <gtest/gtest.h>

// Tests with open-loop load how much goodput guaranteed work keeps during a flood of other work, how far a large caller
// slows small callers, and that retries do not amplify failures.

namespace Papaya::Testing
{

namespace
{

constexpr std::uint64_t SEED = 20261204;
constexpr double MIN_GOODPUT_RATIO = 0.95;        // of guaranteed work, relative to no flood
constexpr double MAX_SMALL_CALLER_SLOWDOWN = 1.2; // of the median, beside a caller with 50 times the rate
constexpr double MAX_SENDS_PER_REQUEST = 1.2;     // while a third of the minions fail every request
constexpr std::size_t MINIONS = 6;
constexpr std::int64_t RUN_MS = 60;
constexpr std::int64_t JITTER_MS = 40;
constexpr double MEAN_RUN_SECONDS = 0.080;
constexpr double SLOTS = MINIONS * 8.0;
constexpr Millis WARM_UP {1'000};
constexpr Millis DURATION {2'500};

/** @return the requests per second that occupy this share of all slots. */
double rateFor(double share)
{
    return share * SLOTS / MEAN_RUN_SECONDS;
}

/** Starts a cluster whose minions take 60 to 100 ms per run; "bookings" is guaranteed 40 % of the slots. */
std::unique_ptr<Cluster> startCluster()
{
    auto cluster = std::make_unique<Cluster>(
        ClusterOptions {.instances = 3, .minions = MINIONS, .workers = 0, .settings = {{"logLevel", "warning"}}});
    Json config = sampleConfig();
    for (const char *team : {"bookings", "archive"}) {
        config["teams"][team]["limits"] = {{"inFlight", 100'000}, {"queued", 20'000}};
    }
    config["teams"]["bookings"]["guarantees"] = Json::array({{{"slots", static_cast<int>(SLOTS * 0.4)}}});
    config["templates"]["phone-check"]["deadlineMs"] = 800;
    config["templates"]["urgent-matching"] = config["templates"]["matching"];
    config["templates"]["urgent-matching"]["urgency"] = "urgent";
    cluster->start(config);
    cluster->setMinionFaults({.delayMs = RUN_MS, .jitterMs = JITTER_MS});
    return cluster;
}

/** Checks that guaranteed requests keep their goodput during a flood of @p templateName with twice the capacity. */
void expectGoodputPreserved(const std::string &templateName)
{
    const auto cluster = startCluster();
    OpenLoopLoad load(*cluster, SEED);
    const Stream checks {"checks", "bookings", "c", "phone-check", rateFor(0.3)};
    // Twice the capacity, which is ten times a fifth of all slots.
    const Stream flood {"flood", "archive", "f", templateName, rateFor(2.0), Millis(5'000)};
    load.run({checks}, WARM_UP);
    const double baseline = load.run({checks}, DURATION)[0].goodput();
    const double underFlood = load.run({checks, flood}, DURATION)[0].goodput();
    EXPECT_GE(underFlood / baseline, MIN_GOODPUT_RATIO) << underFlood << " of " << baseline;
}

TEST(Flood, OfBackgroundWorkLeavesGuaranteedWorkItsGoodput)
{
    expectGoodputPreserved("matching");
}

TEST(Flood, OfUrgentWorkLeavesGuaranteedWorkItsGoodput)
{
    expectGoodputPreserved("urgent-matching");
}

TEST(Flood, OfOneCallerSlowsSmallCallersByAtMostAFifth)
{
    constexpr std::size_t SMALL_CALLERS = 20;
    constexpr double LARGE_TO_SMALL_RATIO = 50;
    const auto cluster = startCluster();
    OpenLoopLoad load(*cluster, SEED);
    // All callers together offer 1.6 times the capacity of the minions.
    const double small = rateFor(1.6) / (SMALL_CALLERS + LARGE_TO_SMALL_RATIO);
    std::vector<Stream> streams;
    streams.reserve(SMALL_CALLERS + 1);
    for (std::size_t i = 0; i < SMALL_CALLERS; ++i) {
        streams.push_back({"small", "bookings", "small-" + std::to_string(i), "phone-check", small});
    }
    const auto mergeSmallCallers = [&](const std::vector<StreamResult> &results) {
        StreamResult all;
        for (std::size_t i = 0; i < SMALL_CALLERS; ++i) {
            all.add(results[i]);
        }
        return all;
    };
    load.run(streams, WARM_UP);
    const StreamResult baseline = mergeSmallCallers(load.run(streams, DURATION));
    streams.push_back({"large", "bookings", "large", "phone-check", small * LARGE_TO_SMALL_RATIO});
    const StreamResult underFlood = mergeSmallCallers(load.run(streams, DURATION));
    EXPECT_LE(underFlood.quantile(0.5) / baseline.quantile(0.5), MAX_SMALL_CALLER_SLOWDOWN)
        << underFlood.quantile(0.5) << " ms after " << baseline.quantile(0.5) << " ms";
    EXPECT_GE(underFlood.goodput() / baseline.goodput(), MIN_GOODPUT_RATIO)
        << underFlood.goodput() << " of " << baseline.goodput();
}

TEST(Flood, OfFailuresFromAThirdOfTheMinionsIsNotAmplifiedByRetries)
{
    const auto cluster = startCluster();
    for (std::size_t i = 0; i < MINIONS; i += 3) {
        cluster->minions[i]->setFaults({.failing = true});
    }
    OpenLoopLoad load(*cluster, SEED);
    const Stream checks {"checks", "bookings", "c", "phone-check", rateFor(0.3)};
    const StreamResult result = load.run({checks}, DURATION)[0];
    std::size_t sends = 0;
    for (const auto &minion : cluster->minions) {
        sends += minion->runs().size();
    }
    EXPECT_LE(static_cast<double>(sends) / static_cast<double>(result.sent), MAX_SENDS_PER_REQUEST);
    EXPECT_GE(result.goodput(), MIN_GOODPUT_RATIO);
}

} // namespace

} // namespace Papaya::Testing
