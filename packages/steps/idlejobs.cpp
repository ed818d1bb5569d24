#include "steps/idlejobs.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Papaya
{

namespace
{

constexpr std::int64_t FIRST_REPORT_MS = 1'500; // after it came to stand still
constexpr std::int64_t SECOND_REPORT_MS = 3'000;
constexpr std::int64_t REPORT_INTERVAL_MS = 2'000; // after the second report
constexpr std::string_view UNEXPLAINED = "unexplained";

/** Work of one job that stands still. */
struct IdleUnits {
    std::optional<IdleWork> first; ///< of the steps that are not long-running
    std::vector<IdleWork> longRunning;
};

/** Adds what stands still of step @p s; of other than long-running steps only as long as none waits. */
void addIdleUnits(const JobEntry &entry, std::uint32_t occurrence, std::uint32_t s,
                  const std::map<UnitKey, RunPhase> &phases, IdleUnits &idle)
{
    const StepSpec &spec = entry.job.spec.steps[s];
    const std::vector<UnitStatus> &units = entry.occurrences[occurrence].steps[s].units;
    for (std::size_t i = 0; i < units.size(); ++i) {
        const bool placed = units[i].state == UnitState::Placed;
        if (!placed && units[i].state != UnitState::Waiting) {
            continue;
        }
        IdleWork work;
        work.unit = {entry.job.id, occurrence, s, spec.gang ? UnitKey::GANG : static_cast<std::int32_t>(i)};
        work.placed = placed;
        const auto phase = placed ? phases.find(work.unit) : phases.end();
        if (phase != phases.end() && phase->second == RunPhase::Running) {
            continue;
        }
        work.starting = phase != phases.end();
        if (spec.longRunning) {
            idle.longRunning.push_back(work);
        } else if (!idle.first || (idle.first->placed && !placed)) {
            idle.first = work;
        }
        if (!spec.longRunning && !placed) {
            return;
        }
    }
}

} // namespace

template<typename Key>
void IdleJobs::note(std::map<Key, IdleWork> &now, const std::map<Key, IdleWork> &before, const Key &key, IdleWork work)
{
    if (const auto known = before.find(key); known != before.end()) {
        work.sinceMs = known->second.sinceMs;
        work.nextReportMs = known->second.nextReportMs;
        work.reason = known->second.reason;
    }
    now.emplace_hint(now.end(), key, std::move(work));
}

void IdleJobs::update(const JobTable &jobs, const std::map<UnitKey, RunPhase> &phases, DecisionTime now)
{
    const auto jobsBefore = std::exchange(m_jobs, {});
    const auto longRunningBefore = std::exchange(m_longRunning, {});
    for (const auto &[key, entry] : jobs.live()) {
        // 1. What the placed units of the job do.
        const JobId &id = entry->job.id;
        bool runs = false;
        bool starts = false;
        for (auto phase = phases.lower_bound({id, 0, 0, UnitKey::GANG});
             phase != phases.end() && phase->first.job == id; ++phase) {
            runs = runs || phase->second == RunPhase::Running;
            starts = starts || phase->second == RunPhase::Starting;
        }
        // 2. What of its ready steps stands still.
        IdleUnits idle;
        for (std::uint32_t k = 0; k < entry->occurrences.size() && entry->dueMs(k) <= now.wallMs; ++k) {
            for (std::uint32_t s = 0; s < entry->occurrences[k].steps.size(); ++s) {
                const StepProgress &step = entry->occurrences[k].steps[s];
                const bool counts = entry->job.spec.steps[s].longRunning || !runs;
                if (counts && step.done < step.units.size() && entry->dependenciesDone(k, s)) {
                    addIdleUnits(*entry, k, s, phases, idle);
                }
            }
        }
        // 3. Since when.
        for (IdleWork &work : idle.longRunning) {
            work.sinceMs = now.steadyMs;
            work.nextReportMs = now.steadyMs + FIRST_REPORT_MS;
            note(m_longRunning, longRunningBefore, work.unit, work);
        }
        if (idle.first) {
            idle.first->starting = starts;
            idle.first->sinceMs = now.steadyMs;
            idle.first->nextReportMs = now.steadyMs + FIRST_REPORT_MS;
            note(m_jobs, jobsBefore, id, *idle.first);
        }
    }
}

void IdleJobs::started(const UnitKey &unit)
{
    if (const auto found = m_longRunning.find(unit); found != m_longRunning.end()) {
        found->second.starting = true;
    }
    if (const auto found = m_jobs.find(unit.job); found != m_jobs.end()) {
        found->second.starting = true;
    }
}

std::int64_t IdleJobs::jobIdleMs(const JobId &job, std::int64_t steadyMs) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() || found->second.starting ? 0 : steadyMs - found->second.sinceMs;
}

std::int64_t IdleJobs::unitIdleMs(const UnitKey &unit, std::int64_t steadyMs) const
{
    const auto found = m_longRunning.find(unit);
    return found == m_longRunning.end() || found->second.starting ? 0 : steadyMs - found->second.sinceMs;
}

std::vector<IdleWork> IdleJobs::takeDue(std::int64_t steadyMs, std::size_t limit)
{
    // 1. Finds what is due.
    std::vector<IdleWork *> due;
    const auto collect = [&](auto &idle) {
        for (auto &[key, work] : idle) {
            if (work.nextReportMs <= steadyMs) {
                due.push_back(&work);
            }
        }
    };
    collect(m_jobs);
    collect(m_longRunning);
    std::stable_sort(due.begin(), due.end(),
                     [](const IdleWork *a, const IdleWork *b) { return a->nextReportMs < b->nextReportMs; });
    // 2. Takes as much as the limit allows; the rest stays due.
    std::vector<IdleWork> taken;
    for (std::size_t i = 0; i < std::min(limit, due.size()); ++i) {
        IdleWork &work = *due[i];
        taken.push_back(work);
        const std::int64_t waitedMs = steadyMs - work.sinceMs;
        work.nextReportMs =
            waitedMs < SECOND_REPORT_MS ? work.sinceMs + SECOND_REPORT_MS : steadyMs + REPORT_INTERVAL_MS;
    }
    return taken;
}

void IdleJobs::explained(const IdleWork &work, std::string_view reason)
{
    const auto set = [&](auto &idle, const auto &key) {
        if (const auto found = idle.find(key); found != idle.end() && found->second.unit == work.unit) {
            found->second.reason = reason;
        }
    };
    set(m_longRunning, work.unit);
    set(m_jobs, work.unit.job);
}

std::map<std::string_view, std::size_t> IdleJobs::reasons(std::int64_t steadyMs) const
{
    std::map<std::string_view, std::size_t> counts;
    const auto count = [&](const auto &idle) {
        for (const auto &[key, work] : idle) {
            if (steadyMs - work.sinceMs >= FIRST_REPORT_MS) {
                ++counts[work.reason.empty() ? UNEXPLAINED : work.reason];
            }
        }
    };
    count(m_jobs);
    count(m_longRunning);
    return counts;
}

} // namespace Papaya
