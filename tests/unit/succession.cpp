#include "steps/succession.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

// Tests what counts as evidence of when an earlier planner has ceased to renew leases. Each case that is not allowed
// would let a successor start a task that may still run.

namespace Papaya
{

namespace
{

constexpr std::int64_t WINDOW_MS = 8'000;
constexpr std::int64_t LEASE_SPAN_MS = 5'650;

PlannerAnnouncement announcement(std::uint64_t epoch, bool resigned = false)
{
    return {Epoch(epoch), "node-" + std::to_string(epoch), resigned, 0, "peer-" + std::to_string(epoch)};
}

/** @return the planners before the one of @p epoch, as "epoch:end of its renewals". */
std::vector<std::string> priors(const Succession &succession, std::uint64_t epoch)
{
    std::vector<std::string> lines;
    for (const PriorPlanner &prior : succession.before(Epoch(epoch)).value_or(std::vector<PriorPlanner>())) {
        EXPECT_EQ(prior.epoch.value() == 0 ? "" : "node-" + std::to_string(prior.epoch.value()), prior.node);
        EXPECT_EQ(prior.node.empty(), prior.peers.empty());
        lines.push_back(std::to_string(prior.epoch.value()) + ":" + std::to_string(prior.renewalsEndMs));
    }
    return lines;
}

using Lines = std::vector<std::string>;

TEST(Succession, CountsOnPlannersBeforeThePredecessorToRenewForTheirWindow)
{
    Succession succession(WINDOW_MS, LEASE_SPAN_MS);
    succession.read(announcement(1), true, 1'000);
    succession.read(announcement(2), true, 2'000);
    succession.read(announcement(2, true), true, 2'500);
    succession.read(announcement(1), true, 2'600); // late
    succession.read(announcement(3), true, 3'000);
    EXPECT_EQ(Lines({"0:9000", "1:10000", "2:2500"}), priors(succession, 3));
    EXPECT_FALSE(succession.before(Epoch(2)));
}

TEST(Succession, KnowsNoPredecessorIfRecordsMayBeMissing)
{
    Succession succession(WINDOW_MS, LEASE_SPAN_MS);
    succession.read(announcement(1), true, 1'000);
    succession.read(announcement(3), false, 3'000);
    EXPECT_EQ(Lines({"0:11000"}), priors(succession, 3));
}

// Guards against a successor that counts on each planner of a series but the last to renew for its full window, as it
// knows none of them by name.
TEST(Succession, KnowsAllPlannersOfASeriesFromTheNewestRecord)
{
    Succession first(WINDOW_MS, LEASE_SPAN_MS);
    first.read(announcement(1), true, 1'000);
    first.read(announcement(2), true, 20'000);
    PlannerAnnouncement third = announcement(3);
    third.earlier = Succession::listed(first.priorsOfNext(21'000), 21'000);
    Succession loaded(WINDOW_MS, LEASE_SPAN_MS);
    loaded.read(third, false, 50'000);
    EXPECT_EQ(Lines({"1:57000", "2:58000"}), priors(loaded, 3)); // counted from when the record was read
    Succession followed = first;
    followed.read(third, true, 21'500);
    EXPECT_EQ(Lines({"1:28000", "2:29500"}), priors(followed, 3));
    followed.read(announcement(4), true, 40'000); // all leases of the first two have expired
    EXPECT_EQ(Lines({"3:48000"}), priors(followed, 4));
}

TEST(OwnLeadership, EndsWithThePlannerOrWithTheProcessThatHadClaimedTheEpoch)
{
    OwnLeadership own(100);
    EXPECT_EQ(100, own.renewalsEndMs(Epoch(5))); // claimed by an earlier process of the node
    own.claimBegun(Epoch(7));
    EXPECT_FALSE(own.renewalsEndMs(Epoch(7)));
    EXPECT_EQ(100, own.renewalsEndMs(Epoch(5)));
    own.ended(900);
    EXPECT_EQ(900, own.renewalsEndMs(Epoch(7)));
    own.claimBegun(Epoch(9));
    EXPECT_FALSE(own.renewalsEndMs(Epoch(9)));
    EXPECT_EQ(900, own.renewalsEndMs(Epoch(7))); // a node leads again after it has lost the role
    EXPECT_FALSE(own.renewalsEndMs(Epoch(8)));   // not known
    for (std::uint64_t epoch = 100; epoch < 200; ++epoch) {
        own.ended(1'000);
        own.claimBegun(Epoch(epoch));
    }
    EXPECT_EQ(100, own.renewalsEndMs(Epoch(5)));
    EXPECT_FALSE(own.renewalsEndMs(Epoch(110)));
    EXPECT_EQ(1'000, own.renewalsEndMs(Epoch(198)));
}

} // namespace

} // namespace Papaya
