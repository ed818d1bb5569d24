#include "cluster.h"

#include <gtest/gtest.h>

// Tests that an accepted configuration is in force at every instance within seconds and never reverts.

namespace Papaya::Testing
{

namespace
{

constexpr Millis IN_FORCE_LIMIT {4'000};

Json configNumber(int number)
{
    Json config = sampleConfig();
    config["teams"]["bookings"]["limits"]["queuedJobs"] = 100 + number;
    return config;
}

std::uint64_t versionAt(Cluster &cluster, std::size_t instance)
{
    const Json status = cluster.adminStatus(instance);
    return status.is_object() ? status.value("configVersion", std::uint64_t(0)) : 0;
}

TEST(Configuration, ReachesAnInstanceThatIsCutOffFromTheLog)
{
    Cluster cluster({.instances = 3, .proxyLog = true});
    cluster.start(sampleConfig());
    cluster.logProxies[2]->setSilent(true);
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(1), 1).status);
    EXPECT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 2) == 2; }, IN_FORCE_LIMIT));
    cluster.logProxies[2]->setSilent(false);
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(2), 2).status);
    EXPECT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 2) == 3; }, IN_FORCE_LIMIT));
}

TEST(Configuration, ReportsTheVersionOfEachInstanceAndNullForAnUnreachableOne)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    const auto reports = [&](const Json &expected) {
        const Json config = cluster.call(cluster.admin(0), {"GET", "/admin/config", {}, ""}).json();
        return config["instances"] == expected && cluster.adminStatus(0)["instances"] == expected;
    };
    EXPECT_TRUE(Cluster::eventually([&] { return reports({{"entry-0", 1}, {"entry-1", 1}, {"entry-2", 1}}); }));
    cluster.instances[2]->signal(SIGSTOP);
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(1), 1).status);
    EXPECT_TRUE(Cluster::eventually([&] { return reports({{"entry-0", 2}, {"entry-1", 2}, {"entry-2", nullptr}}); }));
    cluster.instances[2]->signal(SIGCONT);
    EXPECT_TRUE(Cluster::eventually([&] { return reports({{"entry-0", 2}, {"entry-1", 2}, {"entry-2", 2}}); }));
}

TEST(Configuration, AcceptsExactlyOneOfTwoConcurrentUpdates)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    for (std::uint64_t round = 1; round <= 15; ++round) {
        std::vector<std::pair<Endpoint, HttpRequest>> calls;
        for (std::size_t i = 0; i < 2; ++i) {
            HttpRequest request {"PUT", "/admin/config", {}, configNumber(static_cast<int>(2 * round + i)).dump()};
            request.fields.set(Field::IF_MATCH, std::to_string(round));
            calls.emplace_back(cluster.admin(i), request);
        }
        const auto answers = cluster.callAll(calls, Millis(12'000));
        std::vector<int> statuses {answers[0].status, answers[1].status};
        std::sort(statuses.begin(), statuses.end());
        ASSERT_EQ((std::vector<int> {200, 409}), statuses);
        ASSERT_EQ(round + 1, answers[0].json()["version"]);
        ASSERT_TRUE(Cluster::eventually(
            [&] { return versionAt(cluster, 0) == round + 1 && versionAt(cluster, 1) == round + 1; }, IN_FORCE_LIMIT));
    }
}

TEST(Configuration, IsAppliedWhenTheLogLosesTheAnswer)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.log.setFaults({.loseAnswers = 1});
    EXPECT_EQ(200, cluster.putConfig(0, configNumber(1), 1).status);
    EXPECT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 1) == 2; }, IN_FORCE_LIMIT));
}

