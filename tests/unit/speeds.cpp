#include "speeds/fastminions.h"
#include "speeds/stragglers.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <iostream>
#include <random>

// Tests what is learned of the speeds of minions, and what placement and the moves of stragglers gain by it.

namespace Papaya
{

namespace
{

constexpr std::int64_t NOW = 1'000'000;

MinionId minionId(std::size_t m)
{
    return MinionId("m" + std::to_string(m));
}

/** Observes @p steps steps of ten minions each, at random among 40; times spread by @p spread. */
void observeSteps(MinionSpeeds &speeds, int steps, double spread, const std::function<double(std::size_t)> &factor,
                  std::int64_t nowMs)
{
    std::mt19937 random(20261207);
    std::normal_distribution<double> normal;
    for (int s = 0; s < steps; ++s) {
        const double common = std::exp(0.5 * normal(random)); // error of the estimate
        for (int i = 0; i < 10; ++i) {
            const std::size_t m = random() % 40;
            const double run = 2'000 * common * factor(m) * std::exp(spread * normal(random));
            speeds.observe({minionId(m),
                            {JobId("j" + std::to_string(s)), 0, 0},
                            QueueName("q"),
                            false,
                            100,
                            std::llround(run),
                            2'000},
                           nowMs);
        }
    }
    for (int i = 0; i < 5; ++i) {
        speeds.refresh(nowMs);
    }
}

// Levels that follow noise would outweigh the best fit, and break up the minions that wide gangs need whole.
TEST(MinionSpeeds, OfAnEvenFleetAreEqual)
{
    MinionSpeeds speeds;
    observeSteps(
        speeds, 200, 0.15, [](std::size_t) { return 1.0; }, NOW);
    EXPECT_FALSE(speeds.uneven());
}

TEST(MinionSpeeds, ShowASteadyFactorAfterSeveralRuns)
{
    MinionSpeeds speeds;
    observeSteps(
        speeds, 100, 0.1, [](std::size_t m) { return m % 4 == 0 ? 1.3 : 1.0; }, NOW);
    for (std::size_t m = 0; m < 40; ++m) {
        EXPECT_EQ(m % 4 == 0 ? 1 : 0, speeds.level(minionId(m))) << m;
    }
}

// One slow run may be due to its job. A minion whose observations are old may have recovered.
TEST(MinionSpeeds, AreAverageWithFewOrOldObservations)
{
    const auto factor = [](std::size_t m) { return m % 5 == 0 ? 6.0 : 1.0; };
    MinionSpeeds speeds;
    observeSteps(speeds, 40, 0.15, factor, NOW);
    EXPECT_EQ(8U, speeds.verySlow());
    EXPECT_GE(speeds.level(minionId(0)), MinionSpeeds::VERY_SLOW);
    speeds.observe({MinionId("new"), {JobId("new"), 0, 0}, QueueName("q"), false, 100, 5'000, 2'000}, NOW);
    speeds.refresh(NOW);
    EXPECT_EQ(0, speeds.level(MinionId("new")));
    speeds.forget(minionId(0));
    EXPECT_EQ(0, speeds.level(minionId(0)));
    speeds.refresh(NOW + 90'001);
    speeds.observe({MinionId("new"), {JobId("later"), 0, 0}, QueueName("q"), false, 100, 2'000, 2'000}, NOW + 90'001);
    speeds.refresh(NOW + 90'001);
    EXPECT_FALSE(speeds.uneven());
}

/** Replays a day of gangs and batch jobs on a fleet of which a fifth of the minions may be slower, without a network.
 */
class Replay
{
public:
    explicit Replay(double slowFactor, bool withSpeeds)
        : m_slowFactor(slowFactor)
        , m_withSpeeds(withSpeeds)
    {
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            QueueConfig queue;
            queue.name = QueueName("q" + std::to_string(priority));
            queue.service = ServiceName("desk");
            queue.priority = priority;
            m_config.queues.push_back(queue);
        }
        for (std::size_t i = 0; i < MINIONS; ++i) {
            MinionView minion;
            minion.id = minionId(i);
            minion.service = ServiceName("desk");
            minion.capacity = minion.free = {64'000, 128'000, 8};
            m_minions.push_back(minion);
        }
    }

    void run()
    {
        for (m_now = NOW; m_now < NOW + DAY_MS + DRAIN_MS; m_now += TICK_MS) {
            if (m_now < NOW + DAY_MS) {
                submitDue();
            }
            for (auto place = m_runs.begin(); place != m_runs.end();) {
                place = advance(place->first, place->second) ? m_runs.erase(place) : std::next(place);
            }
            if (m_now % 500 == 0) {
                m_speeds.refresh(m_now);
                moveStragglers();
            }
            const PlanDecisions decisions = planSteps(input());
            for (const UnitStart &start : decisions.starts) {
                m_starts.push_back(start.unit.toString() + "@" + std::to_string(start.minions.front()));
                begin(start);
            }
            for (const UnitStop &stop : decisions.stops) {
                stopRun(stop.unit, m_runs.at(stop.unit));
            }
        }
    }

    /** @return the share of jobs that have met their objective. */
    [[nodiscard]] double inTimeShare() const
    {
        return double(m_inTime) / double(m_submitted);
    }
    [[nodiscard]] const std::vector<std::string> &starts() const
    {
        return m_starts;
    }
    std::size_t moves = 0;

private:
    static constexpr std::size_t MINIONS = 40;
    static constexpr std::int64_t TICK_MS = 50;
    static constexpr std::int64_t STOP_MS = 900;
    static constexpr std::int64_t DAY_MS = 60'000;
    static constexpr std::int64_t DRAIN_MS = 60'000;

    struct Run {
        std::vector<std::size_t> minions;
        std::vector<double> doneMs;
        std::int64_t beganMs = 0;
        std::int64_t stoppedMs = 0; ///< 0 if it is not being stopped
    };

    [[nodiscard]] double factor(std::size_t minion) const
    {
        return minion % 5 == 2 ? m_slowFactor : 1;
    }

    void submitDue()
    {
        const std::int64_t t = m_now - NOW;
        if (t % 1'000 == 0) {
            submit(0, 2 + m_random() % 7, 2 << (m_random() % 3), 2'300, true, 1.5, 300);
        }
        if (t % 8'000 == 0) {
            submit(1, 8 + m_random() % 11, 1, 10'000, true, 3, 1'000);
        }
        if (t % 5'000 == 0) {
            submit(2, 20 + m_random() % 39, 1, 7'000, false, 3, 3'000);
        }
    }

    void submit(std::uint32_t priority, std::uint32_t count, std::int64_t gpus, std::int64_t runMs, bool gang,
                double stretch, std::int64_t targetMs)
    {
        StepJob job;
        job.id = JobId("job" + std::to_string(++m_submitted));
        job.queue = QueueName("q" + std::to_string(priority));
        job.service = ServiceName("desk");
        job.team = TeamName("a");
        job.priority = priority;
        job.stretch = stretch;
        job.targetMs = targetMs;
        job.submittedMs = m_now - 100; // a job is not due before the clocks of all nodes say so
        StepSpec step;
        step.count = count;
        step.need = {1'000, 1'000, gpus};
        step.gang = gang;
        const double error = std::uniform_real_distribution<double>(-0.6, 0.6)(m_random);
        step.estimate = Millis(std::llround(double(runMs) * std::exp(error)));
        job.spec.steps = {step};
        m_jobTable.apply(StepJobSubmitted {job});
        m_objectives[job.id] = {double(runMs), m_now + std::llround(stretch * double(runMs)) + targetMs};
    }

    PlanInput input() const
    {
        PlanInput input {m_jobTable, m_config, m_times, m_tickets, m_minions, {}, {}, m_avoid, m_now, m_now};
        for (const auto &[unit, run] : m_runs) {
            ActiveUnit active;
            active.key = unit;
            active.priority = m_jobTable.find(unit.job)->job.priority;
            active.need = countedNeed(m_jobTable.stepOf(unit));
            active.minions = run.minions;
            active.lossMs = m_now - run.beganMs;
            active.stopping = run.stoppedMs > 0;
            input.active.push_back(active);
        }
        for (MinionView &minion : input.minions) {
            minion.slowness = m_speeds.level(minion.id);
        }
        if (m_withSpeeds && m_speeds.uneven()) {
            input.preferences.push_back(&m_fastMinions);
        }
        return input;
    }

    void change(const UnitKey &unit, UnitState state, const std::vector<std::size_t> &minions)
    {
        UnitStatus status = *m_jobTable.find(unit);
        status.state = state;
        status.run += state == UnitState::Placed ? 1 : 0;
        status.minions.clear();
        for (const std::size_t m : minions) {
            status.minions.push_back(minionId(m));
        }
        m_jobTable.apply(UnitChanged {unit, status});
        m_times.observe(m_jobTable.find(unit.job)->job, {unit, status}, m_now);
    }

    void begin(const UnitStart &start)
    {
        for (const std::size_t m : start.minions) {
            m_minions[m].free -= countedNeed(m_jobTable.stepOf(start.unit));
        }
        m_runs[start.unit] = {start.minions, std::vector<double>(start.minions.size()), m_now};
        change(start.unit, UnitState::Placed, start.minions);
    }

    void stopRun(const UnitKey &unit, Run &run)
    {
        run.stoppedMs = m_now;
        for (std::size_t i = 0; i < run.minions.size(); ++i) {
            if (percentOf(unit, run, i) < 100) {
                m_minions[run.minions[i]].releasing += countedNeed(m_jobTable.stepOf(unit));
            }
        }
    }

    /**
     * Lets the members of a run progress, each at the rate of its minion.
     * @return true if it has ended
     */
    bool advance(const UnitKey &unit, Run &run)
    {
        const auto &[runMs, dueMs] = m_objectives.at(unit.job);
        const StepJob &job = m_jobTable.find(unit.job)->job;
        const StepSpec &step = m_jobTable.stepOf(unit);
        const bool stopped = run.stoppedMs > 0 && m_now >= run.stoppedMs + STOP_MS;
        bool ended = true;
        for (std::size_t i = 0; i < run.minions.size(); ++i) {
            const std::size_t m = run.minions[i];
            if (run.doneMs[i] >= runMs) {
                continue;
            }
            run.doneMs[i] += run.stoppedMs == 0 ? double(TICK_MS) / factor(m) : 0;
            const bool done = run.doneMs[i] >= runMs;
            if (run.stoppedMs == 0 && (done || m_now % 500 == 0)) {
                m_speeds.observe({minionId(m), unit.stepKey(), job.queue, step.gang, percentOf(unit, run, i),
                                  m_now - run.beganMs, expectedOf(unit)},
                                 m_now);
            }
            if (done || stopped) {
                m_minions[m].free += countedNeed(step);
                m_minions[m].releasing -= run.stoppedMs > 0 ? countedNeed(step) : Resources {};
            }
            ended = ended && (done || stopped);
        }
        if (ended) {
            change(unit, stopped ? UnitState::Waiting : UnitState::Done, {});
            m_inTime += !m_jobTable.find(unit.job)->live() && m_now <= dueMs ? 1 : 0;
        }
        return ended;
    }

    [[nodiscard]] std::int64_t percentOf(const UnitKey &unit, const Run &run, std::size_t member) const
    {
        const double runMs = m_objectives.at(unit.job).first;
        return std::min<std::int64_t>(100, static_cast<std::int64_t>(run.doneMs[member] * 100 / runMs));
    }

    [[nodiscard]] std::int64_t expectedOf(const UnitKey &unit) const
    {
        return m_times.expectedMs(m_jobTable.find(unit.job)->job.queue, m_jobTable.stepOf(unit).estimate.count());
    }

    void moveStragglers()
    {
        if (!m_withSpeeds) {
            return;
        }
        std::vector<SlowUnit> units;
        for (const auto &[unit, run] : m_runs) {
            if (run.stoppedMs > 0) {
                continue;
            }
            SlowUnit slow {
                unit, {}, m_speeds.typicalMs(m_jobTable.find(unit.job)->job.queue, expectedOf(unit)), m_moves[unit]};
            for (std::size_t i = 0; i < run.minions.size(); ++i) {
                if (percentOf(unit, run, i) < 100) {
                    slow.members.push_back({minionId(run.minions[i]), percentOf(unit, run, i), m_now - run.beganMs, 0});
                }
            }
            units.push_back(slow);
        }
        for (const Rerun &move : unitsToRerun(input(), units, m_speeds)) {
            ++moves;
            ++m_moves[move.unit];
            stopRun(move.unit, m_runs.at(move.unit));
        }
    }

    double m_slowFactor;
    bool m_withSpeeds;
    std::int64_t m_now = NOW;
    std::mt19937 m_random {20261207};
    DeploymentConfig m_config;
    JobTable m_jobTable;
    RunTimes m_times;
    TicketBook m_tickets;
    MinionSpeeds m_speeds;
    FastMinions m_fastMinions;
    std::vector<MinionView> m_minions;
    std::map<UnitKey, Run> m_runs;
    std::map<UnitKey, std::uint32_t> m_moves;
    std::map<UnitKey, std::vector<MinionId>> m_avoid;
    std::map<JobId, std::pair<double, std::int64_t>> m_objectives; ///< run time, and when the job is due
    std::vector<std::string> m_starts;
    std::size_t m_submitted = 0;
    std::size_t m_inTime = 0;
};

// Load pattern: a fifth of the minions is six times slower than the others. Without the learned speeds, most gangs
// have a member on one of them.
TEST(UnevenFleet, ServesThreeQuartersOfTheJobsThatAnEvenOneServesInTime)
{
    Replay even(1, true);
    even.run();
    Replay uneven(6, true);
    uneven.run();
    Replay without(6, false);
    without.run();
    std::cout << "in time: even " << even.inTimeShare() << ", uneven " << uneven.inTimeShare() << " with "
              << uneven.moves << " moves, without the part " << without.inTimeShare() << "\n";
    EXPECT_GE(uneven.inTimeShare(), 0.75 * even.inTimeShare());
    EXPECT_LT(without.inTimeShare(), 0.75 * even.inTimeShare()) << "the replay shows nothing";
    EXPECT_GT(uneven.moves, 0U);
}

// Load pattern: an even fleet, whose estimates are off. The part must change nothing.
TEST(UnevenFleet, DecidesAsWithoutSpeedsWhereTheyAreEven)
{
    Replay with(1, true);
    with.run();
    Replay without(1, false);
    without.run();
    EXPECT_EQ(0U, with.moves);
    EXPECT_EQ(without.starts(), with.starts());
}

} // namespace

} // namespace Papaya
