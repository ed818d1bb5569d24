#pragma once

#include "steps/jobrecord.h"

#include <cstdint>
#include <map>
#include <unordered_map>

// Predicts the run times of tasks. Estimates by callers can be off by an order of magnitude, so a regression of run
// time on estimate is learned for each queue from finished runs. The less the estimates of a queue explain, the closer
// its predictions are to the mean run time. Every node learns from the journal records that it reads.

namespace Papaya
{

/** Learned run times, by queue. */
class RunTimes
{
public:
    /** Adds a finished run of a task of @p queue. */
    void add(const QueueName &queue, std::int64_t estimateMs, std::int64_t actualMs);

    /** @return the expected run time of a task with this estimate, in milliseconds. */
    [[nodiscard]] std::int64_t expectedMs(const QueueName &queue, std::int64_t estimateMs) const;

    /** @return a run time in milliseconds that few healthy runs with this estimate exceed. */
    [[nodiscard]] std::int64_t plausibleMs(const QueueName &queue, std::int64_t estimateMs) const;

    /**
     * Learns from the records of a unit. A run is timed from its placement to its end; runs that resumed from a
     * checkpoint and long-running tasks do not count.
     */
    void observe(const StepJob &job, const UnitChanged &change, std::int64_t nowMs);

private:
    /** Sums for the regression of log run time (y) on log estimate (x). */
    struct Sums {
        double count = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;
    };
    /** Prediction for an estimate: mean and standard deviation of the log run time. */
    struct Fit {
        double mean = 0;
        double deviation = 0;
    };
    [[nodiscard]] Fit fit(const QueueName &queue, std::int64_t estimateMs) const;

    std::unordered_map<QueueName, Sums> m_queues;
    std::map<UnitKey, std::int64_t> m_placedMs;
};

} // namespace Papaya