TEST(Configuration, NeverRevertsAcrossRestartsAndLogOutages)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(1), 1).status);
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(2), 2).status);
    ASSERT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 1) == 3 && versionAt(cluster, 2) == 3; }));
    // An instance that restarts during a log outage takes the version from a peer, and reports no older one before.
    cluster.log.setFaults({.outage = true});
    cluster.instances[1]->kill();
    cluster.startInstance(1);
    std::set<std::uint64_t> seen;
    EXPECT_TRUE(Cluster::eventually([&] {
        const std::uint64_t version = versionAt(cluster, 1);
        seen.insert(version);
        return version == 3;
    }));
    seen.erase(0);
    EXPECT_EQ((std::set<std::uint64_t> {3}), seen);
    EXPECT_EQ(200, cluster.request(1, "phone-check", "x").status);
    EXPECT_EQ(503, cluster.putConfig(1, configNumber(3), 3).status);
    cluster.log.setFaults({});
    // The next version reaches every instance only after it reads the log again; none reverts before.
    std::set<std::uint64_t> later;
    const auto inForceEverywhere = [&](std::uint64_t version) {
        std::set<std::uint64_t> now;
        for (std::size_t i = 0; i < 3; ++i) {
            now.insert(versionAt(cluster, i));
        }
        later.insert(now.begin(), now.end());
        return now == std::set<std::uint64_t> {version};
    };
    EXPECT_TRUE(inForceEverywhere(3));
    EXPECT_TRUE(Cluster::eventually([&] { return cluster.putConfig(1, configNumber(3), 3).status == 200; }));
    EXPECT_TRUE(Cluster::eventually([&] { return inForceEverywhere(4); }, IN_FORCE_LIMIT));
    EXPECT_EQ((std::set<std::uint64_t> {3, 4}), later);
}

TEST(Configuration, SurvivesTheExpiryOfItsLogRecord)
{
    Cluster cluster({.settings = {{"platform", {{"logRetentionMs", 3'000}}}, {"keyHorizonMs", 1'000}}});
    cluster.log.setFaults({.retentionMs = 3'000});
    cluster.start(sampleConfig());
    ASSERT_EQ(200, cluster.putConfig(0, configNumber(1), 1).status);
    const std::uint64_t end = cluster.log.kept("config").second;
    ASSERT_TRUE(Cluster::eventually([&] { return cluster.log.kept("config").first >= end; }));
    cluster.instances[1]->kill();
    cluster.startInstance(1);
    EXPECT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 1) == 2; }, IN_FORCE_LIMIT));
    EXPECT_EQ(2U, versionAt(cluster, 0));
}

TEST(Configuration, IgnoresAnInvalidRecordAtEveryInstanceAndReportsWhy)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.log.append("config", R"({"version": 9, "config": {"teams": {"a b": {}}, "templates": {}}})");
    cluster.log.append("config", "no json");
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(Cluster::eventually([&] {
            return cluster.adminStatus(i)["configIgnored"].value("reason", "").find("malformed") != std::string::npos;
        }));
        EXPECT_EQ(1U, versionAt(cluster, i));
        EXPECT_EQ(2, cluster.metric(i, "papayahall_config_ignored_total"));
    }
    // An operator may also append to the log directly, without naming the version to replace.
    cluster.log.append("config", Json {{"version", 7}, {"config", configNumber(1)}}.dump());
    EXPECT_TRUE(Cluster::eventually([&] { return versionAt(cluster, 0) == 7 && versionAt(cluster, 1) == 7; }));
}

TEST(Configuration, RejectsAnInvalidVersionAndListsThePathOfEveryError)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    Json config = sampleConfig();
    config["templates"]["phone-check"]["urgency"] = "very";
    config["templates"]["book-table"]["team"] = "nobody";
    config["floors"] = {{"urgent", 90}, {"normal", 20}};
    const Answer answer = cluster.putConfig(0, config, 1);
    EXPECT_EQ(400, answer.status);
    std::set<std::string> paths;
    const Json body = answer.json();
    for (const Json &error : body["errors"]) {
        paths.insert(error["path"].get<std::string>());
    }
    EXPECT_EQ((std::set<std::string> {"templates.phone-check.urgency", "templates.book-table.team", "floors"}), paths);
    EXPECT_EQ(1U, versionAt(cluster, 0));
}

} // namespace

} // namespace Papaya::Testing
