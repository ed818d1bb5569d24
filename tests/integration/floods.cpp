#include "cluster.h"
#include "load/openloop.h"

#include <gtest/gtest.h>

// What other work keeps in a flood, and how small callers fare beside large ones, by open-loop load.

namespace Papaya::Testing
{

namespace
{

constexpr std::uint64_t SEED = 20261204;
constexpr double KEPT_GOODPUT = 0.95;          // of work under its guarantee
constexpr double SMALL_CALLERS_SLOWDOWN = 1.2; // beside a caller that asks for 50 times as much
constexpr double SENDS_BY_REQUEST = 1.2;       // with a third of the minions failing everything
constexpr std::size_t MINIONS = 6;
constexpr std::int64_t RUN_MS = 60;
constexpr std::int64_t JITTER_MS = 40;
constexpr double MEAN_RUN_SECONDS = 0.080;
constexpr double SLOTS = MINIONS * 8.0;
constexpr Millis WARM_UP {1'000};
constexpr Millis DURATION {2'500};

/** @return requests a second that take this share of all slots. */
double rateFor(double share)
{
    return share * SLOTS / MEAN_RUN_SECONDS;
}

/** Starts instances, and minions whose runs take as long as a phone check's; bookings is guaranteed 40 % of the slots.
 */
std::unique_ptr<Cluster> startLoaded()
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

/** Checks that guaranteed phone checks keep their goodput in a flood of @p work that asks for all slots. */
void expectGoodputKept(const std::string &work)
{
    const auto cluster = startLoaded();
    OpenLoopLoad load(*cluster, SEED);
    const Stream checks {"checks", "bookings", "c", "phone-check", rateFor(0.3)};
    // Ten times a fifth of all slots.
    const Stream flood {"flood", "archive", "f", work, rateFor(2.0), Millis(5'000)};
    load.run({checks}, WARM_UP);
    const double without = load.run({checks}, DURATION)[0].goodput();
    const double with = load.run({checks, flood}, DURATION)[0].goodput();
    EXPECT_GE(with / without, KEPT_GOODPUT) << with << " of " << without;
}

TEST(Flood, OfBackgroundWorkLeavesGuaranteedWorkItsGoodput)
{
    expectGoodputKept("matching");
}

TEST(Flood, OfUrgentWorkLeavesGuaranteedWorkItsGoodput)
{
    expectGoodputKept("urgent-matching");
}

TEST(Flood, OfOneCallerDelaysSmallCallersLittle)
{
    constexpr std::size_t SMALL_CALLERS = 20;
    constexpr double LARGE_BY_SMALL = 50;
    const auto cluster = startLoaded();
    OpenLoopLoad load(*cluster, SEED);
    // All callers together ask for 1.6 times what the minions can do.
    const double small = rateFor(1.6) / (SMALL_CALLERS + LARGE_BY_SMALL);
    std::vector<Stream> streams;
    streams.reserve(SMALL_CALLERS + 1);
    for (std::size_t i = 0; i < SMALL_CALLERS; ++i) {
        streams.push_back({"small", "bookings", "small-" + std::to_string(i), "phone-check", small});
    }
    const auto ofSmall = [&](const std::vector<StreamResult> &results) {
        StreamResult all;
        for (std::size_t i = 0; i < SMALL_CALLERS; ++i) {
            all.add(results[i]);
        }
        return all;
    };
    load.run(streams, WARM_UP);
    const StreamResult without = ofSmall(load.run(streams, DURATION));
    streams.push_back({"large", "bookings", "large", "phone-check", small * LARGE_BY_SMALL});
    const StreamResult with = ofSmall(load.run(streams, DURATION));
    EXPECT_LE(with.quantile(0.5) / without.quantile(0.5), SMALL_CALLERS_SLOWDOWN)
        << with.quantile(0.5) << " ms after " << without.quantile(0.5) << " ms";
    EXPECT_GE(with.goodput() / without.goodput(), KEPT_GOODPUT) << with.goodput() << " of " << without.goodput();
}

TEST(Flood, OfFailuresFromAThirdOfTheMinionsIsNotAmplified)
{
    const auto cluster = startLoaded();
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
    EXPECT_LE(static_cast<double>(sends) / static_cast<double>(result.sent), SENDS_BY_REQUEST);
    EXPECT_GE(result.goodput(), KEPT_GOODPUT);
}

} // namespace

} // namespace Papaya::Testing
