#include "steps/admissionturns.h"
#include "steps/fillpace.h"
#include "steps/stepscheduler.h"
#include "steps/ticketbook.h"
#include "steps/upkeep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

// Tests the share of filling tasks beside services, the use of admission oracles, and the planning of maintenance
// waves.

namespace Papaya
{

namespace
{

constexpr std::int64_t REPORT_INTERVAL_MS = 500;
constexpr std::int64_t RECOVERY_LIMIT_MS = 4'000;

/**
 * Simulates a service whose tail latency is raised by the filling tasks on its minion.
 * @param tailMs tail latency without filling tasks
 * @param interferenceMs increase of the tail latency at the full share
 * @return time from the start to the last report above the target, in milliseconds
 */
std::int64_t lastOverTargetMs(FillPace &pace, std::int64_t tailMs, std::int64_t interferenceMs, std::int64_t durationMs)
{
    constexpr std::int64_t TARGET_MS = 100;
    std::int64_t lastMs = 0;
    for (std::int64_t now = 10'000; now < 10'000 + durationMs; now += REPORT_INTERVAL_MS) {
        const std::int64_t tail = tailMs + interferenceMs * pace.percent() / 100;
        lastMs = tail > TARGET_MS ? now - 10'000 : lastMs;
        pace.observe({{tail, TARGET_MS}}, now);
    }
    return lastMs;
}

TEST(FillPace, BringsTailLatencyBelowTargetInTimeForAnyInterference)
{
    for (const std::int64_t interferenceMs : {60, 200, 1'000, 10'000}) {
        FillPace pace;
        EXPECT_LT(lastOverTargetMs(pace, 60, interferenceMs, 4'500), RECOVERY_LIMIT_MS) << interferenceMs;
    }
}

TEST(FillPace, KeepsTheFullShareWhileTailLatencyStaysBelowTarget)
{
    FillPace pace;
    lastOverTargetMs(pace, 40, 30, 20'000);
    EXPECT_EQ(FillPace::FULL, pace.percent());
}

TEST(FillPace, HaltsFillingTasksWhileAServiceExceedsItsTargetAndResumesThemAfterwards)
{
    FillPace pace;
    lastOverTargetMs(pace, 120, 50, 5'000);
    EXPECT_EQ(0, pace.percent());
    for (std::int64_t now = 100'000; now < 120'000; now += REPORT_INTERVAL_MS) {
        pace.observe({{20, 100}}, now);
    }
    EXPECT_EQ(FillPace::FULL, pace.percent());
}

// Guards against an unanswered order that is carried out after the last confirmed one, which halted the task.
TEST(FillPace, RepeatsTheOrderWhileATargetIsExceededAndTheFillingTaskWorks)
{
    FillPace pace;
    lastOverTargetMs(pace, 120, 50, 5'000);
    ASSERT_EQ(0, pace.percent());
    EXPECT_TRUE(pace.needsOrder({0, 10'000, true}, 11'000));
    EXPECT_FALSE(pace.needsOrder({0, 10'900, true}, 11'000)) << "the report may be older than the order";
    EXPECT_FALSE(pace.needsOrder({0, 10'000, false}, 11'000)) << "it is halted";
    EXPECT_TRUE(pace.needsOrder({10, 10'000, false}, 11'000));
    pace.observe({{20, 100}}, 15'000); // raises the share
    EXPECT_FALSE(pace.needsOrder({pace.percent(), 10'000, true}, 16'000)) << "no target is exceeded";
}

const StepKey STEP {JobId("job"), 0, 0};
const MinionId GOOD("good");
const MinionId BAD("bad");

TEST(TicketBook, ReturnsATicketUntilItExpiresOrTheMinionRestarts)
{
    TicketBook tickets;
    EXPECT_FALSE(tickets.refused(STEP, BAD));
    tickets.add(STEP, {GOOD, BAD}, {{GOOD, "t1"}}, 5'000);
    EXPECT_EQ("t1", tickets.ticket(STEP, GOOD, 1'000));
    EXPECT_EQ("", tickets.ticket(STEP, GOOD, 4'900)); // would expire before the start arrives
    EXPECT_EQ("", tickets.ticket(STEP, BAD, 1'000));
    EXPECT_TRUE(tickets.refused(STEP, BAD));
    EXPECT_TRUE(tickets.admitted(STEP, GOOD));
    EXPECT_EQ("", tickets.ticket({JobId("job"), 0, 1}, GOOD, 1'000));
    tickets.expireAll(GOOD);
    EXPECT_EQ("", tickets.ticket(STEP, GOOD, 1'000));
    EXPECT_TRUE(tickets.admitted(STEP, GOOD));
    tickets.forget(JobId("job"));
    EXPECT_FALSE(tickets.admitted(STEP, GOOD));
}

/** A fleet of single-GPU minions, and a step of two tasks whose queue has an admission oracle. */
struct OracleScenario {
    explicit OracleScenario(std::size_t minionCount)
    {
        QueueConfig queue;
        queue.name = QueueName("with-oracle");
        queue.service = ServiceName("desk");
        queue.oracle = OracleTerms {};
        config.queues = {queue};
        for (std::size_t i = 0; i < minionCount; ++i) {
            MinionView minion;
            minion.id = MinionId("m" + std::to_string(i));
            minion.service = queue.service;
            minion.capacity = minion.free = {1'000, 1'000, 1};
            minions.push_back(minion);
        }
        StepJob job;
        job.id = STEP.job;
        job.queue = queue.name;
        job.service = queue.service;
        StepSpec step;
        step.count = 2;
        step.need = {1'000, 1'000, 1};
        job.spec.steps = {step};
        jobTable.apply(StepJobSubmitted {job});
    }

    PlanDecisions plan(std::int64_t now)
    {
        return planSteps({jobTable, config, times, tickets, minions, {}, {}, {}, now, now});
    }

    JobTable jobTable;
    DeploymentConfig config;
    RunTimes times;
    TicketBook tickets;
    std::vector<MinionView> minions;
};

TEST(StepsWithAnOracle, DoNotStartWithoutATicketAndQueryABoundedNumberOfMinions)
{
    OracleScenario scenario(250);
    const PlanDecisions decisions = scenario.plan(1'000);
    EXPECT_TRUE(decisions.starts.empty());
    ASSERT_EQ(1U, decisions.admissionQueries.size());
    EXPECT_EQ(STEP, decisions.admissionQueries[0].request.step);
    EXPECT_EQ(30U, decisions.admissionQueries[0].minions.size());
}

TEST(StepsWithAnOracle, QueryMinionsNotYetAnsweredAndThoseWithFreeCapacityFirst)
{
    OracleScenario scenario(4);
    scenario.minions[3].free = {};
    scenario.tickets.add(STEP, {scenario.minions[0].id, scenario.minions[1].id}, {{scenario.minions[1].id, "t"}},
                         10'000);
    const PlanDecisions decisions = scenario.plan(1'000);
    ASSERT_EQ(1U, decisions.starts.size());
    EXPECT_EQ(std::vector<std::size_t> {1}, decisions.starts[0].minions);
    ASSERT_EQ(1U, decisions.admissionQueries.size());
    // m0 has been refused and m1 admitted; m3 is full and comes last.
    const std::vector<MinionId> expected {scenario.minions[2].id, scenario.minions[3].id};
    EXPECT_EQ(expected, decisions.admissionQueries[0].minions);
    // A minion whose ticket has expired is queried again if it has free capacity.
    EXPECT_EQ(scenario.minions[1].id, scenario.plan(20'000).admissionQueries.at(0).minions.at(0));
}

// Guards against queries of steps that wait for room taking the turns of steps that have room.
TEST(StepsWithAnOracle, RenewTicketsOnlyIfTheyCouldStartWithThem)
{
    OracleScenario scenario(3);
    scenario.minions[0].free = {};
    const StepKey gang {JobId("gang"), 0, 0};
    StepJob job = scenario.jobTable.find(STEP.job)->job;
    job.id = gang.job;
    job.spec.steps[0].count = 3;
    job.spec.steps[0].gang = true;
    scenario.jobTable = JobTable();
    scenario.jobTable.apply(StepJobSubmitted {job});
    std::vector<MinionId> all;
    std::vector<AdmissionTicket> tickets;
    for (const MinionView &minion : scenario.minions) {
        all.push_back(minion.id);
        tickets.push_back({minion.id, "t"});
    }
    scenario.tickets.add(gang, all, tickets, 10'000);
    EXPECT_TRUE(scenario.plan(20'000).admissionQueries.empty()) << "there is room for two of three members";
    scenario.minions[0].free = scenario.minions[0].capacity;
    EXPECT_EQ(3U, scenario.plan(20'000).admissionQueries.at(0).minions.size());
}

AdmissionRequest admissionRequest(const std::string &job, std::size_t members = 1, bool couldStart = true)
{
    return {{JobId(job), 0, 0}, {QueueName("advised"), members, 1, 1, 1}, couldStart};
}

/** @return the job whose step is queried next, which takes its turn. */
std::string take(AdmissionTurns &turns, const std::vector<AdmissionRequest> &requests)
{
    const std::size_t index = turns.next(requests);
    turns.queried(requests[index]);
    return requests[index].step.job.value();
}

// Guards against a step that never gets a query because others need one all the time.
TEST(AdmissionTurns, PutStepsThatWereNeverQueriedFirstAndLetNoneWaitForever)
{
    const AdmissionRequest first = admissionRequest("first");
    const AdmissionRequest second = admissionRequest("second");
    AdmissionTurns turns;
    EXPECT_EQ("first", take(turns, {first, second}));
    EXPECT_EQ("second", take(turns, {first, second}));
    EXPECT_EQ("first", take(turns, {first, second}));
    EXPECT_EQ("second", take(turns, {first, second}));
    // Steps that are new and of higher rank arrive faster than the oracle answers.
    std::uint64_t waited = 0;
    for (int i = 0; take(turns, {admissionRequest("n" + std::to_string(i)), first}) != "first"; ++i) {
        ++waited;
    }
    EXPECT_LT(waited, AdmissionTurns::OLDEST_INTERVAL);
    for (int i = 0; i < 10; ++i) {
        turns.forget(JobId("n" + std::to_string(i)));
    }
    turns.forget(JobId("first"));
    EXPECT_EQ(1U, turns.size());
}

// Guards against small jobs that wait until the oracle has answered the first queries of all like gangs before them, of
// which none can start.
TEST(AdmissionTurns, PutAKindOfStepThatTheOracleAdmitsBeforeOnesThatItDoesNot)
{
    constexpr int GANGS = 80;
    AdmissionTurns turns;
    std::vector<AdmissionRequest> waiting;
    waiting.reserve(GANGS);
    for (int i = 0; i < GANGS; ++i) {
        waiting.push_back(admissionRequest("gang" + std::to_string(i), 5));
    }
    std::uint64_t queries = 0;
    const auto takeFirst = [&](std::vector<AdmissionRequest> &from) {
        std::string job = take(turns, from);
        std::erase_if(from, [&job](const AdmissionRequest &request) { return request.step.job.value() == job; });
        ++queries;
        return job;
    };
    for (int i = 0; i < GANGS / 2; ++i) {
        takeFirst(waiting);
    }
    queries = 0;
    for (int i = 0; i < 12; ++i) {
        const std::string small = "small" + std::to_string(i);
        waiting.push_back(admissionRequest(small));
        while (takeFirst(waiting) != small) {}
        turns.started({JobId(small), 0, 0});
    }
    EXPECT_LE(queries, 12 * AdmissionTurns::OLDEST_INTERVAL / (AdmissionTurns::OLDEST_INTERVAL - 1) + 1);
}

// Guards against steps that could start at once and wait for the first queries of steps that could not.
TEST(AdmissionTurns, PutStepsThatCouldStartBeforeOthers)
{
    AdmissionTurns turns;
    EXPECT_EQ("fits", take(turns, {admissionRequest("full", 1, false), admissionRequest("fits")}));
}

UpkeepCandidate candidate(const std::string &name, std::size_t running, std::int64_t lossMs, std::int64_t reservedMs)
{
    UpkeepCandidate machine;
    machine.machine = MachineId(name);
    machine.running = running;
    machine.lossMs = lossMs;
    machine.reservedMs = reservedMs;
    return machine;
}

TEST(Upkeep, BeginsWithIdleMachinesAndLetsWorkEndWhileTimeRemains)
{
    const auto decisions = planUpkeep(
        2, 0, {candidate("busy", 3, 9'000, -1), candidate("idle", 0, 0, -1), candidate("light", 1, 1'000, -1)}, 60'000);
    EXPECT_EQ((std::vector<MachineId> {MachineId("idle"), MachineId("light")}), decisions.reserve);
    EXPECT_EQ(std::vector<MachineId> {MachineId("idle")}, decisions.begin);
    EXPECT_TRUE(decisions.vacate.empty());
}

TEST(Upkeep, StopsWorkOnceTheWaveIsLateAndBeginsAfterProgressIsSaved)
{
    UpkeepCandidate late = candidate("late", 2, 5'000, 0);
    EXPECT_EQ(std::vector<MachineId> {late.machine}, planUpkeep(1, 0, {late}, -1'000).vacate);
    late.vacatedMs = 200;
    EXPECT_TRUE(planUpkeep(1, 0, {late}, -1'000).begin.empty());
    late.vacatedMs = 1'500;
    EXPECT_EQ(std::vector<MachineId> {late.machine}, planUpkeep(1, 0, {late}, -1'000).begin);
}

RC_GTEST_PROP(Upkeep, NeverExceedsItsMaximumNorADisruptionBudget, ())
{
    const auto maximum = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto down = *rc::gen::inRange<std::uint32_t>(0, 6);
    std::vector<UpkeepCandidate> pending;
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t i = 0; i < count; ++i) {
        UpkeepCandidate machine = candidate("m" + std::to_string(i), *rc::gen::inRange<std::size_t>(0, 3),
                                            *rc::gen::inRange(0, 9'000), *rc::gen::inRange(-1, 20'000));
        machine.vacatedMs = *rc::gen::inRange(-1, 3'000);
        machine.up = *rc::gen::arbitrary<bool>();
        machine.overBudget = *rc::gen::arbitrary<bool>();
        pending.push_back(machine);
    }
    const auto decisions = planUpkeep(maximum, down, pending, *rc::gen::inRange(-10'000, 90'000));
    RC_ASSERT(decisions.begin.size() + std::min(down, maximum) <= maximum);
    for (const MachineId &machine : decisions.begin) {
        const auto found = std::find_if(pending.begin(), pending.end(),
                                        [&](const UpkeepCandidate &item) { return item.machine == machine; });
        RC_ASSERT(found->up && !found->overBudget);
        RC_ASSERT(found->running == 0 || found->vacatedMs > 0);
    }
}

TEST(Upkeep, CountsUnavailableAndAffectedTasksAgainstTheDisruptionBudget)
{
    EXPECT_FALSE(exceedsBudget(0, 5, 1)); // no limit
    EXPECT_FALSE(exceedsBudget(2, 1, 1));
    EXPECT_TRUE(exceedsBudget(2, 1, 2));
    EXPECT_TRUE(exceedsBudget(1, 1, 1));
    EXPECT_FALSE(exceedsBudget(1, 1, 0)); // no further task is affected
}

TEST(JobRecord, KeepsTheProgressOfAWaveAndRejectsMalformedProgress)
{
    WaveProgress wave {
        WaveNumber(12), 99, {{MachineId("m-1"), UpkeepState::Begun}, {MachineId("m-2"), UpkeepState::Done}}};
    const StoredRecord stored = encodeRecord(wave);
    const auto decoded = decodeRecord(stored.key, stored.value);
    ASSERT_TRUE(decoded);
    JobTable jobTable;
    jobTable.apply(*decoded);
    EXPECT_EQ(wave.machines, jobTable.waves().at(wave.number).machines);
    EXPECT_EQ(99, jobTable.waves().at(wave.number).firstSeenMs);
    EXPECT_FALSE(decodeRecord("w/x", stored.value));
    EXPECT_FALSE(decodeRecord("w/3", "junk"));
}

} // namespace

} // namespace Papaya
