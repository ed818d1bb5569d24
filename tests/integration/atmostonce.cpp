#include "cluster.h"

#include <gtest/gtest.h>

#include <signal.h>

// Tests that a non-idempotent request runs at most once under every failure of minions, instances and the log.

namespace Papaya::Testing
{

namespace
{

using Call = std::pair<Endpoint, HttpRequest>;

Call keyedCall(const Cluster &cluster, std::size_t instance, const std::string &key)
{
    HttpRequest request {"POST", "/v1/requests/book-table", {}, "body of " + key};
    request.fields.set(Field::TEAM, "bookings");
    request.fields.set(Field::IDEMPOTENCY_KEY, key);
    return {cluster.callers(instance), request};
}

/** @return calls with @p count different keys to one instance. */
std::vector<Call> keyedCalls(const Cluster &cluster, std::size_t instance, std::size_t count)
{
    std::vector<Call> calls;
    calls.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        calls.push_back(keyedCall(cluster, instance, "key-" + std::to_string(i)));
    }
    return calls;
}

TEST(AtMostOnce, AnswersARepeatedKeyAtAnotherInstanceWithTheStoredAnswer)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const Answer first = cluster.request(0, "book-table", "table 7", "key-1");
    ASSERT_EQ(200, first.status) << first.body;
    const Answer second = cluster.request(1, "book-table", "table 7", "key-1");
    EXPECT_EQ(200, second.status) << second.body;
    EXPECT_EQ("1", second.fields.get(Field::REPLAYED));
    EXPECT_EQ(first.body, second.body);
    EXPECT_EQ(1U, cluster.runsOfBody("table 7"));
    EXPECT_EQ(422, cluster.request(1, "book-table", "table 8", "key-1").status);
}

