#include "stepscenario.h"

#include "steps/stepscheduler.h"

#include <map>
#include <random>

namespace Papaya::Bench
{

namespace
{

constexpr std::size_t MINIONS = 24;
constexpr std::size_t MINIONS_PER_RACK = 6;
constexpr int ROUNDS = 600;
constexpr std::int64_t ROUND_MS = 100;
constexpr std::int64_t STOP_DELAY_MS = 200;

/** Simulation of a fleet under the step scheduler, with random jobs and run times. */
class Scenario
{
public:
    explicit Scenario(std::uint64_t seed)
        : m_random(seed)
        , m_minions(MINIONS)
    {
        m_config.teams = {{TeamName("a"), 48}, {TeamName("b"), 0}};
        for (std::size_t m = 0; m < MINIONS; ++m) {
            m_minions[m].id = MinionId("m" + std::to_string(m));
            m_minions[m].service = ServiceName("desk");
            m_minions[m].rack = RackName("r" + std::to_string(m / MINIONS_PER_RACK));
            m_minions[m].capacity = m_minions[m].free = {64'000, 131'072, 8};
        }
    }

    std::vector<std::string> run()
    {
        for (int round = 0; round < ROUNDS; ++round) {
            m_now = round * ROUND_MS;
            if (m_random() % 3 == 0) {
                submit();
            }
            endRuns();
            m_minions[m_random() % MINIONS].usable = m_random() % 8 != 0;
            decide();
        }
        return std::move(m_decisions);
    }

private:
    struct Run {
        ActiveUnit unit;
        std::int64_t endsMs = 0;
    };

    void submit()
    {
        StepJob job;
        job.id = JobId("job" + std::to_string(m_now));
        job.queue = QueueName("q" + std::to_string(m_random() % 3));
        job.service = ServiceName("desk");
        job.team = TeamName(m_random() % 2 == 0 ? "a" : "b");
        job.priority = static_cast<std::uint32_t>(m_random() % 3);
        job.submittedMs = m_now;
        job.stretch = 2;
        job.targetMs = 1'000;
        job.spec.steps.push_back(randomStep());
        if (m_random() % 2 == 0) {
            job.spec.steps.push_back(randomStep());
            job.spec.steps.back().dependencies = {0};
        }
        m_jobs.apply(StepJobSubmitted {job});
    }

    StepSpec randomStep()
    {
        StepSpec step;
        step.count = static_cast<std::uint32_t>(1 + m_random() % 12);
        step.need.cores = 1'000 * static_cast<std::int64_t>(1 + m_random() % 16);
        step.need.memoryMb = 8'000;
        step.need.gpus = 1LL << m_random() % 4;
        step.estimate = Millis(500 + m_random() % 9'000);
        step.gang = m_random() % 3 == 0;
        step.sameRack = m_random() % 2 == 0;
        step.checkpointing = m_random() % 2 == 0;
        step.maxPerMinion = m_random() % 5 == 0 ? 1 : 0;
        step.dataRack = RackName(m_random() % 6 == 0 ? "r1" : "");
        return step;
    }

    void endRuns()
    {
        for (auto position = m_runs.begin(); position != m_runs.end();) {
            if (position->second.endsMs > m_now) {
                ++position;
                continue;
            }
            const ActiveUnit &unit = position->second.unit;
            for (const std::size_t m : unit.minions) {
                m_minions[m].free += unit.need;
                m_minions[m].releasing -= unit.stopping ? unit.need : Resources {};
            }
            UnitStatus status = *m_jobs.find(unit.key);
            status.state = unit.stopping ? UnitState::Waiting : UnitState::Done;
            status.minions.clear();
            change(unit.key, std::move(status));
            position = m_runs.erase(position);
        }
    }

    void change(const UnitKey &unit, UnitStatus status)
    {
        const UnitChanged record {unit, std::move(status)};
        m_times.observe(m_jobs.find(unit.job)->job, record, m_now);
        m_jobs.apply(record);
    }

    void decide()
    {
        PlanInput input {m_jobs, m_config, m_times, m_tickets, m_minions,  {},
                         {},     {},       m_now,   m_now,     m_headroom, &m_idleJobs};
        std::map<UnitKey, RunPhase> phases;
        for (const auto &[key, run] : m_runs) {
            input.active.push_back(run.unit);
            phases.emplace(key, RunPhase::Running);
        }
        m_idleJobs.update(m_jobs, phases, {m_now, m_now});
        const PlanDecisions decisions = planSteps(std::move(input));
        for (const UnitStop &stop : decisions.stops) {
            Run &run = m_runs.at(stop.unit);
            run.unit.stopping = true;
            run.endsMs = m_now + STOP_DELAY_MS;
            const auto members = static_cast<std::int64_t>(run.unit.minions.size());
            m_headroom.preempted(run.unit.priority, run.unit.need.gpus * members, m_now);
            for (const std::size_t m : run.unit.minions) {
                m_minions[m].releasing += run.unit.need;
            }
            m_decisions.push_back("stop " + stop.unit.toString());
        }
        for (const UnitStart &start : decisions.starts) {
            begin(start);
        }
    }

    void begin(const UnitStart &start)
    {
        Run run;
        run.unit.key = start.unit;
        run.unit.team = m_jobs.find(start.unit.job)->job.team;
        run.unit.priority = m_jobs.find(start.unit.job)->job.priority;
        run.unit.need = countedNeed(m_jobs.stepOf(start.unit));
        run.unit.minions = start.minions;
        run.endsMs = m_now + 1'000 + static_cast<std::int64_t>(m_random() % 9'000);
        UnitStatus status = *m_jobs.find(start.unit);
        status.state = UnitState::Placed;
        ++status.run;
        std::string decision = "start " + start.unit.toString();
        for (const std::size_t m : start.minions) {
            m_minions[m].free -= run.unit.need;
            status.minions.push_back(m_minions[m].id);
            decision += " " + m_minions[m].id.value();
        }
        m_decisions.push_back(std::move(decision));
        change(start.unit, std::move(status));
        m_runs[start.unit] = std::move(run);
    }

    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    JobTable m_jobs;
    RunTimes m_times;
    TicketBook m_tickets;
    Headroom m_headroom;
    IdleJobs m_idleJobs;
    DeploymentConfig m_config;
    std::vector<MinionView> m_minions;
    std::map<UnitKey, Run> m_runs;
    std::vector<std::string> m_decisions;
};

} // namespace

std::vector<std::string> stepDecisions(std::uint64_t seed)
{
    return Scenario(seed).run();
}

} // namespace Papaya::Bench
