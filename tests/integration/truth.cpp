#include "cluster.h"

#include "base/digest.h"

#include <gtest/gtest.h>

// Tests that every caller gets the complete answer to its own request, or a correct statement of why there is none.

namespace Papaya::Testing
{

namespace
{

using Call = std::pair<Endpoint, HttpRequest>;

Call makeCall(const Cluster &cluster, std::size_t instance, const std::string &templateName, const std::string &body)
{
    HttpRequest request {"POST", "/v1/requests/" + templateName, {}, body};
    request.fields.set(Field::TEAM, "bookings");
    return {cluster.callers(instance), request};
}

std::vector<Call> makeCalls(const Cluster &cluster, const std::string &templateName, std::size_t count)
{
    std::vector<Call> calls;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string body = templateName + " body " + std::to_string(i) + std::string(i % 700, 'x');
        calls.push_back(makeCall(cluster, i % cluster.instances.size(), templateName, body));
    }
    return calls;
}

/** Checks each answer against its call and against the runs that the minions recorded. */
void expectConsistentAnswers(const Cluster &cluster, const std::vector<Call> &calls, const std::vector<Answer> &answers)
{
    std::map<std::string, std::size_t> runs;
    for (const auto &minion : cluster.minions) {
        for (const Standins::MinionRun &run : minion->runs()) {
            ++runs[run.request];
        }
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const Answer &answer = answers[i];
        const std::string id = answer.fields.get(Field::REQUEST);
        if (answer.status == 200) {
            EXPECT_EQ(calls[i].second.body, answer.json().value("echo", ""));
            EXPECT_EQ(id, answer.json().value("request", ""));
            EXPECT_GE(runs[id], 1U);
        } else if (answer.outcome() == "not-run") {
            EXPECT_EQ(0U, runs[id]) << answer.body;
        }
    }
}

/** @return the number of answers with each status and reason, for the message of a failed check. */
std::string countByReason(const std::vector<Answer> &answers)
{
    std::map<std::string, std::size_t> counts;
    for (const Answer &answer : answers) {
        ++counts[std::to_string(answer.status) + " " + answer.reason()];
    }
    return Json(counts).dump();
}

std::size_t countStatus(const std::vector<Answer> &answers, int status)
{
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [status](const Answer &a) { return a.status == status; }));
}

