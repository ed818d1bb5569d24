#include "process/guaranteescheduling.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

// What must hold after every planning pass, over random fleets, guarantees, jobs, losses and returns.

namespace Papaya
{

namespace
{

/** A random fleet with random work on it, driven pass by pass. */
class RandomCluster
{
public:
    RandomCluster()
    {
        const auto racks = *rc::gen::inRange(1, 5);
        const auto perRack = *rc::gen::inRange(1, 5);
        for (int rack = 0; rack < racks; ++rack) {
            for (int i = 0; i < perRack; ++i) {
                const std::string name = "w" + std::to_string(rack) + "-" + std::to_string(i);
                m_view.fleet.add(WorkerId(name), PlaceName(rack < 2 ? "a" : "b"), RackName("r" + std::to_string(rack)),
                                 {64, 128'000, 8});
            }
        }
        const auto guarantees = *rc::gen::inRange(0, 4);
        for (int i = 0; i < guarantees; ++i) {
            const TeamGuarantee guarantee {TeamName("team-" + std::to_string(i)), randomShape(),
                                           1U + *rc::gen::inRange(0U, 2U)};
            m_view.guarantees.push_back(guarantee);
            // Only guarantees that the empty fleet can give are promised.
            if (brokenWhenEmpty() > 0) {
                m_view.guarantees.pop_back();
            }
        }
        m_view.nowMs = 1'000'000;
    }

    static Shape randomShape()
    {
        Shape shape;
        shape.parts = *rc::gen::inRange(1U, 5U);
        shape.part.gpus = *rc::gen::elementOf(std::vector<std::int64_t> {1, 2, 4, 8});
        shape.part.cores = shape.part.gpus;
        shape.adjacency = *rc::gen::elementOf(
            std::vector<Adjacency> {Adjacency::Worker, Adjacency::Rack, Adjacency::Place, Adjacency::Any});
        return shape;
    }

    [[nodiscard]] std::size_t brokenWhenEmpty() const
    {
        return assignGuarantees(m_view.fleet.emptied(), allGuarantees()).broken.size();
    }

    [[nodiscard]] std::vector<GuaranteedGang> allGuarantees() const
    {
        std::vector<GuaranteedGang> gangs;
        for (const TeamGuarantee &guarantee : m_view.guarantees) {
            gangs.insert(gangs.end(), guarantee.count, {guarantee.team, guarantee.shape});
        }
        return gangs;
    }

    /** Submits some jobs, ends some, and lets stopped gangs give their workers back. */
    void change()
    {
        m_view.nowMs += *rc::gen::inRange(1, 3'000'000);
        const auto arrivals = *rc::gen::inRange(0, 6);
        for (int i = 0; i < arrivals; ++i) {
            WaitingGang gang;
            gang.job = JobId("j" + std::to_string(m_nextJob++));
            const bool asks = !m_view.guarantees.empty() && *rc::gen::inRange(0, 2) == 0;
            const TeamGuarantee *guarantee =
                asks ? &m_view.guarantees[*rc::gen::inRange<std::size_t>(0, m_view.guarantees.size())] : nullptr;
            gang.team = asks ? guarantee->team : TeamName("others");
            gang.shape = asks ? guarantee->shape : randomShape();
            gang.urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
            gang.restart = static_cast<RestartRule>(*rc::gen::inRange(0, 3));
            gang.submittedMs = m_view.nowMs;
            gang.runMs = *rc::gen::inRange(1, 5'000'000);
            m_view.waiting.push_back(gang);
        }
        std::erase_if(m_view.running, [&](const RunningGang &gang) {
            const bool ends = gang.stopping || *rc::gen::inRange(0, 5) == 0;
            if (gang.stopping) {
                m_view.waiting.push_back({gang.job,
                                          gang.team,
                                          gang.caller,
                                          gang.urgency,
                                          gang.restart,
                                          gang.shape,
                                          m_view.nowMs,
                                          gang.runMs,
                                          {}});
            }
            return ends;
        });
    }

    /** Loses a worker, or lets it return; what ran there ends. */
    void loseOrReturn()
    {
        const auto worker = *rc::gen::inRange<WorkerIndex>(0, static_cast<WorkerIndex>(m_view.fleet.size()));
        const bool lose = m_view.fleet.usable(worker);
        m_view.fleet.setUsable(worker, !lose);
        std::erase_if(m_view.running, [&](const RunningGang &gang) {
            return lose && std::find(gang.workers.begin(), gang.workers.end(), worker) != gang.workers.end();
        });
    }

    ScheduleDecision pass()
    {
        ScheduleDecision decision = m_policy.plan(m_view);
        for (const StopDecision &stop : decision.stops) {
            running(stop.job).stopping = true;
        }
        for (const PlaceDecision &placement : decision.placements) {
            place(placement);
        }
        return decision;
    }

    [[nodiscard]] const PlanningView &view() const
    {
        return m_view;
    }

    /** @return guaranteed gangs that could not be had now, by stopping all that may be stopped. */
    [[nodiscard]] std::size_t brokenNow() const
    {
        FleetModel reclaimable = m_view.fleet;
        std::vector<TeamGuarantee> left = m_view.guarantees;
        for (const RunningGang &gang : m_view.running) {
            if (!gang.preemptible()) {
                reclaimable.takeAll(gang.workers, gang.shape.part);
            }
            for (TeamGuarantee &guarantee : left) {
                if (gang.guaranteed && guarantee.team == gang.team && guarantee.count > 0
                    && usesGuarantee(gang.shape, guarantee.shape)) {
                    --guarantee.count;
                    break;
                }
            }
        }
        std::vector<GuaranteedGang> unused;
        for (const TeamGuarantee &guarantee : left) {
            unused.insert(unused.end(), guarantee.count, {guarantee.team, guarantee.shape});
        }
        return assignGuarantees(reclaimable, unused).broken.size();
    }

    /** @return the guaranteed gangs that nothing runs or waits for. */
    [[nodiscard]] std::vector<GuaranteedGang> unusedGuarantees() const
    {
        std::vector<GuaranteedGang> unused;
        for (const TeamGuarantee &guarantee : m_view.guarantees) {
            const auto uses = [&](const auto &gang) {
                return gang.team == guarantee.team && usesGuarantee(gang.shape, guarantee.shape);
            };
            const auto running = std::count_if(m_view.running.begin(), m_view.running.end(),
                                               [&](const RunningGang &gang) { return gang.guaranteed && uses(gang); });
            const auto waiting = std::count_if(m_view.waiting.begin(), m_view.waiting.end(), uses);
            if (running + waiting < static_cast<std::ptrdiff_t>(guarantee.count)) {
                unused.push_back({guarantee.team, guarantee.shape});
            }
        }
        return unused;
    }

    /** Submits a gang of a guaranteed shape. */
    JobId ask(const GuaranteedGang &gang)
    {
        JobId job("asked");
        m_view.waiting.push_back({job,
                                  gang.team,
                                  CallerName(),
                                  Urgency::Normal,
                                  RestartRule::Checkpoint,
                                  gang.shape,
                                  m_view.nowMs,
                                  1'000,
                                  {}});
        return job;
    }

    /** Lets the gangs that were stopped give their workers back, a second later. */
    void releaseStopped()
    {
        m_view.nowMs += 1'000;
        std::erase_if(m_view.running, [](const RunningGang &gang) { return gang.stopping; });
    }

    [[nodiscard]] bool runs(const JobId &job) const
    {
        return std::any_of(m_view.running.begin(), m_view.running.end(),
                           [&](const RunningGang &gang) { return gang.job == job; });
    }

    [[nodiscard]] std::optional<std::size_t> firstStopOf(const ScheduleDecision &decision, bool protectedOnly) const
    {
        for (std::size_t i = 0; i < decision.stops.size(); ++i) {
            for (const RunningGang &gang : m_view.running) {
                if (gang.job == decision.stops[i].job && (!protectedOnly || !gang.preemptible())) {
                    return i;
                }
            }
        }
        return std::nullopt;
    }

private:
    RunningGang &running(const JobId &job)
    {
        return *std::find_if(m_view.running.begin(), m_view.running.end(),
                             [&](const RunningGang &gang) { return gang.job == job; });
    }

    void place(const PlaceDecision &placement)
    {
        const auto waiting = std::find_if(m_view.waiting.begin(), m_view.waiting.end(),
                                          [&](const WaitingGang &gang) { return gang.job == placement.job; });
        RC_ASSERT(waiting != m_view.waiting.end());
        m_view.running.push_back({waiting->job, waiting->team, waiting->caller, waiting->urgency, waiting->restart,
                                  waiting->shape, placement.workers, placement.guaranteed, false, m_view.nowMs,
                                  waiting->runMs});
        m_view.waiting.erase(waiting);
    }

    PlanningView m_view;
    GuaranteeScheduling m_policy;
    int m_nextJob = 0;
};

bool closeEnough(const FleetModel &fleet, const PartWorkers &workers, Adjacency adjacency)
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

RC_GTEST_PROP(Scheduling, NeverOvercommitsAndAlwaysPlacesWholeGangsCloseEnough, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.change();
        const ScheduleDecision decision = cluster.pass();
        const FleetModel after = occupiedFleet(cluster.view());
        for (WorkerIndex i = 0; i < after.size(); ++i) {
            RC_ASSERT(!after.overdrawn(i));
        }
        for (const PlaceDecision &placement : decision.placements) {
            for (const RunningGang &gang : cluster.view().running) {
                if (gang.job == placement.job) {
                    RC_ASSERT(gang.workers.size() == gang.shape.parts);
                    RC_ASSERT(closeEnough(cluster.view().fleet, gang.workers, gang.shape.adjacency));
                }
            }
        }
    }
}

RC_GTEST_PROP(Scheduling, KeepsEveryGuaranteeReclaimableWithoutLosses, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.change();
        const ScheduleDecision decision = cluster.pass();
        RC_ASSERT(decision.brokenGuarantees.empty());
        RC_ASSERT(cluster.brokenNow() == 0U);
    }
}

RC_GTEST_PROP(Scheduling, ReportsGuaranteesThatLossesBreakAndBreaksNoMore, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 10; ++step) {
        cluster.change();
        cluster.loseOrReturn();
        const std::size_t before = cluster.brokenNow();
        const ScheduleDecision decision = cluster.pass();
        RC_ASSERT(cluster.brokenNow() <= before);
        // What cannot be had is reported.
        RC_ASSERT(decision.brokenGuarantees.empty() == (cluster.brokenNow() == 0U));
    }
}

RC_GTEST_PROP(Scheduling, NeverStopsWorkWithinAGuaranteeOrWorkThatMustNotRestart, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 8; ++step) {
        cluster.change();
        const ScheduleDecision decision = cluster.pass();
        RC_ASSERT(!cluster.firstStopOf(decision, true).has_value());
    }
}

