#pragma once

#include "steps/jobrecord.h"

#include <cstdint>
#include <map>
#include <unordered_map>

// How long tasks really take. Answers the pattern of callers' estimates that are off by up to an order of magnitude:
// what an estimate is worth is learned for each queue from the runs that were done, and an estimate that says little
// gives way to the mean of the queue. Pure; every node learns the same from the journal.

namespace Papaya
{

/** Learned run times by queue. */
class RunTimes
{
public:
    /** A run of a task of @p queue that was estimated at @p estimateMs took @p actualMs. */
    void add(const QueueName &queue, std::int64_t estimateMs, std::int64_t actualMs);

    /** @return how long a task with this estimate is likely to run. */
    [[nodiscard]] std::int64_t expectedMs(const QueueName &queue, std::int64_t estimateMs) const;

    /** @return a time that few sound runs with this estimate exceed. */
    [[nodiscard]] std::int64_t plausibleMs(const QueueName &queue, std::int64_t estimateMs) const;

    /** Follows a unit's records: a run counts from its placing to its end, unless it resumed from a checkpoint. */
    void observe(const StepJob &job, const UnitChanged &change, std::int64_t nowMs);

private:
    /** Sums for a regression of the logarithm of the run time on that of the estimate. */
    struct Sums {
        double count = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;
    };
    /** What the sums say about a run with this estimate: the logarithm of its time, and the spread around it. */
    struct Fit {
        double mean = 0;
        double deviation = 0;
    };
    [[nodiscard]] Fit fit(const QueueName &queue, std::int64_t estimateMs) const;

    std::unordered_map<QueueName, Sums> m_queues;
    std::map<UnitKey, std::int64_t> m_placedMs;
};

} // namespace Papaya
