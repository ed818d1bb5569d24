#include "property/randomcluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// Invariants of every planning pass, for random fleets, guarantees, gangs, and losses and returns of workers, and
// examples of single rules.

namespace Papaya
{

namespace
{

bool satisfiesAdjacency(const FleetModel &fleet, const PartWorkers &workers, Adjacency adjacency)
{
    for (const WorkerGroup &group : fleet.groups(adjacency)) {
        const bool all = std::all_of(workers.begin(), workers.end(), [&](WorkerIndex worker) {
            return std::find(group.begin(), group.end(), worker) != group.end();
        });
        if (all) {
            return true;
        }
    }
    return false;
}

RC_GTEST_PROP(Scheduling, NeverOvercommitsAndPlacesGangsWholeWithinTheirAdjacency, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.changeJobs();
        const ScheduleDecision decision = cluster.runPass();
        const FleetModel after = occupiedFleet(cluster.view());
        for (WorkerIndex i = 0; i < after.size(); ++i) {
            RC_ASSERT(!after.overcommitted(i));
        }
        for (const PlaceDecision &placement : decision.placements) {
            for (const RunningGang &gang : cluster.view().running) {
                if (gang.job == placement.job) {
                    RC_ASSERT(gang.workers.size() == gang.shape.parts);
                    RC_ASSERT(satisfiesAdjacency(cluster.view().fleet, gang.workers, gang.shape.adjacency));
                }
            }
        }
    }
}

RC_GTEST_PROP(Scheduling, KeepsEveryGuaranteeReclaimableWhileNoWorkerIsLost, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.changeJobs();
        const ScheduleDecision decision = cluster.runPass();
        RC_ASSERT(decision.brokenGuarantees.empty());
        RC_ASSERT(cluster.countBroken() == 0U);
    }
}

RC_GTEST_PROP(Scheduling, ReportsGuaranteesBrokenByLostWorkersAndBreaksNoOthers, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 10; ++step) {
        cluster.changeJobs();
        cluster.toggleWorker();
        const std::size_t before = cluster.countBroken();
        const ScheduleDecision decision = cluster.runPass();
        RC_ASSERT(cluster.countBroken() <= before);
        // Guarantees that cannot be satisfied are reported, and no others.
        RC_ASSERT(decision.brokenGuarantees.empty() == (cluster.countBroken() == 0U));
    }
}

RC_GTEST_PROP(Scheduling, NeverStopsWorkWithinAGuaranteeOrWorkThatMustNotRestart, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.changeJobs();
        const ScheduleDecision decision = cluster.runPass();
        RC_ASSERT(!cluster.firstStop(decision, true).has_value());
    }
}

RC_GTEST_PROP(Scheduling, PlacesAGuaranteedGangOncePreemptedGangsHaveReleasedTheirWorkers, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 6; ++step) {
        cluster.changeJobs();
        cluster.runPass();
    }
    const auto unused = cluster.unusedGuarantees();
    if (unused.empty()) {
        return;
    }
    // The first pass stops borrowers if necessary; the second one runs after they have released their workers.
    const JobId job = cluster.submitGuaranteed(unused[*rc::gen::inRange<std::size_t>(0, unused.size())]);
    cluster.runPass();
    cluster.removeStopped();
    cluster.runPass();
    RC_ASSERT(cluster.isRunning(job));
}

