#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Learns from reports which images slow down the tasks of which others. Load pattern: tasks of a few images share
// minions in changing mixtures, and some of the images disturb some of the others.
//
// A measure of a task, such as its tail latency as a ratio to the target, is modelled as a base that depends on its
// image, plus an effect for each other image on the minion in proportion to that image's load there. The effects are
// the least-squares fit without negative effects, so that an image is not blamed for what another image beside it
// explains. Old observations decay. An effect counts only once it is several times its standard error. Images whose
// loads have always varied together cannot be told apart, and none of them counts.

namespace Papaya
{

/** The effect of one image on a measure of the tasks of another. */
struct InterferenceEffect {
    double perLoad = 0;            ///< rise of the measure for each unit of load
    double perTask = 0;            ///< the same for a task of typical load
    double standardError = 0;      ///< of perTask
    double observations = 0;       ///< of the disturbed image beside the other, after decay
    std::int64_t firstSeenMs = 0;  ///< time of the first of these observations
    std::int64_t latestSeenMs = 0; ///< time of the last of them
    bool known = false;            ///< there is enough evidence that the effect matters

    bool operator==(const InterferenceEffect &) const = default;
};

/** A pair of images that are known to interfere. */
struct InterferingPair {
    std::string disturbed;
    std::string other;
    InterferenceEffect effect;
};

/** What is known of the interference between images, by one measure. */
class ImageInterference
{
public:
    /** Load of each image that runs beside a task: cores in use, or 1 for each task that serves. */
    using Loads = std::map<std::string, double>;

    static constexpr std::int64_t HALF_LIFE_MS = 30'000; ///< of an observation
    static constexpr double MIN_OBSERVATIONS = 8;        ///< of a pair, after decay
    static constexpr std::size_t MAX_IMAGES = 64;        ///< that are disturbed
    static constexpr std::size_t MAX_IMAGES_BESIDE = 24; ///< of one disturbed image

    /**
     * Adds one observation of a task.
     * @param image of the task; without one, nothing is learned
     * @param measure higher is worse, and 1 is a rise that matters much
     * @param beside load of the other images on its minion, or the change of it if @p measure is a change; the empty
     * name is ignored
     * @param nowMs time on a steady clock; not earlier than in the last call
     */
    void observe(const std::string &image, double measure, const Loads &beside, std::int64_t nowMs);
    /** Adds the load of one task of @p image, from which the load of a typical task is learned. */
    void observeTask(const std::string &image, double load);
    /**
     * Fits the effects to the observations so far.
     * @return the pairs that have become known
     */
    std::vector<InterferingPair> refit(std::int64_t nowMs);

    /** @return the effect of @p other on the tasks of @p image at @p nowMs; not known without evidence. */
    [[nodiscard]] InterferenceEffect effect(const std::string &image, const std::string &other,
                                            std::int64_t nowMs) const;
    /** @return all pairs that are known to interfere at @p nowMs. */
    [[nodiscard]] std::vector<InterferingPair> knownPairs(std::int64_t nowMs) const;

private:
    /** Decaying sums over the observations of a disturbed image, for one image beside it. */
    struct Beside {
        std::string image;
        double present = 0;           ///< observations with load of this image
        double loads = 0;             ///< sum of its load
        double withMeasure = 0;       ///< sum of its load times the measure
        std::vector<double> products; ///< sum of its load times that of each image beside the disturbed one
        InterferenceEffect effect;
    };
    /** Decaying sums over the observations of a disturbed image. */
    struct Disturbed {
        double observations = 0;
        double measures = 0;
        double squaredMeasures = 0;
        std::vector<Beside> beside;
        std::int64_t asOfMs = 0;
    };

    static void decay(Disturbed &image, std::int64_t nowMs);
    void fit(Disturbed &image) const;
    [[nodiscard]] static bool isKnown(const Beside &beside, std::int64_t asOfMs, std::int64_t nowMs);
    [[nodiscard]] double taskLoad(const std::string &image) const;

    std::map<std::string, Disturbed> m_disturbed;
    std::map<std::string, double> m_taskLoads; ///< moving average of the load of a task, by image
};

} // namespace Papaya