/** Opens keep-alive connections to the minions, which the next requests use. */
void warmUpConnections(Cluster &cluster)
{
    cluster.callAll(makeCalls(cluster, "phone-check", 60), Millis(5'000));
}

/** Checks that 40 requests are answered within 3 s, each with its own answer. */
void expectRecovery(Cluster &cluster)
{
    const auto calls = makeCalls(cluster, "phone-check", 40);
    const auto answers = cluster.callAll(calls, Millis(3'000));
    EXPECT_EQ(40U, countStatus(answers, 200)) << countByReason(answers);
    expectConsistentAnswers(cluster, calls, answers);
}

TEST(RequestService, GivesEachCallerItsOwnAnswerWhenMinionAnswersAreCrossedLateOrTruncated)
{
    Cluster cluster({.proxyMinions = true});
    cluster.start(sampleConfig());
    cluster.setMinionFaults(
        {.delayMs = 10, .jitterMs = 20, .mismatchedAnswers = 10, .closeAfterRun = 10, .lateAnswers = 5});
    cluster.minionProxies[0]->cutAnswersAfter(5'000);
    const auto calls = makeCalls(cluster, "phone-check", 400);
    const auto answers = cluster.callAll(calls, Millis(5'000));
    expectConsistentAnswers(cluster, calls, answers);
    // Retries, within their budget, make up for most of the faults.
    EXPECT_GE(countStatus(answers, 200), 320U) << countByReason(answers);
    EXPECT_EQ(0U, countStatus(answers, 0));
}

TEST(RequestService, NeverRunsARequestThatItReportedAsNotRun)
{
    Cluster cluster({.minions = 2, .slots = 2, .proxyMinions = true});
    Json config = sampleConfig();
    config["teams"]["bookings"]["limits"] = {{"queued", 40}, {"inFlight", 4}};
    cluster.start(config);
    cluster.setMinionFaults({.delayMs = 60});
    // An overload of requests that must not be retried, while one minion fails and later recovers.
    const auto calls = makeCalls(cluster, "book-table", 500);
    std::thread killer([&] {
        Cluster::eventually([&] { return cluster.minions[1]->runs().size() >= 6; });
        cluster.minionProxies[1]->setRefuse(true);
        cluster.minionProxies[1]->cutOpen();
        const std::size_t before = cluster.minions[0]->runs().size();
        Cluster::eventually([&] { return cluster.minions[0]->runs().size() >= before + 10; });
        cluster.minionProxies[1]->setRefuse(false);
    });
    const auto answers = cluster.callAll(calls, Millis(8'000));
    killer.join();
    expectConsistentAnswers(cluster, calls, answers);
    EXPECT_GT(countStatus(answers, 200), 20U) << countByReason(answers);
    EXPECT_GT(countStatus(answers, 429) + countStatus(answers, 503), 50U);
    for (const Call &call : calls) {
        EXPECT_LE(cluster.runsOfBody(call.second.body), 1U);
    }
}

TEST(RequestService, RecoversWithinTheDeadlineWhenOpenConnectionsToMinionsStopAnswering)
{
    Cluster cluster({.proxyMinions = true});
    cluster.start(sampleConfig());
    warmUpConnections(cluster);
    for (const auto &proxy : cluster.minionProxies) {
        proxy->silenceOpen();
    }
    expectRecovery(cluster);
}

TEST(RequestService, RecoversWhenConnectionsToMinionsAreHalfOpen)
{
    Cluster cluster({.proxyMinions = true});
    cluster.start(sampleConfig());
    warmUpConnections(cluster);
    for (const auto &proxy : cluster.minionProxies) {
        proxy->halfOpen();
    }
    expectRecovery(cluster);
}

TEST(RequestService, RecoversWhenOpenConnectionsToTheLogStopAnswering)
{
    Cluster cluster({.proxyLog = true});
    cluster.start(sampleConfig());
    ASSERT_EQ(200, cluster.request(0, "book-table", "before", "key-before").status);
    cluster.logProxies[0]->silenceOpen();
    EXPECT_EQ(200, cluster.request(0, "book-table", "after", "key-after").status);
    EXPECT_EQ(202, cluster.submitJob(0, "small-study", Json::object()).status);
}

TEST(RequestService, ServesRequestsWithoutAKeyWhileTheLogIsUnavailable)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    cluster.log.setFaults({.outage = true});
    EXPECT_EQ(200, cluster.request(0, "phone-check", "a").status);
    EXPECT_EQ(200, cluster.request(1, "book-table", "b").status);
    const Answer keyed = cluster.request(0, "book-table", "c", "key-c");
    // Only the log tells whether an earlier request with the key has run.
    EXPECT_EQ(502, keyed.status);
    EXPECT_EQ("unknown", keyed.outcome());
    EXPECT_EQ("key-log-out", keyed.reason());
    EXPECT_EQ(0U, cluster.runsOfBody("c"));
    cluster.log.setFaults({});
    EXPECT_EQ(200, cluster.request(1, "book-table", "c", "key-c").status);
    EXPECT_EQ(1U, cluster.runsOfBody("c"));
}

TEST(RequestService, HidesJobsAndStoredAnswersOfATeamFromOtherTeams)
{
    Cluster cluster;
    Json config = sampleConfig();
    config["teams"]["bookings"]["tokenDigests"] = {"sha256:" + sha256Hex("secret-one")};
    config["teams"]["archive"]["tokenDigests"] = {"sha256:" + sha256Hex("secret-two")};
    config["templates"]["archive-once"] = {
        {"team", "archive"}, {"kind", "request"}, {"idempotent", false}, {"deadlineMs", 4'000}};
    cluster.start(config);
    const auto call = [&](const std::string &method, const std::string &path, const std::string &token,
                          const std::string &body, const std::string &key = "") {
        HttpRequest request {method, path, {}, body};
        request.fields.set(Field::AUTHORIZATION, "Bearer " + token);
        if (!key.empty()) {
            request.fields.set(Field::IDEMPOTENCY_KEY, key);
        }
        return cluster.call(cluster.callers(0), request);
    };
    const Answer job = call("POST", "/v1/jobs", "secret-one", R"({"template": "small-study"})");
    ASSERT_EQ(202, job.status) << job.body;
    const std::string path = "/v1/jobs/" + job.json()["job"].get<std::string>();
    EXPECT_EQ(200, call("GET", path, "secret-one", "").status);
    EXPECT_EQ(404, call("GET", path, "secret-two", "").status);
    EXPECT_EQ(404, call("DELETE", path, "secret-two", "").status);
    EXPECT_EQ(401, call("GET", path, "secret-three", "").status);
    EXPECT_EQ(0U, call("GET", "/v1/jobs", "secret-two", "").json()["jobs"].size());
    // Idempotency keys are scoped to their team.
    const Answer first = call("POST", "/v1/requests/book-table", "secret-one", "mine", "key");
    const Answer second = call("POST", "/v1/requests/archive-once", "secret-two", "mine", "key");
    EXPECT_EQ(200, first.status) << first.body;
    EXPECT_EQ(200, second.status) << second.body;
    EXPECT_EQ("", second.fields.get(Field::REPLAYED));
}

TEST(RequestService, RejectsBadInputWithAStatusCodeAndKeepsServing)
{
    Cluster cluster;
    cluster.start(sampleConfig());
    const auto post = [&](const std::string &path, const std::string &body, const std::string &team) {
        HttpRequest request {"POST", path, {}, body};
        request.fields.set(Field::TEAM, team);
        return cluster.call(cluster.callers(0), request);
    };
    EXPECT_EQ(401, post("/v1/requests/phone-check", "x", "nobody").status);
    EXPECT_EQ(404, post("/v1/requests/no-such", "x", "bookings").status);
    EXPECT_EQ(404, post("/v1/requests/phone-check", "x", "archive").status);
    EXPECT_EQ(400, post("/v1/requests/route-plan", "x", "bookings").status);
    EXPECT_EQ(404, post("/no/such/path", "x", "bookings").status);
    EXPECT_EQ(413, post("/v1/requests/phone-check", std::string(2'000'000, 'x'), "bookings").status);
    EXPECT_EQ(400, post("/v1/jobs", "{", "bookings").status);
    EXPECT_EQ(400, post("/v1/jobs", std::string(50'000, '['), "bookings").status);
    EXPECT_EQ(400, post("/v1/jobs", R"({"template": 7})", "bookings").status);
    EXPECT_EQ(422, post("/v1/jobs", R"({"template": "too-large"})", "bookings").status);
    const Answer undeclared =
        post("/v1/jobs", R"({"template": "route-plan", "parameters": {"depot": "x", "dept": "y"}})", "bookings");
    EXPECT_EQ(400, undeclared.status);
    EXPECT_EQ("parameters.dept", undeclared.json()["error"]["path"]);
    const Answer mistyped = post("/v1/jobs", R"({"template": "route-plan", "parameters": {"depot": 7}})", "bookings");
    EXPECT_EQ("parameters.depot", mistyped.json()["error"]["path"]);
    HttpRequest deadline {"POST", "/v1/requests/phone-check", {}, "x"};
    deadline.fields.set(Field::TEAM, "bookings");
    deadline.fields.set(Field::DEADLINE_MS, "-5");
    EXPECT_EQ(400, cluster.call(cluster.callers(0), deadline).status);
    EXPECT_EQ(200, cluster.request(0, "phone-check", "still served").status);
}

} // namespace

} // namespace Papaya::Testing
