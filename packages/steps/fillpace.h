#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Controls how much of their full share of cores filling (best-effort) tasks may use beside tasks that serve requests.
// Filling tasks can raise the response times of services on the same minion, by amounts that change within seconds. The
// share is halved while a tail latency exceeds its target, and raised in small steps while all are well below.
//
// All filling tasks on a minion have the same share, unless it is known which of their images raise the tail latency.
// These images are then throttled first and raised last. The others keep their shares as long as the known images
// explain the excess and the tail latency falls after each cut; otherwise they fall at once to the share that all would
// have, so that a wrong estimate delays a cut by at most one report. A share is never raised while a target is
// exceeded.

namespace Papaya
{

/** Tail latency of a serving task, as last reported, and its target. */
struct TailLatency {
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
    /** Filling images that are known to raise it, and by how much at their present load, as a ratio to the target. */
    std::map<std::string, double> causes = {};
};

/** A filling task, and the last order to it. */
struct PacedTask {
    std::optional<int> confirmedPercent; ///< last confirmed share; empty if unknown
    std::int64_t confirmedMs = 0;        ///< when it was confirmed, on a steady clock
    bool works = false;                  ///< its last report shows progress or cores in use
    std::string image = {};
};

/** Controller of the shares of the filling tasks on one minion. */
class FillPace
{
public:
    static constexpr int FULL = 100; ///< initial share in percent

    /**
     * Adjusts the shares to the latest tail latencies of all serving tasks on the minion.
     * @param nowMs time on a steady clock
     * @param images of the filling tasks on the minion; tasks without an image have the common share
     */
    void observe(const std::vector<TailLatency> &tails, std::int64_t nowMs, const std::set<std::string> &images = {});

    /** @return the common share in percent; 0 halts the filling tasks. */
    [[nodiscard]] int percent() const
    {
        return m_percent;
    }

    /** @return the share of filling tasks of @p image in percent, at least the common one; 0 halts them. */
    [[nodiscard]] int percent(const std::string &image) const;

    /**
     * @return true if percent(task.image) must be ordered for @p task. While a target is exceeded, the order is
     * repeated as long as the task works: an earlier order that was not answered may have been carried out after the
     * confirmed one.
     */
    [[nodiscard]] bool needsOrder(const PacedTask &task, std::int64_t nowMs) const;

private:
    /** @return the images that may keep their shares in a cut. */
    [[nodiscard]] std::set<std::string> spared(const std::vector<TailLatency> &tails,
                                               const std::set<std::string> &images) const;
    void cut(const std::vector<TailLatency> &tails, double worstRatio, const std::set<std::string> &images);
    /**
     * Raises the shares of images that are not known to raise a tail latency, if others are.
     * @return true if a share was raised
     */
    bool raiseOthers(const std::vector<TailLatency> &tails, const std::set<std::string> &images);

    int m_percent = FULL;
    std::map<std::string, int> m_own; ///< shares above the common one, by image
    double m_expectedRatio = 0;       ///< highest ratio after a cut that spared images; 0 if the last one spared none
    bool m_suspectsAll = false;       ///< the tail latency has not fallen after a cut that spared images
    std::int64_t m_changedMs = 0;
    bool m_exceeded = false; ///< at the last observation
};

} // namespace Papaya