RC_GTEST_PROP(Scheduling, GivesAGuaranteedTeamItsShapeOnceStoppedGangsAreGone, ())
{
    RandomCluster cluster;
    for (int step = 0; step < 6; ++step) {
        cluster.change();
        cluster.pass();
    }
    const auto unused = cluster.unusedGuarantees();
    if (unused.empty()) {
        return;
    }
    // The first pass stops borrowers if it must, the second finds them gone.
    const JobId job = cluster.ask(unused[*rc::gen::inRange<std::size_t>(0, unused.size())]);
    cluster.pass();
    cluster.releaseStopped();
    cluster.pass();
    RC_ASSERT(cluster.runs(job));
}

TEST(Scheduling, ReclaimsAFullFleetForAGuaranteedGang)
{
    PlanningView view;
    const Shape guaranteed {2, {0, 0, 8}, Adjacency::Rack};
    for (int i = 0; i < 6; ++i) {
        view.fleet.add(WorkerId("w" + std::to_string(i)), PlaceName("a"), RackName(i < 3 ? "r1" : "r2"), {64, 1000, 8});
    }
    view.guarantees = {{TeamName("bergen"), guaranteed, 1}};
    for (int i = 0; i < 48; ++i) {
        view.waiting.push_back({JobId("b" + std::to_string(i)),
                                TeamName("hygiene"),
                                CallerName("c"),
                                Urgency::Background,
                                RestartRule::Checkpoint,
                                {1, {0, 0, 1}, Adjacency::Any},
                                0,
                                1000,
                                {}});
    }
    GuaranteeScheduling policy;
    view.nowMs = 1'000;
    const ScheduleDecision filled = policy.plan(view);
    ASSERT_EQ(48U, filled.placements.size());
    for (const PlaceDecision &placement : filled.placements) {
        view.running.push_back({placement.job,
                                TeamName("hygiene"),
                                CallerName("c"),
                                Urgency::Background,
                                RestartRule::Checkpoint,
                                {1, {0, 0, 1}, Adjacency::Any},
                                placement.workers,
                                false,
                                false,
                                1'000,
                                1'000});
    }
    view.waiting = {{JobId("plan"),
                     TeamName("bergen"),
                     CallerName("c"),
                     Urgency::Normal,
                     RestartRule::Checkpoint,
                     guaranteed,
                     2'000,
                     1'000,
                     {}}};
    view.nowMs = 2'000;
    const ScheduleDecision asked = policy.plan(view);
    EXPECT_EQ(16U, asked.stops.size());
    std::erase_if(view.running, [&](const RunningGang &gang) {
        return std::any_of(asked.stops.begin(), asked.stops.end(),
                           [&](const StopDecision &stop) { return stop.job == gang.job; });
    });
    view.nowMs = 3'000;
    const ScheduleDecision reclaimed = policy.plan(view);
    ASSERT_EQ(1U, reclaimed.placements.size());
    EXPECT_TRUE(reclaimed.placements[0].guaranteed);
}

TEST(Scheduling, GivesAGuaranteedGangWhatIsKeptForABorrower)
{
    PlanningView view;
    const Shape whole {1, {0, 0, 8}, Adjacency::Worker};
    view.fleet.add(WorkerId("w"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    view.guarantees = {{TeamName("bergen"), whole, 1}};
    view.nowMs = 1'000;
    RunningGang background;
    background.job = JobId("background");
    background.team = TeamName("hygiene");
    background.urgency = Urgency::Background;
    background.restart = RestartRule::Checkpoint;
    background.shape = whole;
    background.workers = {0};
    view.running = {background};
    WaitingGang urgent;
    urgent.job = JobId("urgent");
    urgent.team = TeamName("hygiene");
    urgent.urgency = Urgency::Urgent;
    urgent.restart = RestartRule::Checkpoint;
    urgent.shape = whole;
    urgent.runMs = 1'000;
    view.waiting = {urgent};
    GuaranteeScheduling policy;
    ASSERT_EQ(1U, policy.plan(view).stops.size());
    // The worker is kept for the urgent borrower when the guaranteed team asks for it.
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

TEST(Scheduling, GivesWhatIsAskedForWhereTheFleetCannotGiveAllGuarantees)
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

TEST(Scheduling, AJobThatCanNeverRunDelaysNobody)
{
    PlanningView view;
    view.fleet.add(WorkerId("w"), PlaceName("a"), RackName("r"), {64, 1000, 8});
    const auto waiting = [](const char *job, std::int64_t gpus) {
        return WaitingGang {JobId(job),
                            TeamName("t"),
                            CallerName("c"),
                            Urgency::Normal,
                            RestartRule::Scratch,
                            {1, {0, 0, gpus}, Adjacency::Any},
                            0,
                            1'000,
                            {}};
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
