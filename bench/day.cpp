#include "day.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace Papaya::Bench
{

namespace
{

constexpr std::int64_t MINUTE_MS = 60'000;
constexpr std::int64_t HOUR_MS = 60 * MINUTE_MS;
constexpr std::int64_t DAY_MS = 24 * HOUR_MS;
constexpr std::int64_t END_MS = 3 * DAY_MS;              // jobs that have not ended by then count as unfinished
constexpr std::int64_t STOP_DELAY_MS = 1'000;            // from the decision to stop a gang until its workers are free
constexpr std::int64_t RESTART_LOSS_MS = MINUTE_MS;      // work lost by a restart from a checkpoint
constexpr std::int64_t MAX_PASS_INTERVAL_MS = MINUTE_MS; // longest time between passes while jobs wait
constexpr std::int64_t LARGE_GANG_GPUS = 16;
constexpr std::size_t WORKERS = 50;
constexpr std::size_t WORKERS_PER_RACK = 6;

using Random = std::mt19937_64;

/** Adds random jobs to a day. */
class JobGenerator
{
public:
    JobGenerator(Day &day, Random &random)
        : m_day(day)
        , m_random(random)
    {
    }

    /**
     * Adds @p count jobs with the properties of @p prototype, and with random arrivals, run times, shapes and callers.
     * @param fromHour start of the arrivals, in hours of the day
     * @param toHour end of the arrivals, in hours of the day
     * @param medianHours median of the log-normal run times
     */
    void add(const DayJob &prototype, std::size_t count, double fromHour, double toHour, double medianHours,
             const std::vector<Shape> &shapes, std::size_t callers)
    {
        std::uniform_real_distribution<double> hour(fromHour, toHour);
        std::lognormal_distribution<double> run(std::log(medianHours), 0.5);
        std::uniform_real_distribution<double> estimateError(-1.0, 1.0);
        for (std::size_t i = 0; i < count; ++i) {
            DayJob job = prototype;
            job.restart = RestartRule::Checkpoint;
            job.job = JobId("j-" + std::to_string(100'000 + m_day.jobs.size()));
            job.arrivalMs = static_cast<std::int64_t>(hour(m_random) * HOUR_MS);
            job.runMs = std::max<std::int64_t>(MINUTE_MS, static_cast<std::int64_t>(run(m_random) * HOUR_MS));
            job.declaredMs =
                static_cast<std::int64_t>(static_cast<double>(job.runMs) * std::pow(10.0, estimateError(m_random)));
            job.shape = shapes[m_random() % shapes.size()];
            // Caller 0 submits half of the jobs, plus its share of the others.
            const std::size_t caller = m_random() % 2 == 0 ? 0 : m_random() % callers;
            job.caller = CallerName("caller-" + std::to_string(caller));
            m_day.jobs.push_back(std::move(job));
        }
    }

private:
    Day &m_day;
    Random &m_random;
};

Shape makeShape(std::uint32_t parts, std::int64_t gpus, Adjacency adjacency)
{
    return {parts, {gpus * 4, gpus * 8'000, gpus}, adjacency};
}

DayJob makeJob(const char *work, const char *team, Urgency urgency)
{
    DayJob job;
    job.work = TemplateName(work);
    job.team = TeamName(team);
    job.urgency = urgency;
    return job;
}

void addFjordhvile(Day &day, JobGenerator &generator)
{
    const Shape pair = makeShape(2, 8, Adjacency::Rack);
    const Shape four = makeShape(4, 8, Adjacency::Rack);
    const std::vector<Shape> small {makeShape(1, 1, Adjacency::Any), makeShape(1, 2, Adjacency::Any),
                                    makeShape(1, 4, Adjacency::Any)};
    generator.add(makeJob("route-plan", "bergen", Urgency::Normal), 36, 18, 24, 1.5, {pair, pair, four}, 4);
    generator.add(makeJob("route-plan-forde", "forde", Urgency::Normal), 24, 18, 24, 1.5, {pair}, 3);
    generator.add(makeJob("day-plan", "haugesund", Urgency::Normal), 40, 6, 18, 1.0, {pair, four}, 4);
    generator.add(makeJob("urgent-plan", "bergen", Urgency::Urgent), 60, 6, 22, 0.15,
                  {makeShape(1, 4, Adjacency::Worker)}, 5);
    generator.add(makeJob("hygiene", "hygiene", Urgency::Background), 1100, 0, 24, 2.2, small, 12);
    day.guarantees = {{TeamName("bergen"), pair, 2}, {TeamName("forde"), pair, 1}};
}

void addGuild(Day &day, JobGenerator &generator)
{
    const Shape four = makeShape(4, 8, Adjacency::Rack);
    const Shape rack = makeShape(6, 8, Adjacency::Rack);
    const std::vector<Shape> small {makeShape(1, 1, Adjacency::Any), makeShape(1, 2, Adjacency::Any),
                                    makeShape(1, 4, Adjacency::Any), makeShape(2, 2, Adjacency::Worker)};
    generator.add(makeJob("bore", "tirol", Urgency::Normal), 18, 0, 24, 3.0, {four, four, rack}, 6);
    generator.add(makeJob("bore-salz", "salzkammergut", Urgency::Normal), 14, 0, 24, 3.0, {four}, 4);
    generator.add(makeJob("tuning", "steiermark", Urgency::Urgent), 40, 7, 19, 0.2,
                  {makeShape(1, 2, Adjacency::Worker)}, 8);
    generator.add(makeJob("voicing", "archive", Urgency::Background), 1000, 0, 24, 2.4, small, 15);
    day.guarantees = {{TeamName("tirol"), four, 1}, {TeamName("salzkammergut"), four, 1}};
}

/** Progress of a job in the simulation. */
struct JobProgress {
    std::int64_t leftMs = 0;
    std::int64_t startedMs = 0;
    std::int64_t firstStartMs = -1;
    std::int64_t endMs = -1;
    std::uint32_t run = 0; ///< number of the current run; events of earlier runs are ignored
    PartWorkers workers;
    bool running = false;
    bool stopping = false;
    bool guaranteed = false;
    bool arrived = false;
};

enum class EventKind { Arrival, End, Stopped, Pass };

struct Event {
    std::int64_t timeMs = 0;
    EventKind kind = EventKind::Pass;
    std::size_t job = 0;
    std::uint32_t run = 0;

    bool operator>(const Event &other) const
    {
        return std::tie(timeMs, kind, job, run) > std::tie(other.timeMs, other.kind, other.job, other.run);
    }
};

Summary summarize(std::vector<double> values)
{
    Summary summary;
    if (values.empty()) {
        return summary;
    }
    std::sort(values.begin(), values.end());
    summary.p50 = values[values.size() / 2];
    summary.p95 = values[(values.size() - 1) * 95 / 100];
    for (const double value : values) {
        summary.mean += value / static_cast<double>(values.size());
    }
    return summary;
}

/** Event-driven simulation of one day. */
class Simulation
{
public:
    Simulation(const Day &day, SchedulingPolicy &policy)
        : m_day(day)
        , m_policy(policy)
        , m_progress(day.jobs.size())
    {
        for (std::size_t i = 0; i < day.jobs.size(); ++i) {
            m_index[day.jobs[i].job] = i;
            m_progress[i].leftMs = day.jobs[i].runMs;
            m_events.push({day.jobs[i].arrivalMs, EventKind::Arrival, i, 0});
        }
    }

    DayResult run()
    {
        while (!m_events.empty() && m_events.top().timeMs <= END_MS) {
            const std::int64_t now = m_events.top().timeMs;
            integrate(now);
            while (!m_events.empty() && m_events.top().timeMs == now) {
                const Event event = m_events.top();
                m_events.pop();
                handle(event);
            }
            pass(now);
        }
        return result();
    }

private:
    void handle(const Event &event)
    {
        if (event.kind == EventKind::Pass) {
            m_passDue = false;
            return;
        }
        JobProgress &progress = m_progress[event.job];
        if (event.kind == EventKind::Arrival) {
            progress.arrived = true;
            m_active.insert(event.job);
        } else if (progress.running && progress.run == event.run) {
            endRun(event);
        }
    }

    void endRun(const Event &event)
    {
        JobProgress &progress = m_progress[event.job];
        const DayJob &job = m_day.jobs[event.job];
        if (event.kind == EventKind::End) {
            if (progress.stopping) {
                return; // the job is already being stopped; the Stopped event ends its run
            }
            progress.endMs = event.timeMs;
            m_active.erase(event.job);
            m_runTimes.add(job.work, event.timeMs - progress.startedMs);
        } else {
            const std::int64_t ranMs = event.timeMs - progress.startedMs;
            const bool checkpoint = job.restart == RestartRule::Checkpoint;
            const std::int64_t keptMs = checkpoint ? std::max<std::int64_t>(0, ranMs - RESTART_LOSS_MS) : 0;
            progress.leftMs -= std::min(keptMs, progress.leftMs - 1);
            m_result.lostGpuHours += static_cast<double>((ranMs - keptMs) * job.shape.totalGpus()) / HOUR_MS;
        }
        if (progress.guaranteed) {
            m_guaranteeFreedMs[job.team] = event.timeMs;
        }
        progress.running = false;
        progress.stopping = false;
        progress.workers.clear();
    }

    PlanningView view(std::int64_t now) const
    {
        PlanningView view;
        view.fleet = m_day.fleet;
        view.guarantees = m_day.guarantees;
        view.nowMs = now;
        for (const std::size_t i : m_active) {
            const DayJob &job = m_day.jobs[i];
            const JobProgress &progress = m_progress[i];
            const std::int64_t runMs = m_runTimes.expectedMs(job.work, job.declaredMs);
            if (progress.running) {
                view.running.push_back(
                    {job, progress.workers, progress.guaranteed, progress.stopping, progress.startedMs, runMs});
            } else {
                view.waiting.push_back({job, job.arrivalMs, runMs, {}});
            }
        }
        return view;
    }

    void pass(std::int64_t now)
    {
        const PlanningView planningView = view(now);
        const TimePoint begin = Clock::now();
        const ScheduleDecision decision = m_policy.plan(planningView);
        m_planTime += Clock::now() - begin;
        ++m_passes;
        for (const StopDecision &stop : decision.stops) {
            const std::size_t index = m_index.at(stop.job);
            m_progress[index].stopping = true;
            m_events.push({now + STOP_DELAY_MS, EventKind::Stopped, index, m_progress[index].run});
            ++(stop.move ? m_result.moves : m_result.preemptions);
            digest("stop " + stop.job.value() + " for " + stop.beneficiary.value());
        }
        for (const PlaceDecision &placement : decision.placements) {
            start(placement, now);
        }
        if (!decision.waits.empty() && !m_passDue) {
            m_passDue = true;
            m_events.push({now + MAX_PASS_INTERVAL_MS, EventKind::Pass, 0, 0});
        }
    }

    void start(const PlaceDecision &placement, std::int64_t now)
    {
        const std::size_t index = m_index.at(placement.job);
        JobProgress &progress = m_progress[index];
        progress.running = true;
        progress.guaranteed = placement.guaranteed;
        progress.workers = placement.workers;
        progress.startedMs = now;
        progress.firstStartMs = progress.firstStartMs < 0 ? now : progress.firstStartMs;
        ++progress.run;
        m_events.push({now + progress.leftMs, EventKind::End, index, progress.run});
        std::string text = "place " + placement.job.value() + " at " + std::to_string(now) + " on";
        for (const WorkerIndex worker : placement.workers) {
            text += " " + std::to_string(worker);
        }
        digest(text);
        if (placement.guaranteed) {
            // The wait starts when the team has both this job and unused guarantee.
            const std::int64_t eligibleMs =
                std::max(m_day.jobs[index].arrivalMs, m_guaranteeFreedMs[m_day.jobs[index].team]);
            m_guaranteedWaits.push_back(static_cast<double>(now - eligibleMs) / 1'000);
        }
    }

    void digest(const std::string &text)
    {
        m_result.digest = stableHash(text, m_result.digest + 1);
    }

    /** Adds the time since the last event to the time-weighted results, with the state that held until now. */
    void integrate(std::int64_t now)
    {
        FleetModel fleet = m_day.fleet;
        for (const std::size_t i : m_active) {
            if (m_progress[i].running) {
                fleet.allocateAll(m_progress[i].workers, m_day.jobs[i].shape.part);
            }
        }
        const auto elapsedMs = static_cast<double>(std::min(now, DAY_MS) - std::min(m_lastMs, DAY_MS));
        m_lastMs = now;
        const std::int64_t free = fleet.freeGpus();
        const std::int64_t total = m_day.fleet.freeGpus();
        if (elapsedMs <= 0) {
            return;
        }
        m_accountedMs += elapsedMs;
        m_busyMs += elapsedMs * static_cast<double>(total - free) / static_cast<double>(total);
        if (free < LARGE_GANG_GPUS) {
            return; // no large gang would fit, however the free GPUs were spread
        }
        std::int64_t largest = 0;
        std::int64_t wholeTotal = 0;
        for (const WorkerGroup &rack : fleet.groups(Adjacency::Rack)) {
            std::int64_t wholeInRack = 0;
            for (const WorkerIndex worker : rack) {
                wholeInRack += fleet.isIdle(worker) ? fleet.capacity(worker).gpus : 0;
            }
            largest = std::max(largest, wholeInRack);
            wholeTotal += wholeInRack;
        }
        constexpr std::int64_t RACK_GPUS = WORKERS_PER_RACK * 8;
        m_fragmentationMs += elapsedMs;
        m_result.fragmentation +=
            elapsedMs * static_cast<double>(largest) / static_cast<double>(std::min(free, RACK_GPUS));
        m_result.largeGangsPlaceable += elapsedMs * static_cast<double>(wholeTotal) / static_cast<double>(free);
    }

    DayResult result()
    {
        std::vector<double> largeWaits;
        std::map<std::string, std::vector<double>> slowdowns;
        std::map<std::string, std::vector<double>> byCaller;
        std::map<std::string, std::vector<double>> byTeam;
        for (std::size_t i = 0; i < m_progress.size(); ++i) {
            const DayJob &job = m_day.jobs[i];
            const JobProgress &progress = m_progress[i];
            const std::int64_t end = progress.endMs < 0 ? END_MS : progress.endMs;
            const std::int64_t first = progress.firstStartMs < 0 ? END_MS : progress.firstStartMs;
            const double wait = static_cast<double>(first - job.arrivalMs) / MINUTE_MS;
            m_result.unfinished += progress.endMs < 0 ? 1 : 0;
            if (job.flood) {
                continue;
            }
            if (job.shape.totalGpus() >= LARGE_GANG_GPUS) {
                largeWaits.push_back(wait);
            }
            const double slowdown = static_cast<double>(end - job.arrivalMs) / static_cast<double>(job.runMs);
            slowdowns[job.work.value()].push_back(slowdown);
            byCaller[job.team.value() + "/" + job.caller.value()].push_back(slowdown);
            byTeam[job.team.value()].push_back(slowdown);
        }
        m_result.largeWaitMinutes = summarize(largeWaits);
        m_result.guaranteedWaitSeconds = summarize(m_guaranteedWaits);
        for (const auto &[work, values] : slowdowns) {
            m_result.slowdown[work] = summarize(values);
        }
        double sum = 0;
        double squares = 0;
        for (const auto &[caller, values] : byCaller) {
            const double mean = summarize(values).mean;
            sum += mean;
            squares += mean * mean;
        }
        m_result.callerFairness = squares > 0 ? sum * sum / (squares * static_cast<double>(byCaller.size())) : 1;
        for (const auto &[team, values] : byTeam) {
            m_result.worstTeamSlowdown = std::max(m_result.worstTeamSlowdown, summarize(values).mean);
        }
        m_result.fragmentation /= std::max(1.0, m_fragmentationMs);
        m_result.largeGangsPlaceable /= std::max(1.0, m_fragmentationMs);
        m_result.utilisation = m_busyMs / std::max(1.0, m_accountedMs);
        m_result.planMicroseconds = std::chrono::duration<double, std::micro>(m_planTime).count()
                                    / static_cast<double>(std::max<std::size_t>(1, m_passes));
        return m_result;
    }

    const Day &m_day;
    SchedulingPolicy &m_policy;
    std::vector<JobProgress> m_progress;
    std::map<JobId, std::size_t> m_index;
    std::set<std::size_t> m_active;
    std::vector<double> m_guaranteedWaits;
    std::map<TeamName, std::int64_t> m_guaranteeFreedMs; ///< when a guaranteed gang of the team last ended
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    RunTimeEstimator m_runTimes;
    DayResult m_result;
    Duration m_planTime {0};
    std::size_t m_passes = 0;
    std::int64_t m_lastMs = 0;
    double m_busyMs = 0;
    double m_accountedMs = 0;
    double m_fragmentationMs = 0;
    bool m_passDue = false;
};

} // namespace

Day makeDay(const DayOptions &options)
{
    Day day;
    Random random(options.seed);
    const std::vector<std::string> places {"one", "two", "three", "four"};
    const std::size_t racks = (WORKERS + WORKERS_PER_RACK - 1) / WORKERS_PER_RACK;
    for (std::size_t i = 0; i < WORKERS; ++i) {
        const std::size_t rack = i / WORKERS_PER_RACK;
        day.fleet.add(WorkerId("worker-" + std::to_string(i)), PlaceName(places[rack * places.size() / racks]),
                      RackName("rack-" + std::to_string(rack)), {128, 256'000, 8});
    }
    JobGenerator generator(day, random);
    if (options.user == User::Fjordhvile) {
        addFjordhvile(day, generator);
    } else {
        addGuild(day, generator);
    }
    if (options.flood != Flood::None) {
        const bool urgent = options.flood == Flood::Urgent;
        DayJob prototype = makeJob("flood", "flooding", urgent ? Urgency::Urgent : Urgency::Background);
        prototype.flood = true;
        generator.add(prototype, 1500, 8, 20, 0.7, {makeShape(1, 1, Adjacency::Any), makeShape(1, 4, Adjacency::Any)},
                      3);
    }
    std::stable_sort(day.jobs.begin(), day.jobs.end(),
                     [](const DayJob &a, const DayJob &b) { return a.arrivalMs < b.arrivalMs; });
    return day;
}

DayResult runDay(const Day &day, SchedulingPolicy &policy)
{
    return Simulation(day, policy).run();
}

} // namespace Papaya::Bench
