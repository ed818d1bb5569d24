#include "steps/epochs.h"

#include <gtest/gtest.h>

namespace Papaya::Testing
{

namespace
{

constexpr std::uint64_t TERM = std::uint64_t(1) << TERM_SHIFT;

TEST(Epochs, FencesOfAPlannerStayBelowTheEpochOfItsSuccessor)
{
    for (const std::uint64_t random : {std::uint64_t(0), ~std::uint64_t(0)}) {
        const Epoch epoch = epochAfter(Epoch(41 * TERM + 7), random);
        EXPECT_GT(epoch, Epoch(41 * TERM + 7));
        Epoch fence = epoch;
        for (std::uint64_t restarts = 0; restarts < TERM; ++restarts) {
            const Epoch raised = raisedFence(fence);
            EXPECT_GE(raised, fence);
            fence = raised;
        }
        EXPECT_LT(fence, epochAfter(epoch, 0));
    }
}

TEST(Epochs, LeaveRoomForManyFences)
{
    const Epoch epoch = epochAfter(Epoch(), ~std::uint64_t(0));
    Epoch fence = epoch;
    for (int restarts = 0; restarts < 30'000; ++restarts) {
        ASSERT_LT(fence, raisedFence(fence));
        fence = raisedFence(fence);
    }
}

} // namespace

} // namespace Papaya::Testing
