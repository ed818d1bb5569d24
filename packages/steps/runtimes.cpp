#include "steps/runtimes.h"

#include <algorithm>
#include <cmath>

namespace Papaya
{

namespace
{

constexpr double PRIOR_RUNS = 6;        // weight of the prior, as a number of runs that took as long as estimated
constexpr double PRIOR_DEVIATION = 0.5; // standard deviation of log estimates in the prior
constexpr double PRIOR_ERROR = 0.8;     // standard deviation of log run time around the estimate in the prior
constexpr double PLAUSIBLE_DEVIATIONS = 2;
constexpr std::int64_t MIN_MS = 50;

double logOf(std::int64_t ms)
{
    return std::log(double(std::max(ms, MIN_MS)));
}

} // namespace

void RunTimes::add(const QueueName &queue, std::int64_t estimateMs, std::int64_t actualMs)
{
    Sums &sums = m_queues[queue];
    const double x = logOf(estimateMs);
    const double y = logOf(actualMs);
    sums.count += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
    sums.yy += y * y;
}

RunTimes::Fit RunTimes::fit(const QueueName &queue, std::int64_t estimateMs) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return {logOf(estimateMs), PRIOR_ERROR};
    }
    const Sums &sums = found->second;
    const double meanX = sums.x / sums.count;
    const double meanY = sums.y / sums.count;
    const double varianceX = sums.xx - sums.count * meanX * meanX;
    const double varianceY = sums.yy - sums.count * meanY * meanY;
    const double covariance = sums.xy - sums.count * meanX * meanY;
    // The prior adds runs that took as long as estimated.
    const double priorVariance = PRIOR_RUNS * PRIOR_DEVIATION * PRIOR_DEVIATION;
    const double slope = std::clamp((covariance + priorVariance) / (varianceX + priorVariance), 0.0, 1.0);
    const double weight = sums.count / (sums.count + PRIOR_RUNS);
    const double level = meanX + weight * (meanY - meanX);
    const double residual = std::max(0.0, varianceY - 2 * slope * covariance + slope * slope * varianceX);
    const double deviation = std::sqrt((residual + PRIOR_RUNS * PRIOR_ERROR * PRIOR_ERROR) / (sums.count + PRIOR_RUNS));
    return {level + slope * (logOf(estimateMs) - meanX), deviation};
}

std::int64_t RunTimes::expectedMs(const QueueName &queue, std::int64_t estimateMs) const
{
    return std::llround(std::exp(fit(queue, estimateMs).mean));
}

std::int64_t RunTimes::plausibleMs(const QueueName &queue, std::int64_t estimateMs) const
{
    const Fit found = fit(queue, estimateMs);
    return static_cast<std::int64_t>(std::exp(found.mean + PLAUSIBLE_DEVIATIONS * found.deviation));
}

void RunTimes::observe(const StepJob &job, const UnitChanged &change, std::int64_t nowMs)
{
    const auto placed = m_placedMs.find(change.unit);
    if (change.status.state == UnitState::Placed) {
        if (change.status.checkpoint.empty()) {
            m_placedMs.try_emplace(change.unit, nowMs); // further records of the run tell of members that ended
        }
        return;
    }
    if (placed == m_placedMs.end()) {
        return;
    }
    const StepSpec &step = job.spec.steps[change.unit.step];
    if (change.status.state == UnitState::Done && change.status.checkpoint.empty() && !step.longRunning) {
        add(job.queue, step.estimate.count(), nowMs - placed->second);
    }
    m_placedMs.erase(placed);
}

} // namespace Papaya
