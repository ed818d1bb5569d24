#include "steps/timeliness.h"

#include <algorithm>
#include <vector>

namespace Papaya
{

namespace
{

constexpr double LATE_FACTOR = 3; // a result is of use up to this multiple of the objective

} // namespace

Timeliness timelinessOf(const JobEntry &entry, std::uint32_t occurrence, const RunTimes &times, std::int64_t nowMs)
{
    const StepJob &job = entry.job;
    const std::size_t count = job.spec.steps.size();
    std::vector<std::int64_t> wholeEnds(count);
    std::vector<std::int64_t> restEnds(count);
    std::int64_t whole = 0;
    std::int64_t rest = 0;
    for (std::size_t s = 0; s < count; ++s) {
        const StepSpec &step = job.spec.steps[s];
        for (const std::uint32_t earlier : step.dependencies) {
            wholeEnds[s] = std::max(wholeEnds[s], wholeEnds[earlier]);
            restEnds[s] = std::max(restEnds[s], restEnds[earlier]);
        }
        const std::int64_t expected = times.expectedMs(job.queue, step.estimate.count());
        const StepProgress &progress = entry.occurrences[occurrence].steps[s];
        wholeEnds[s] += expected;
        restEnds[s] += progress.done == progress.units.size() ? 0 : expected;
        whole = std::max(whole, wholeEnds[s]);
        rest = std::max(rest, restEnds[s]);
    }
    const std::int64_t since = std::max(job.submittedMs, entry.dueMs(occurrence));
    const double objective = job.stretch * double(whole) + double(job.targetMs);
    const double takes = double(nowMs - since + rest);
    if (takes <= objective) {
        return Timeliness::InTime;
    }
    return takes <= LATE_FACTOR * objective ? Timeliness::Late : Timeliness::Expired;
}

} // namespace Papaya
