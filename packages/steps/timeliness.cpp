#include "steps/timeliness.h"

#include <algorithm>
#include <vector>

namespace Papaya
{

namespace
{

constexpr double LATE_FACTOR = 3; // a result is of use up to this multiple of the objective

/** The wall clocks of two machines may differ, so that the age of a job counts by the clock of this one. */
std::int64_t ageMs(const JobEntry &entry, std::uint32_t occurrence, DecisionTime now)
{
    if (entry.job.spec.timetable.runs == 0 && entry.acceptedMs) {
        return now.steadyMs - *entry.acceptedMs;
    }
    return now.wallMs - std::max(entry.job.submittedMs, entry.dueMs(occurrence));
}

} // namespace

Timeliness timelinessOf(const JobEntry &entry, std::uint32_t occurrence, const RunTimes &times, DecisionTime now)
{
    const StepJob &job = entry.job;
    const std::size_t count = job.spec.steps.size();
    std::vector<std::int64_t> pathEndsMs(count);
    std::vector<std::int64_t> remainingEndsMs(count);
    std::int64_t criticalPathMs = 0;
    std::int64_t remainingMs = 0;
    for (std::size_t s = 0; s < count; ++s) {
        const StepSpec &step = job.spec.steps[s];
        for (const std::uint32_t earlier : step.dependencies) {
            pathEndsMs[s] = std::max(pathEndsMs[s], pathEndsMs[earlier]);
            remainingEndsMs[s] = std::max(remainingEndsMs[s], remainingEndsMs[earlier]);
        }
        const std::int64_t stepMs = times.expectedMs(job.queue, step.estimate.count());
        const StepProgress &progress = entry.occurrences[occurrence].steps[s];
        pathEndsMs[s] += stepMs;
        remainingEndsMs[s] += progress.done == progress.units.size() ? 0 : stepMs;
        criticalPathMs = std::max(criticalPathMs, pathEndsMs[s]);
        remainingMs = std::max(remainingMs, remainingEndsMs[s]);
    }
    const double objective = job.stretch * double(criticalPathMs) + double(job.targetMs);
    const double expectedTotalMs = double(ageMs(entry, occurrence, now) + remainingMs);
    if (expectedTotalMs <= objective) {
        return Timeliness::InTime;
    }
    return expectedTotalMs <= LATE_FACTOR * objective ? Timeliness::Late : Timeliness::Expired;
}

} // namespace Papaya