TEST(Scheduling, ReclaimsWorkersOfAFullFleetForAGuaranteedGang)
{
    PlanningView view;
    const Shape guaranteed {2, {0, 0, 8}, Adjacency::Rack};
    const auto small = [](const JobId &job) {
        return GangDemand {job,
                           TeamName("hygiene"),
                           CallerName("c"),
                           Urgency::Background,
                           RestartRule::Checkpoint,
                           {1, {0, 0, 1}, Adjacency::Any}};
    };
    for (int i = 0; i < 6; ++i) {
        view.fleet.add(WorkerId("w" + std::to_string(i)), PlaceName("a"), RackName(i < 3 ? "r1" : "r2"), {64, 1000, 8});
    }
    view.guarantees = {{TeamName("bergen"), guaranteed, 1}};
    for (int i = 0; i < 48; ++i) {
        view.waiting.push_back({small(JobId("b" + std::to_string(i))), 0, 1'000, {}});
    }
    GuaranteeScheduling policy;
    view.nowMs = 1'000;
    const ScheduleDecision filled = policy.plan(view);
    ASSERT_EQ(48U, filled.placements.size());
    for (const PlaceDecision &placement : filled.placements) {
        view.running.push_back({small(placement.job), placement.workers, false, false, 1'000, 1'000});
    }
    const GangDemand plan {JobId("plan"),   TeamName("bergen"),      CallerName("c"),
                           Urgency::Normal, RestartRule::Checkpoint, guaranteed};
    view.waiting = {{plan, 2'000, 1'000, {}}};
    view.nowMs = 2'000;
    const ScheduleDecision reclaiming = policy.plan(view);
    EXPECT_EQ(16U, reclaiming.stops.size());
    std::erase_if(view.running, [&](const RunningGang &gang) {
        return std::any_of(reclaiming.stops.begin(), reclaiming.stops.end(),
                           [&](const StopDecision &stop) { return stop.job == gang.job; });
    });
    view.nowMs = 3'000;
    const ScheduleDecision reclaimed = policy.plan(view);
    ASSERT_EQ(1U, reclaimed.placements.size());
    EXPECT_TRUE(reclaimed.placements[0].guaranteed);
}

// Guards against a guaranteed gang that waits forever because the cheapest workers are needed for another guarantee.
TEST(Scheduling, ReclaimsWorkersThatNoOtherGuaranteeNeeds)
{
    PlanningView view;
    const Shape whole {1, {0, 0, 8}, Adjacency::Place};
    const Shape halves {2, {0, 0, 4}, Adjacency::Place};
    for (int i = 0; i < 4; ++i) {
        view.fleet.add(WorkerId("w" + std::to_string(i)), PlaceName("a"), RackName("r"), {64, 1000, 8});
    }
    view.guarantees = {{TeamName("bergen"), whole, 2}, {TeamName("oslo"), halves, 2}};
    const auto run = [&view](const char *job, const char *team, const Shape &shape, PartWorkers workers,
                             bool guaranteed) {
        RunningGang gang;
        gang.job = JobId(job);
        gang.team = TeamName(team);
        gang.restart = RestartRule::Checkpoint;
        gang.shape = shape;
        gang.workers = std::move(workers);
        gang.guaranteed = guaranteed;
        view.running.push_back(gang);
    };
    run("first half", "oslo", halves, {0, 1}, true);
    run("whole", "bergen", whole, {2}, true);
    run("borrower", "hygiene", {1, {0, 0, 3}, Adjacency::Any}, {0}, false);
    const GangDemand plan {JobId("plan"),   TeamName("oslo"),        CallerName(),
                           Urgency::Normal, RestartRule::Checkpoint, halves};
    view.waiting = {{plan, 1'000, 1'000, {}}};
    view.nowMs = 1'000;
    GuaranteeScheduling policy;
    const ScheduleDecision reclaiming = policy.plan(view);
    ASSERT_EQ(1U, reclaiming.stops.size());
    EXPECT_EQ(JobId("borrower"), reclaiming.stops[0].job);
    view.running.pop_back();
    view.nowMs = 2'000;
    const ScheduleDecision reclaimed = policy.plan(view);
    ASSERT_EQ(1U, reclaimed.placements.size());
    EXPECT_EQ((std::set<WorkerIndex> {0, 1}),
              std::set<WorkerIndex>(reclaimed.placements[0].workers.begin(), reclaimed.placements[0].workers.end()));
}

TEST(Scheduling, PlacesAGuaranteedGangOnAWorkerReservedForABorrower)
{
    PlanningView view;
    const Shape wholeWorker {1, {0, 0, 8}, Adjacency::Worker};
    view.fleet.add(WorkerId("w"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    view.guarantees = {{TeamName("bergen"), wholeWorker, 1}};
    view.nowMs = 1'000;
    RunningGang background;
    background.job = JobId("background");
    background.team = TeamName("hygiene");
    background.urgency = Urgency::Background;
    background.restart = RestartRule::Checkpoint;
    background.shape = wholeWorker;
    background.workers = {0};
    view.running = {background};
    WaitingGang urgent;
    urgent.job = JobId("urgent");
    urgent.team = TeamName("hygiene");
    urgent.urgency = Urgency::Urgent;
    urgent.restart = RestartRule::Checkpoint;
    urgent.shape = wholeWorker;
    urgent.runMs = 1'000;
    view.waiting = {urgent};
    GuaranteeScheduling policy;
    ASSERT_EQ(1U, policy.plan(view).stops.size());
    // The worker is already reserved for the urgent borrower when the guaranteed gang arrives.
    view.running[0].stopping = true;
    WaitingGang guaranteed = urgent;
    guaranteed.job = JobId("guaranteed");
    guaranteed.team = TeamName("bergen");
    guaranteed.urgency = Urgency::Normal;
    view.waiting.push_back(guaranteed);
    EXPECT_TRUE(policy.plan(view).placements.empty());
    view.running.clear();
    const ScheduleDecision decision = policy.plan(view);
    ASSERT_EQ(1U, decision.placements.size());
    EXPECT_EQ(guaranteed.job, decision.placements[0].job);
    EXPECT_TRUE(decision.placements[0].guaranteed);
}

TEST(Scheduling, PlacesAGuaranteedGangThoughTheFleetCannotHoldAllGuarantees)
{
    PlanningView view;
    const Shape pair {2, {0, 0, 8}, Adjacency::Rack};
    view.fleet.add(WorkerId("w1"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    view.fleet.add(WorkerId("w2"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    view.guarantees = {{TeamName("bergen"), pair, 2}, {TeamName("forde"), pair, 1}};
    WaitingGang gang;
    gang.job = JobId("plan");
    gang.team = TeamName("bergen");
    gang.shape = pair;
    view.waiting = {gang};
    const ScheduleDecision decision = GuaranteeScheduling().plan(view);
    ASSERT_EQ(1U, decision.placements.size());
    EXPECT_TRUE(decision.placements[0].guaranteed);
    EXPECT_EQ(2U, decision.brokenGuarantees.size());
}

TEST(Scheduling, DoesNotDelayOtherJobsBehindAJobThatNeverFits)
{
    PlanningView view;
    view.fleet.add(WorkerId("w"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    const auto waiting = [](const char *job, std::int64_t gpus) {
        const GangDemand demand {JobId(job),      TeamName("t"),        CallerName("c"),
                                 Urgency::Normal, RestartRule::Scratch, {1, {0, 0, gpus}, Adjacency::Any}};
        return WaitingGang {demand, 0, 1'000, {}};
    };
    view.waiting = {waiting("huge", 16), waiting("small", 8)};
    const ScheduleDecision decision = GuaranteeScheduling().plan(view);
    ASSERT_EQ(1U, decision.placements.size());
    EXPECT_EQ(JobId("small"), decision.placements[0].job);
    ASSERT_EQ(1U, decision.waits.size());
    EXPECT_EQ(WaitCause::NeverFits, decision.waits[0].cause);
}

} // namespace

} // namespace Papaya
