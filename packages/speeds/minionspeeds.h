#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <deque>
#include <map>

// Learns how fast each minion is compared with the median minion. Load pattern: a fifth of the minions is several times
// slower than the others for a while, or all differ by a steady factor.
//
// A run is compared with its expected time. As estimates are off by the same factor for all tasks of a step, the common
// deviation of a step is taken out as far as its other minions show it, and all runs of a step on one minion count as
// one observation. A minion differs from the median only if its deviation is significant against the spread of the
// observations, so that a minion with few of them counts as average. Observations decay by time. All of it is derived
// from reports; a successor learns it anew.

namespace Papaya
{

/** What the learned speeds of minions are used for. */
enum class SpeedUse {
    None,
    Placement,         ///< urgent work and wide gangs prefer fast minions
    PlacementAndMoves, ///< also, runs on slow minions are run anew elsewhere
};

/** What is known of a run of one task. */
struct RunObservation {
    MinionId minion;
    StepKey step;
    QueueName queue;
    bool gang = false;           ///< its step is a gang
    std::int64_t percent = 0;    ///< of its work; 100 if it has ended
    std::int64_t elapsedMs = 0;  ///< since its start, on the minion's clock
    std::int64_t expectedMs = 0; ///< run time on the average minion
};

/** Learned speeds, by minion. */
class MinionSpeeds
{
public:
    /** Factor of run time between one level of slowness and the next. */
    static constexpr double LEVEL_FACTOR = 1.3;
    /** Level from which runs on a minion take about three times as long as on the median minion. */
    static constexpr int VERY_SLOW = 4;

    /** Takes note of a run. A later observation of the same step on the same minion replaces an earlier one. */
    void observe(const RunObservation &run, std::int64_t nowMs);
    /** Discards what is known of @p minion. */
    void forget(const MinionId &minion);
    /** Computes the levels at @p nowMs from the observations. */
    void refresh(std::int64_t nowMs);

    /** @return the slowness of @p minion in steps of LEVEL_FACTOR; 0 if it is average or unknown, negative if fast. */
    [[nodiscard]] int level(const MinionId &minion) const;
    /** @return true if the level of any minion is not 0. */
    [[nodiscard]] bool uneven() const
    {
        return m_uneven;
    }
    /** @return @p expectedMs without the part that runs of @p queue on slow minions have added to it. */
    [[nodiscard]] std::int64_t typicalMs(const QueueName &queue, std::int64_t expectedMs) const;
    /** @return how many minions are known to be very slow. */
    [[nodiscard]] std::size_t verySlow() const;
    /** @return when @p minion was last observed; 0 if it has not been. */
    [[nodiscard]] std::int64_t observedMs(const MinionId &minion) const;

private:
    static constexpr double PRIOR_WEIGHT = 0.3;

    /** The latest runs of one step on one minion. */
    struct Sample {
        double deviation = 0; ///< log of the run time by the expected one
        double weight = 0;    ///< 1 for a whole run
        std::int64_t atMs = 0;
    };
    struct Speed {
        double weight = 0;    ///< of the observations, after decay
        double deviation = 0; ///< mean of the observations without those of their steps
        double slowness = 0;  ///< log of the run time by that on the median minion, shrunk by the uncertainty
        int level = 0;
        std::int64_t observedMs = 0;

        /** @return the mean, shrunk as if PRIOR_WEIGHT observations of an average minion had been made as well. */
        [[nodiscard]] double estimate() const
        {
            return deviation * weight / (weight + PRIOR_WEIGHT);
        }
    };
    using Samples = std::map<MinionId, Sample>;
    struct StepRuns {
        QueueName queue;
        bool gang = false;
        Samples samples;
    };

    /** @return the learned slowness of @p minion as a log; 0 if it is average or unknown. */
    [[nodiscard]] double slowness(const MinionId &minion) const;
    /** Computes how far the runs of each queue on average minions deviate from what was expected. */
    void updateBaselines();
    /** @return how much a gang's progress says of each member's minion, from 0 to 1. */
    [[nodiscard]] std::map<MinionId, double> blame(const Samples &samples, double baseline) const;
    /** @return true if @p samples are of a gang whose members progress at the rate of the slowest one. */
    [[nodiscard]] static bool isCoupled(const StepRuns &runs);

    /** @return the deviation that all runs of a step share, as far as its minions show it. */
    [[nodiscard]] double commonDeviation(const Samples &samples, double baseline) const;
    /** Sets the levels of all minions from their deviations. */
    void setLevels(double spread);
    void dropOld(std::int64_t nowMs);

    std::map<StepKey, StepRuns> m_steps;
    std::map<QueueName, double> m_baselines;              ///< log of run time by expected one, on average minions
    std::deque<std::pair<std::int64_t, StepKey>> m_order; ///< keys of m_steps by their first observation
    std::map<MinionId, Speed> m_speeds;
    bool m_uneven = false;
};

} // namespace Papaya
