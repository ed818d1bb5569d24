#include "standstills.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace Papaya::Testing
{

namespace
{

using Standins::TaskRun;

constexpr std::int64_t LIMIT_MS = 3'000;     // from which a job stands still
constexpr std::int64_t AFTERMATH_MS = 4'000; // after a fault, which don't count
constexpr std::int64_t RESTART_MS = 6'000;   // after the last run of a unit that lasts, which don't count
constexpr std::int64_t ROOM_FACTOR = 2;      // how often a unit must fit
constexpr std::int64_t NEVER = std::int64_t(1) << 60;

/** A step in one occurrence of its job. */
struct StepId {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepId &) const = default;
};

/** A unit; the index of a gang is 0. */
struct UnitId {
    StepId step;
    std::uint32_t index = 0;

    auto operator<=>(const UnitId &) const = default;
};

UnitId parse(const std::string &task)
{
    const std::size_t k = task.find('.') + 1;
    const std::size_t step = task.find('.', k) + 1;
    const std::size_t index = task.find('.', step) + 1;
    const auto number = [&](std::size_t at) { return static_cast<std::uint32_t>(std::stoul(task.substr(at))); };
    return {{task.substr(0, k - 1), number(k), number(step)}, number(index)};
}

/** Something that stands still. */
struct Standstill {
    UnitId unit;
    TimeSpan span;
};

class Observation
{
public:
    explicit Observation(const DeploymentSeen &seen)
        : m_seen(seen)
    {
        for (const TaskRun &run : seen.runs) {
            const auto job = seen.jobs.find(parse(run.task).step.job);
            if (job == seen.jobs.end()) {
                continue;
            }
            UnitId unit = parse(run.task);
            const StepShape &step = job->second.shape.steps.at(unit.step.step);
            unit.index = step.gang ? 0 : unit.index;
            m_runs.push_back({&run, unit.step, &step});
            m_runsOfUnit[unit].push_back(&run);
            m_runsOfJob[unit.step.job].push_back(&run);
        }
    }

    std::vector<std::string> standstills()
    {
        for (const auto &[id, job] : m_seen.jobs) {
            if (!job.accepted) {
                continue;
            }
            for (const TimeSpan &calm : m_seen.calm) {
                checkJob(id, job, {calm.fromMs + AFTERMATH_MS, std::min(calm.toMs, m_seen.untilMs)});
            }
        }
        std::vector<std::string> lines;
        for (const Standstill &found : m_found) {
            lines.push_back(describe(found));
        }
        return lines;
    }

private:
    struct StepRun {
        const TaskRun *run = nullptr;
        StepId id;
        const StepShape *step = nullptr;
    };

    void checkJob(const std::string &id, const JobSeen &job, TimeSpan window)
    {
        window.toMs = std::min(window.toMs, jobEndMs(id, job));
        if (window.length() < LIMIT_MS) {
            return;
        }
        std::vector<TimeSpan> running;
        for (const TaskRun *run : m_runsOfJob[id]) {
            running.push_back({run->startedMs, endMs(*run)});
        }
        std::optional<Standstill> longest; // of those that have nothing running in the whole job
        for (std::uint32_t k = 0; k < job.shape.occurrences; ++k) {
            for (std::uint32_t s = 0; s < job.shape.steps.size(); ++s) {
                const StepShape &step = job.shape.steps[s];
                const std::int64_t turn = turnMs(id, job, k, s);
                for (std::uint32_t i = 0; i < step.units(); ++i) {
                    const UnitId unit {{id, k, s}, i};
                    TimeSpan span {std::max(window.fromMs, turn), std::min(window.toMs, unitEndMs(unit, job))};
                    const auto found = findIn(unit, step, without(span, step.lasts ? shadows(unit, turn) : running));
                    if (found && step.lasts) {
                        m_found.push_back(*found);
                    } else if (found && (!longest || found->span.length() > longest->span.length())) {
                        longest = found;
                    }
                }
            }
        }
        if (longest) {
            m_found.push_back(*longest);
        }
    }

    /** @return the times of the runs of a unit that lasts, each with the time that its restart may take. */
    std::vector<TimeSpan> shadows(const UnitId &unit, std::int64_t turn)
    {
        std::vector<TimeSpan> spans {{turn, turn + RESTART_MS}};
        for (const TaskRun *run : m_runsOfUnit[unit]) {
            spans.push_back({run->startedMs, endMs(*run) + RESTART_MS});
        }
        return spans;
    }

    /** @return the longest standstill of @p unit in @p idle, spans in which it could run if there is room. */
    std::optional<Standstill> findIn(const UnitId &unit, const StepShape &step, const std::vector<TimeSpan> &idle)
    {
        std::optional<Standstill> longest;
        for (const TimeSpan &span : idle) {
            if (span.length() < LIMIT_MS) {
                continue;
            }
            std::set<std::int64_t> changes {span.fromMs};
            for (const TaskRun &run : m_seen.runs) {
                for (const std::int64_t at : {run.startedMs, run.endedMs}) {
                    if (at > span.fromMs && at < span.toMs) {
                        changes.insert(at);
                    }
                }
            }
            std::vector<TimeSpan> crowded;
            for (auto at = changes.begin(); at != changes.end(); ++at) {
                if (!hasRoom(unit, step, *at)) {
                    crowded.push_back({*at, std::next(at) == changes.end() ? span.toMs : *std::next(at)});
                }
            }
            for (const TimeSpan &part : without(span, crowded)) {
                if (part.length() >= LIMIT_MS && (!longest || part.length() > longest->span.length())) {
                    longest = Standstill {unit, part};
                }
            }
        }
        return longest;
    }

    /** @return true if @p unit would fit twice at @p atMs, on whichever racks. */
    [[nodiscard]] bool hasRoom(const UnitId &unit, const StepShape &step, std::int64_t atMs) const
    {
        std::map<std::string, Resources> free;
        std::map<std::string, std::uint32_t> tasksOfStep;
        for (const auto &[id, minion] : m_seen.minions) {
            free[id] = minion.capacity;
        }
        for (const StepRun &other : m_runs) {
            if (other.run->startedMs <= atMs && endMs(*other.run) > atMs) {
                free[other.run->minion] -= other.step->need;
                tasksOfStep[other.run->minion] += other.id == unit.step ? 1 : 0;
            }
        }
        const std::int64_t wanted = ROOM_FACTOR * (step.gang ? step.count : 1);
        std::int64_t fitting = 0;
        for (const auto &[id, minion] : m_seen.minions) {
            const bool labelled =
                step.label.empty()
                || std::find(minion.labels.begin(), minion.labels.end(), step.label) != minion.labels.end();
            const bool away = std::any_of(minion.away.begin(), minion.away.end(), [atMs](const TimeSpan &span) {
                return span.fromMs <= atMs && atMs < span.toMs;
            });
            const bool suits = labelled && !away;
            std::uint32_t tasks = tasksOfStep[id];
            for (Resources &left = free[id]; suits && fitting < wanted && left.covers(step.need)
                                             && (step.antiAffinity == 0 || tasks < step.antiAffinity);
                 left -= step.need) {
                ++fitting;
                ++tasks;
            }
        }
        return fitting >= wanted;
    }

    [[nodiscard]] std::int64_t endMs(const TaskRun &run) const
    {
        return run.endedMs == 0 ? NEVER : run.endedMs;
    }

    /** @return since when the step can run in occurrence @p k. */
    std::int64_t turnMs(const std::string &id, const JobSeen &job, std::uint32_t k, std::uint32_t s)
    {
        std::int64_t turn = std::max(job.acceptedMs, job.shape.firstRunMs + k * job.shape.intervalMs);
        for (const std::uint32_t earlier : job.shape.steps[s].dependsOn) {
            for (std::uint32_t i = 0; i < job.shape.steps[earlier].units(); ++i) {
                turn = std::max(turn, unitEndMs({{id, k, earlier}, i}, job));
            }
        }
        return turn;
    }

    /**
     * @return true if the end of @p run, which came after its lease had expired, counted from its acknowledgement on: a
     * later run may have started before that, but none after it.
     */
    [[nodiscard]] static bool isKnownFrom(const TaskRun &run, const std::vector<const TaskRun *> &runs)
    {
        return run.ackedMs != 0 && std::all_of(runs.begin(), runs.end(), [&run](const TaskRun *other) {
                   return other->startedMs < run.ackedMs;
               });
    }

    /** @return since when @p unit is done or has failed for good. */
    std::int64_t unitEndMs(const UnitId &unit, const JobSeen &job)
    {
        const std::vector<const TaskRun *> &runs = m_runsOfUnit[unit];
        if (job.shape.steps[unit.step.step].lasts) {
            return NEVER;
        }
        std::uint32_t last = 0;
        for (const TaskRun *run : runs) {
            last = std::max(last, run->run);
        }
        std::int64_t end = NEVER;
        std::map<std::uint32_t, std::int64_t> failures; // by run
        for (const TaskRun *run : runs) {
            if (run->how == "done" && (run->notedMs != 0 || (run->run == last && job.ended))) {
                end = std::min(end, run->endedMs);
            } else if (run->how == "done" && job.ended && isKnownFrom(*run, runs)) {
                end = std::min(end, run->ackedMs);
            } else if (run->how == "failed") {
                failures.emplace(run->run, run->endedMs);
            }
        }
        const bool givenUp = failures.size() >= job.shape.attempts && failures.contains(last);
        return givenUp ? std::min(end, failures.at(last)) : end;
    }

    /** @return when the job was cancelled or failed. */
    std::int64_t jobEndMs(const std::string &id, const JobSeen &job)
    {
        std::int64_t end = job.cancelSentMs == 0 ? NEVER : job.cancelSentMs;
        for (const auto &[unit, runs] : m_runsOfUnit) {
            const bool isDone =
                std::any_of(runs.begin(), runs.end(), [](const TaskRun *run) { return run->how == "done"; });
            if (unit.step.job == id && !isDone) {
                end = std::min(end, unitEndMs(unit, job));
            }
        }
        return end;
    }

    [[nodiscard]] std::string describe(const Standstill &found)
    {
        const UnitId &unit = found.unit;
        const JobShape &shape = m_seen.jobs.at(unit.step.job).shape;
        std::set<std::string> others;
        for (const Standstill &other : m_found) {
            const bool overlaps = other.span.fromMs < found.span.toMs && found.span.fromMs < other.span.toMs;
            const std::string &job = other.unit.step.job;
            if (overlaps && job != unit.step.job && m_seen.jobs.at(job).shape.tenant == shape.tenant) {
                others.insert(job);
            }
        }
        std::int64_t moved = NEVER;
        for (const TaskRun *run : m_runsOfJob[unit.step.job]) {
            moved = run->startedMs >= found.span.toMs ? std::min(moved, run->startedMs) : moved;
        }
        return "LOST, stands still: " + unit.step.job + " (" + shape.kind + ", " + shape.queue + ", tenant "
               + shape.tenant + ") has nothing running from " + std::to_string(found.span.fromMs) + " to "
               + std::to_string(found.span.toMs) + ", unit " + std::to_string(unit.step.occurrence) + "."
               + std::to_string(unit.step.step) + "." + std::to_string(unit.index) + " could run ("
               + std::to_string(m_runsOfUnit[unit].size()) + " runs of it so far; " + std::to_string(others.size())
               + " more jobs of its tenant stand so; "
               + (moved == NEVER ? "it starts nothing later" : "starts at " + std::to_string(moved)) + ")";
    }

    const DeploymentSeen &m_seen;
    std::vector<StepRun> m_runs;
    std::map<UnitId, std::vector<const TaskRun *>> m_runsOfUnit;
    std::map<std::string, std::vector<const TaskRun *>> m_runsOfJob;
    std::vector<Standstill> m_found;
};

} // namespace

std::vector<std::string> standstills(const DeploymentSeen &seen)
{
    return Observation(seen).standstills();
}

} // namespace Papaya::Testing
