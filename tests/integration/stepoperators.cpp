#include "deployment.h"

#include <gtest/gtest.h>

// Tests the operator interface of a node to jobs of steps, which the command line also uses.

namespace Papaya::Testing
{

namespace
{

constexpr Millis VISIBLE_IN {3'000}; // an accepted job at every node

Json jobOf(const std::string &queue, std::uint32_t gpus)
{
    return {{"queue", queue},
            {"payload", Json {{"workMs", 100}}.dump()},
            {"steps", {{{"count", 2}, {"milliCores", 1'000}, {"memoryMb", 1'000}, {"gpus", gpus}}}}};
}

TEST(StepOperators, SubmitFollowAndCancelJobsOfTheirTeamOnly)
{
    Deployment deployment;
    deployment.start();
    const Answer accepted = deployment.callOperatorApi(0, "POST", "/v1/jobs", jobOf("plan", 1).dump());
    ASSERT_EQ(202, accepted.status) << accepted.body;
    const std::string id = accepted.json().value("job", "");
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ("completed", deployment.callOperatorApi(0, "GET", "/v1/jobs/" + id).json().value("state", ""));
    EXPECT_EQ(404, deployment.callOperatorApi(0, "GET", "/v1/jobs/" + id, "", "key-b").status);
    EXPECT_EQ(401, deployment.callOperatorApi(0, "GET", "/v1/jobs/" + id, "", "nobody").status);
    EXPECT_EQ(401, deployment.callOperatorApi(0, "POST", "/v1/jobs", jobOf("plan", 1).dump(), "nobody").status);
    EXPECT_EQ(404, deployment.callOperatorApi(0, "POST", "/v1/jobs", jobOf("none", 1).dump()).status);
    EXPECT_EQ(400, deployment.callOperatorApi(0, "POST", "/v1/jobs", R"({"queue": "plan", "steps": []})").status);
    EXPECT_EQ(400, deployment.callOperatorApi(0, "POST", "/v1/jobs", "junk").status);
    // A job that fits nowhere waits until it is cancelled. Another team can neither reuse its id nor cancel it.
    Json large = jobOf("plan", 500);
    large["id"] = "00000000deadbeef";
    ASSERT_EQ(202, deployment.callOperatorApi(0, "POST", "/v1/jobs", large.dump()).status);
    EXPECT_EQ(409, deployment.callOperatorApi(0, "POST", "/v1/jobs", large.dump(), "key-b").status);
    EXPECT_EQ(404, deployment.callOperatorApi(0, "DELETE", "/v1/jobs/00000000deadbeef", "", "key-b").status);
    const Answer cancelled = deployment.callOperatorApi(0, "DELETE", "/v1/jobs/00000000deadbeef");
    EXPECT_EQ("cancelled", cancelled.json().value("state", "")) << cancelled.body;
}

TEST(StepOperators, SeeWhyAJobWaitsWhichNodeLeadsAndTheMetrics)
{
    Deployment deployment;
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1, {1'000, 1'000, 500})}).status);
    const std::size_t leader = deployment.leader().value();
    const std::string target = "/admin/jobs/" + id + "/explain";
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.callOperatorApi(leader, "GET", target).json().contains("units"); }));
    const Json told = deployment.callOperatorApi(leader, "GET", target).json();
    EXPECT_EQ("too-large", told["units"][0].value("reason", "")) << told.dump();
    // A node that does not lead reads the journal in intervals.
    const std::string leads = "node-" + std::to_string(leader) + " leads";
    const auto otherNames = [&] {
        const Json answer = deployment.callOperatorApi(1 - leader, "GET", target).json();
        return answer.value("explanation", "").find(leads) != std::string::npos;
    };
    EXPECT_TRUE(Cluster::eventually(otherNames, VISIBLE_IN));
    EXPECT_EQ(404, deployment.callOperatorApi(leader, "GET", "/admin/jobs/0000000000000000/explain").status);
    const Json status = deployment.callOperatorApi(leader, "GET", "/admin/status").json();
    EXPECT_TRUE(status.value("leading", false)) << status.dump();
    EXPECT_EQ(3U, status.value("minions", 0U));
    const std::string done = deployment.newId();
    ASSERT_EQ(200, deployment.submit(leader, "plan", done, {Deployment::step(2)}).status);
    ASSERT_TRUE(deployment.waitForState("plan", done, "completed", Millis(8'000), leader));
    const std::string metrics = deployment.callOperatorApi(leader, "GET", "/metrics").body;
    EXPECT_NE(std::string::npos, metrics.find("papayahall_placements_total{queue=\"plan\"} 2\n")) << metrics;
    EXPECT_NE(std::string::npos, metrics.find("papayahall_run_ends_total{how=\"done\"} 2\n"));
    EXPECT_NE(std::string::npos, metrics.find("papayahall_job_seconds_count{stage=\"started\"} 1\n"));
}

} // namespace

} // namespace Papaya::Testing
