#pragma once

#include "interference/imageinterference.h"
#include "interference/keepapart.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Turns the reports of minions into observations of interference: tail latencies of serving tasks, and changes of the
// progress of other tasks.

namespace Papaya
{

/** A running task in a report of its minion. */
struct ObservedTask {
    std::string name;     ///< identifies the run; used for tasks with progress only
    std::string image;    ///< may be empty
    bool serves = false;  ///< its tail latency is bounded
    bool fills = false;   ///< best effort: its progress shows what others leave, not what they disturb
    double tailRatio = 0; ///< tail latency of a serving task in proportion to its target; 0 if it does not serve yet
    double cores = 0;     ///< cores in use, if it does not serve
    std::int64_t percent = 0; ///< completed work
};

/** What is known of the interference between images, and the preference that rests on it. */
class Interference
{
public:
    static constexpr std::size_t MAX_TRACKED_RUNS = 512;     ///< runs whose progress is observed at a time
    static constexpr std::int64_t REFIT_INTERVAL_MS = 1'000; ///< bounds the time that fits take

    /**
     * @param minions size of the fleet
     * @return the least time between two reports of a minion that are observed, in ms. Reports cover about half a
     * second. At most 200 reports a second are observed, so that learning takes little of the time of a small node.
     */
    static std::int64_t reportIntervalMs(std::size_t minions)
    {
        return std::max<std::int64_t>(400, 5 * static_cast<std::int64_t>(minions));
    }

    /**
     * Adds one report of a minion.
     * @param tasks the running tasks on it
     * @param nowMs time on a steady clock
     */
    void observe(const std::vector<ObservedTask> &tasks, std::int64_t nowMs);
    /**
     * Fits the effects to the observations, at most once in REFIT_INTERVAL_MS.
     * @return the pairs that have become known
     */
    std::vector<InterferingPair> refit(std::int64_t nowMs);

    /**
     * @param serving image of a serving task
     * @param fills load of the filling images on its minion
     * @return the images among @p fills that are known to raise its tail latency, and by how much in proportion to its
     * target
     */
    [[nodiscard]] std::map<std::string, double> causes(const std::string &serving,
                                                       const ImageInterference::Loads &fills, std::int64_t nowMs) const;
    /** @return the pairs that were known at the last fit. */
    [[nodiscard]] const std::vector<InterferingPair> &pairs() const
    {
        return m_pairs;
    }
    /** Updates the preference to the images that run on each minion. */
    void updatePreference(const KeepApart::Running &running)
    {
        m_keepApart.update(m_pairs, running);
    }
    [[nodiscard]] const KeepApart &preference() const
    {
        return m_keepApart;
    }

private:
    /** Part of a run, long enough to tell its speed from its progress. */
    struct Span {
        std::int64_t beginMs = 0;
        std::int64_t percent = 0;
        ImageInterference::Loads loads; ///< sum over the reports
        double reports = 0;
    };
    /** A run whose progress is observed. */
    struct TrackedRun {
        Span span;
        double speed = 0;                  ///< of the span before, in percent per ms; 0 if there was none
        ImageInterference::Loads formerly; ///< mean load in the span before
        std::int64_t seenMs = 0;
    };

    void observeProgress(const ObservedTask &task, const ImageInterference::Loads &beside, std::int64_t nowMs);

    ImageInterference m_tails;
    ImageInterference m_progress;
    std::map<std::string, TrackedRun> m_runs; ///< by ObservedTask::name
    std::vector<InterferingPair> m_pairs;
    KeepApart m_keepApart;
    std::int64_t m_refitMs = 0;
};

} // namespace Papaya