TEST(AtMostOnce, RunsEachKeyOnceWhenCallersRepeatItAtAllInstancesConcurrently)
{
    Cluster cluster({.instances = 3});
    cluster.start(sampleConfig());
    std::vector<Call> calls;
    for (std::size_t key = 0; key < 30; ++key) {
        for (std::size_t instance = 0; instance < 3; ++instance) {
            calls.push_back(keyedCall(cluster, instance, "key-" + std::to_string(key)));
        }
    }
    const auto answers = cluster.callAll(calls, Millis(6'000));
    for (std::size_t i = 0; i < answers.size(); ++i) {
        EXPECT_EQ(200, answers[i].status) << answers[i].body;
        EXPECT_EQ(answers[i - i % 3].body, answers[i].body);
        EXPECT_EQ(1U, cluster.runsOfBody(calls[i].second.body));
    }
}

TEST(AtMostOnce, DoesNotRepeatARunWhoseMinionDiedAfterRunning)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setMinionFaults({.closeAfterRun = 20});
    std::vector<Call> calls;
    for (std::size_t i = 0; i < 100; ++i) {
        HttpRequest request {"POST", "/v1/requests/book-table", {}, "unkeyed " + std::to_string(i)};
        request.fields.set(Field::TEAM, "bookings");
        calls.emplace_back(cluster.callers(i % 2), request);
        calls.push_back(keyedCall(cluster, i % 2, "key-" + std::to_string(i)));
    }
    const auto answers = cluster.callAll(calls, Millis(6'000));
    std::size_t unknown = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        EXPECT_LE(cluster.runsOfBody(calls[i].second.body), 1U);
        unknown += answers[i].outcome() == "unknown" ? 1U : 0U;
    }
    // Exactly the runs whose minion died were reported as unknown.
    std::size_t deaths = 0;
    for (const auto &minion : cluster.minions) {
        deaths += static_cast<std::size_t>(20 - minion->faults().closeAfterRun);
    }
    EXPECT_EQ(deaths, unknown);
    EXPECT_GT(deaths, 30U);
}

TEST(AtMostOnce, DoesNotRunAKeyAgainWhoseInstanceWasKilled)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setMinionFaults({.delayMs = 600});
    std::vector<Call> calls = keyedCalls(cluster, 0, 10);
    std::thread killer([&] {
        Cluster::eventually([&] { return cluster.runsOfBody("body of key-0") > 0; });
        cluster.instances[0]->kill();
    });
    cluster.callAll(calls, Millis(3'000));
    killer.join();
    // Repeats at the other instance, at once and again later: the outcome is not known, and no request runs again.
    for (int round = 0; round < 2; ++round) {
        for (Call &call : calls) {
            call.first = cluster.callers(1);
            call.second.fields.set(Field::DEADLINE_MS, "500");
        }
        for (const Answer &answer : cluster.callAll(calls, Millis(3'000))) {
            EXPECT_TRUE(answer.status == 200 || answer.outcome() == "unknown") << answer.status << answer.body;
        }
    }
    for (const Call &call : calls) {
        EXPECT_LE(cluster.runsOfBody(call.second.body), 1U);
    }
}

TEST(AtMostOnce, HoldsWhenTheLogAppendsRecordsButLosesItsAnswers)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.log.setFaults({.loseAnswers = 6});
    std::vector<Call> calls;
    for (std::size_t i = 0; i < 40; ++i) {
        calls.push_back(keyedCall(cluster, i % 2, "key-" + std::to_string(i / 2)));
    }
    for (const Answer &answer : cluster.callAll(calls, Millis(6'000))) {
        EXPECT_EQ(200, answer.status) << answer.body;
    }
    for (const Call &call : calls) {
        EXPECT_EQ(1U, cluster.runsOfBody(call.second.body));
    }
}

TEST(AtMostOnce, ReleasesAKeyThatWasClaimedButNeverForwarded)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    // The log appends the claim of the key but does not answer before the deadline of the first caller.
    cluster.log.setFaults({.silent = true});
    Call call = keyedCall(cluster, 0, "key-1");
    call.second.fields.set(Field::DEADLINE_MS, "700");
    const Answer refused = cluster.call(call.first, call.second);
    EXPECT_EQ("unknown", refused.outcome()) << refused.body;
    EXPECT_EQ("key-log-out", refused.reason());
    cluster.log.setFaults({});
    EXPECT_EQ(0U, cluster.runsOfBody("body of key-1"));
    const Call again = keyedCall(cluster, 1, "key-1");
    EXPECT_TRUE(Cluster::eventually([&] { return cluster.call(again.first, again.second).status == 200; }));
    EXPECT_EQ(1U, cluster.runsOfBody("body of key-1"));
}

TEST(AtMostOnce, ReportsUnknownForARepeatedKeyAtAnInstanceThatCannotReadTheLog)
{
    ClusterOptions options;
    options.proxyLog = true;
    Cluster cluster(options);
    cluster.start(sampleConfig());
    cluster.logProxies[1]->setSilent(true);
    ASSERT_EQ(200, cluster.request(0, "book-table", "body", "key-1").status);
    Call repeat = keyedCall(cluster, 1, "key-1");
    repeat.second.fields.set(Field::DEADLINE_MS, "700");
    const Answer answer = cluster.call(repeat.first, repeat.second);
    EXPECT_EQ("unknown", answer.outcome()) << answer.body;
    EXPECT_EQ("key-log-out", answer.reason());
}

TEST(AtMostOnce, HoldsWhenAnInstanceIsFrozenPastAllDeadlinesAndResumed)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.setMinionFaults({.delayMs = 150});
    const std::vector<Call> calls = keyedCalls(cluster, 0, 20);
    std::thread freezer([&] {
        // By then, runs are in progress and none has been answered.
        Cluster::eventually([&] { return cluster.runsOfBody("body of key-0") > 0; });
        cluster.instances[0]->signal(SIGSTOP);
    });
    std::thread callers([&] { cluster.callAll(calls, Millis(8'000)); });
    freezer.join();
    std::vector<Call> repeats = calls;
    for (Call &call : repeats) {
        call.first = cluster.callers(1);
    }
    // The repeated calls end only after the deadlines of the first callers.
    cluster.callAll(repeats, Millis(5'000));
    cluster.instances[0]->signal(SIGCONT);
    callers.join();
    cluster.callAll(repeats, Millis(5'000));
    for (const Call &call : calls) {
        EXPECT_LE(cluster.runsOfBody(call.second.body), 1U);
    }
}

TEST(AtMostOnce, HoldsAcrossARestartOfAllInstances)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const Answer first = cluster.request(0, "book-table", "table 9", "key-9");
    ASSERT_EQ(200, first.status);
    // The outcome is in the log once the other instance can answer with it.
    ASSERT_EQ(200, cluster.request(1, "book-table", "table 9", "key-9").status);
    for (const auto &instance : cluster.instances) {
        instance->kill();
    }
    for (std::size_t i = 0; i < cluster.instances.size(); ++i) {
        cluster.startInstance(i);
    }
    Answer again;
    EXPECT_TRUE(Cluster::eventually([&] {
        again = cluster.request(1, "book-table", "table 9", "key-9");
        return again.status == 200;
    }));
    EXPECT_EQ(first.body, again.body);
    EXPECT_EQ(1U, cluster.runsOfBody("table 9"));
}

} // namespace

} // namespace Papaya::Testing
