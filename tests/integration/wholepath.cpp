#include "cluster.h"

#include <gtest/gtest.h>

#include <csignal>

// Smoke tests: a request, a job, a configuration and signals, each end to end through separate processes.

namespace Papaya::Testing
{

namespace
{

TEST(EndToEnd, ServesARequestWithItsOutcomeHeaders)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const Answer answer = cluster.request(0, "phone-check", "is table 7 free?");
    EXPECT_EQ(200, answer.status);
    EXPECT_EQ("done", answer.outcome());
    EXPECT_EQ("is table 7 free?", answer.json()["echo"]);
    EXPECT_EQ(answer.fields.get(Field::REQUEST), answer.json()["request"]);
    EXPECT_EQ(1U, cluster.runsOfBody("is table 7 free?"));
}

TEST(EndToEnd, KeepsServingAfterSighup)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    for (int i = 0; i < 2; ++i) {
        cluster.instances[0]->signal(SIGHUP);
        EXPECT_EQ(200, cluster.request(0, "phone-check", "still there?").status);
    }
    EXPECT_FALSE(cluster.instances[0]->waitForExit(Millis(300)).has_value());
}

TEST(EndToEnd, RunsATwoPartJobOnBothWorkers)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const Answer submitted = cluster.submitJob(0, "route-plan", {{"depot", "bergen"}});
    ASSERT_EQ(202, submitted.status) << submitted.body;
    const std::string job = submitted.json()["job"];
    // The other instance reports the same state.
    EXPECT_EQ("succeeded", cluster.waitForJobEnd(1, job));
    for (const auto &worker : cluster.workers) {
        const auto spans = worker->spans();
        ASSERT_EQ(1U, spans.size());
        EXPECT_EQ(job, spans[0].job);
        EXPECT_EQ("succeeded", spans[0].ending);
    }
}

TEST(EndToEnd, AppliesAConfigurationAtTheOtherInstance)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    Json config = sampleConfig();
    config["templates"]["late-check"] = config["templates"]["phone-check"];
    EXPECT_EQ(404, cluster.request(1, "late-check", "x").status);
    const Answer put = cluster.putConfig(0, config, 1);
    ASSERT_EQ(200, put.status) << put.body;
    EXPECT_EQ(2, put.json()["version"]);
    EXPECT_TRUE(
        Cluster::eventually([&] { return cluster.request(1, "late-check", "x").status == 200; }, Millis(4'000)));
}

TEST(EndToEnd, ExitsCleanlyOnSigterm)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    for (const auto &instance : cluster.instances) {
        instance->signal(SIGTERM);
    }
    for (const auto &instance : cluster.instances) {
        EXPECT_EQ(0, instance->waitForExit(Millis(8'000)));
    }
}

} // namespace

} // namespace Papaya::Testing
