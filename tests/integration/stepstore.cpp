#include "deployment.h"

#include <gtest/gtest.h>

#include <csignal>

// Tests nodes while the platform's store is busy, does not answer, has been compacted, loses answers or appends late,
// and their handling of configuration versions and signals.

namespace Papaya::Testing
{

namespace
{

using Standins::StoreFaults;

TEST(StepStore, ThatIsBusyForAWhileLosesNoAcceptedJobAndNoRefusedJobRuns)
{
    Deployment deployment;
    deployment.start();
    const std::string before = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", before, {Deployment::step(3)}, {{"workMs", 1'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(before, 3));
    StoreFaults busy;
    busy.busy = true;
    deployment.store.setFaults(busy);
    const std::string refused = deployment.newId();
    EXPECT_EQ(503, deployment.submit(0, "plan", refused, {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    ASSERT_TRUE(deployment.waitForState("plan", before, "completed"));
    EXPECT_EQ(3U, deployment.runs.of(before).size());
    EXPECT_TRUE(deployment.runs.of(refused).empty());
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.ready(1); }));
}

// Guards against a node that reads one page of the newest records again and again.
TEST(StepStore, WithMoreThanAPageOfRecordsIsReadToItsEnd)
{
    constexpr int RECORDS = 1'200; // a page has 500
    Deployment deployment;
    for (int i = 0; i < RECORDS; ++i) {
        deployment.store.put("keyed.journal", "u/other writer/" + std::to_string(i), "-");
    }
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}).status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

// Guards against an append of all changes of a pass that the store refuses for its size again and again: no job of
// anybody ran any more.
TEST(StepStore, WithALimitOnAppendsKeepsNoSmallJobWaitingBehindALargeOne)
{
    Deployment deployment;
    StoreFaults limited;
    limited.callBytes = 600'000; // the records of one pass over the large job take 700,000
    deployment.store.setFaults(limited);
    deployment.start();
    const Json step = Deployment::step(7'000, {1, 2, 0});
    ASSERT_EQ(200, deployment.submit(0, "batch", deployment.newId(), {step, step}, {{"workMs", 1'000}}).status);
    std::this_thread::sleep_for(Millis(1'000));
    const std::string small = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", small, {Deployment::step(1)}).status);
    EXPECT_TRUE(deployment.waitForState("plan", small, "completed", Millis(20'000)));
}

// Guards against a job that is accepted although no record of it can be stored.
TEST(StepStore, WithALimitOnRecordsLetsNoJobAboveItBeAccepted)
{
    Deployment deployment;
    deployment.start();
    const Json step = Deployment::step(1, {}, {{"image", std::string(300, 'x')}});
    const std::vector<Json> steps(1'000, step);
    const Answer answer = deployment.submit(0, "plan", deployment.newId(), steps);
    EXPECT_EQ(400, answer.status);
    EXPECT_NE(std::string::npos, answer.body.find("job-too-large")) << answer.body;
}

TEST(StepStore, ThatDoesNotAnswerMakesASubmissionTimeOutRatherThanBeRefused)
{
    Deployment deployment;
    deployment.start();
    StoreFaults silent;
    silent.silent = true;
    deployment.store.setFaults(silent);
    EXPECT_EQ(504, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    const std::string after = deployment.newId();
    EXPECT_TRUE(
        Cluster::eventually([&] { return deployment.submit(0, "plan", after, {Deployment::step(1)}).status == 200; }));
    EXPECT_TRUE(deployment.waitForState("plan", after, "completed"));
}

TEST(StepStore, ThatIsSlowStillTakesAndStartsJobs)
{
    Deployment deployment;
    deployment.start();
    ASSERT_EQ(200, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    StoreFaults slow;
    slow.delayMs = 250;
    slow.appendMs = 500;
    deployment.store.setFaults(slow);
    std::string id;
    const auto newJobIsTaken = [&] {
        id = deployment.newId();
        return deployment.submit(0, "plan", id, {Deployment::step(1)}).status == 200;
    };
    EXPECT_TRUE(Cluster::eventually(newJobIsTaken, Millis(6'000)));
    EXPECT_TRUE(deployment.waitForRunCount(id, 1));
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

TEST(StepStore, ThatLosesAnAnswerAndIsThenBusyMakesASubmissionTimeOutRatherThanBeRefused)
{
    Deployment deployment;
    deployment.start();
    // A call before the fault leaves an open connection, on which the client could resend the next call after a lost
    // answer. It must not, since a refusal of the second attempt says nothing about the first.
    ASSERT_EQ(200, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    StoreFaults faults;
    faults.loseAnswers = 1;
    faults.busyAfterLoss = true;
    deployment.store.setFaults(faults);
    const std::string id = deployment.newId();
    EXPECT_EQ(504, deployment.submit(0, "plan", id, {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

TEST(StepStore, ThatLosesAnswersOrAppendsLateDuplicatesNoTask)
{
    Deployment deployment;
    deployment.start();
    std::vector<std::string> ids;
    for (int i = 0; i < 12; ++i) {
        StoreFaults faults;
        faults.loseAnswers = i % 3 == 0 ? 2 : 0;
        faults.lateAppends = i % 3 == 1 ? 2 : 0;
        faults.lateMs = 700;
        deployment.store.setFaults(faults);
        ids.push_back(deployment.newId());
        const int status =
            deployment.submit(static_cast<std::size_t>(i % 2), "plan", ids.back(), {Deployment::step(2)}).status;
        EXPECT_TRUE(status == 200 || status == 504) << status;
    }
    deployment.store.setFaults({});
    for (const std::string &id : ids) {
        EXPECT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(2)}).status);
        EXPECT_TRUE(deployment.waitForState("plan", id, "completed", Millis(10'000)));
        EXPECT_EQ(2U, deployment.doneRuns(id));
    }
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepStore, ThatHasBeenCompactedStillHoldsAllJobs)
{
    Deployment deployment;
    deployment.start();
    const std::string done = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", done, {Deployment::step(2)}).status);
    ASSERT_TRUE(deployment.waitForState("plan", done, "completed"));
    const std::string open = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", open, {Deployment::step(2)}, {{"workMs", 3'000}}).status);
    ASSERT_TRUE(deployment.waitForRunCount(open, 2));
    for (const char *topic : {"keyed.journal", "keyed.op", "keyed.servers"}) {
        deployment.store.compact(topic);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        deployment.nodes[i]->kill();
        deployment.startNode(i);
    }
    ASSERT_TRUE(Cluster::eventually([&] { return deployment.ready(0) && deployment.ready(1); }));
    EXPECT_EQ("completed", deployment.state(0, "plan", done));
    EXPECT_TRUE(deployment.waitForState("plan", open, "completed", Millis(15'000)));
    EXPECT_TRUE(deployment.runs.doubled().empty());
}

TEST(StepStore, ThatIsBusyWhenANodeStartsIsWaitedFor)
{
    Deployment deployment({1, 1});
    StoreFaults busy;
    busy.busy = true;
    deployment.store.setFaults(busy);
    deployment.configure();
    deployment.startNode(0);
    ASSERT_TRUE(
        Cluster::eventually([&] { return deployment.log(0).find("event=store-read-lost") != std::string::npos; }));
    EXPECT_FALSE(deployment.ready(0));
    EXPECT_EQ(503, deployment.submit(0, "plan", deployment.newId(), {Deployment::step(1)}).status);
    deployment.store.setFaults({});
    EXPECT_TRUE(Cluster::eventually([&] { return deployment.ready(0); }));
}

TEST(StepNodes, ApplyANewConfigurationWithinSecondsAndNeverRevertIt)
{
    Deployment deployment;
    deployment.start();
    const std::string old = deployment.store.newest("keyed.op", "config");
    deployment.configure([](Json &config) {
        Json route = config["routes"][0];
        route["name"] = route["pathPrefix"] = "/new/";
        config["routes"].push_back(route);
        config["tenants"][1]["apiKeys"] = Json::array();
    });
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(
            Cluster::eventually([&] { return deployment.call(i, "GET", "new", "").status == 200; }, Millis(2'000)));
        EXPECT_EQ(401, deployment.call(i, "GET", "plan", "", "", "key-b").status);
    }
    deployment.store.put("keyed.op", "config", old);
    deployment.store.put("keyed.op", "config", "{broken");
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(1)}).status);
    ASSERT_TRUE(deployment.waitForState("plan", id, "completed"));
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(
            Cluster::eventually([&] { return deployment.log(i).find("event=config-ignored") != std::string::npos; }));
        EXPECT_EQ(200, deployment.call(i, "GET", "new", "").status);
    }
}

TEST(StepNodes, ThatCannotReadTheConfigurationAtStartupTakeItFromTheJournal)
{
    Deployment deployment;
    deployment.start();
    deployment.configure([](Json &config) { config["tenants"][1]["apiKeys"] = {"key-new"}; });
    ASSERT_TRUE(Cluster::eventually(
        [&] { return deployment.store.newest("keyed.journal", "c").find("key-new") != std::string::npos; }));
    Standins::StoreFaults faults;
    faults.silentTopic = "keyed.op";
    deployment.store.setFaults(faults);
    for (std::size_t i = 0; i < 2; ++i) {
        deployment.nodes[i]->kill();
        deployment.startNode(i);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        EXPECT_TRUE(Cluster::eventually([&] { return deployment.ready(i); }, Millis(4'000))) << "node " << i;
    }
    const std::string id = deployment.newId();
    EXPECT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(2)}).status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
    EXPECT_EQ(401, deployment.call(1, "GET", "plan", "", "", "key-b").status);
    EXPECT_EQ(200, deployment.call(1, "GET", "plan", "", "", "key-new").status);
}

TEST(StepNodes, IgnoreMalformedMinionEntries)
{
    Deployment deployment({1, 2});
    deployment.store.put("keyed.servers", "i-bad-1", "not json");
    deployment.store.put("keyed.servers", "i-bad-2", R"({"service":"desk","address":7,"state":"ready"})");
    deployment.store.put(
        "keyed.servers", "i-bad-3",
        R"({"service":"desk","address":"127.0.0.1:1","zone":"z","state":"asleep","capacity":{},"labels":[]})");
    deployment.start();
    const std::string id = deployment.newId();
    ASSERT_EQ(200, deployment.submit(0, "plan", id, {Deployment::step(4)}).status);
    EXPECT_TRUE(deployment.waitForState("plan", id, "completed"));
}

TEST(StepNodes, ReloadTheirSettingsOnSighup)
{
    Deployment deployment({1, 1});
    deployment.start();
    deployment.nodes[0]->signal(SIGHUP);
    EXPECT_TRUE(
        Cluster::eventually([&] { return deployment.log(0).find("event=settings-reloaded") != std::string::npos; }));
    EXPECT_TRUE(deployment.ready(0));
}

} // namespace

} // namespace Papaya::Testing
