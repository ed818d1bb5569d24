#include "steps/succession.h"

#include <gtest/gtest.h>

// Tests what counts as evidence of when an earlier planner has ceased to renew leases. Each case that is not allowed
// would let a successor start a task that may still run.

namespace Papaya
{

namespace
{

constexpr std::int64_t WINDOW_MS = 8'000;

PlannerAnnouncement announcement(std::uint64_t epoch, bool resigned = false)
{
    return {Epoch(epoch), "node-" + std::to_string(epoch), resigned, 0, ""};
}

TEST(Succession, CountsOnPlannersBeforeThePredecessorToRenewForTheirWindow)
{
    Succession succession(WINDOW_MS);
    succession.read(announcement(1), true, 1'000);
    succession.read(announcement(2), true, 2'000);
    succession.read(announcement(2, true), true, 2'500);
    succession.read(announcement(1), true, 2'600); // late
    succession.read(announcement(3), true, 3'000);
    const auto prior = succession.before(Epoch(3));
    ASSERT_TRUE(prior);
    EXPECT_EQ("node-2", prior->announced.node);
    EXPECT_EQ(2'000 + WINDOW_MS, prior->earlierRenewalsEndMs);
    EXPECT_EQ(2'500, prior->resignedMs);
    EXPECT_FALSE(succession.before(Epoch(2)));
}

TEST(Succession, KnowsNoPredecessorIfRecordsMayBeMissing)
{
    Succession succession(WINDOW_MS);
    succession.read(announcement(1), true, 1'000);
    succession.read(announcement(3), false, 3'000);
    EXPECT_FALSE(succession.before(Epoch(3)));
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
    EXPECT_FALSE(own.renewalsEndMs(Epoch(7)));
}

} // namespace

} // namespace Papaya
