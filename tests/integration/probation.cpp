#include "deployment.h"

#include <gtest/gtest.h>

// Tests that jobs whose tasks fail leave most minions usable.

namespace Papaya::Testing
{

namespace
{

constexpr std::size_t MINIONS = 8;
constexpr std::size_t USABLE = 6; // at most a quarter may be on probation
const TaskShape WHOLE_MINION {1'000, 1'000, 8};
const TaskShape SMALL {100, 100, 0};

// A minion on probation still finishes what it runs. That must not make room for one more minion on probation.
TEST(Probation, OfMinionsThatFinishOtherWorkLeavesMostOfTheFleetUsable)
{
    DeploymentOptions options;
    options.minions = MINIONS;
    Deployment deployment(options);
    deployment.start();
    for (int round = 0; round < 4; ++round) {
        const std::string good = deployment.newId();
        ASSERT_EQ(
            200, deployment.submit(0, "plan", good, Deployment::step(MINIONS, WHOLE_MINION), {{"workMs", 400}}).status);
        ASSERT_TRUE(Cluster::eventually([&] { return !deployment.runs.of(good).empty(); }));
        const std::string failing = deployment.newId();
        ASSERT_EQ(200, deployment
                           .submit(0, "plan", failing, Deployment::step(MINIONS, SMALL, {{"antiAffinity", 1}}),
                                   {{"fails", 1'000}})
                           .status);
        ASSERT_TRUE(deployment.waitForState("plan", failing, "failed"));
        ASSERT_TRUE(Cluster::eventually([&] { return deployment.doneRuns(good) > 0; }));
        const std::string gang = deployment.newId();
        ASSERT_EQ(200, deployment
                           .submit(0, "urgent", gang, Deployment::step(USABLE, WHOLE_MINION, {{"gang", true}}),
                                   {{"workMs", 50}, {"gang", USABLE}})
                           .status);
        ASSERT_TRUE(deployment.waitForState("urgent", gang, "completed", Millis(3'000))) << "in round " << round;
    }
}

} // namespace

} // namespace Papaya::Testing
