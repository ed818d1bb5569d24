#pragma once

#include "process/guaranteescheduling.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Papaya
{

/** A random fleet with random gangs, on which properties of the scheduling policy are checked pass by pass. */
class RandomCluster
{
public:
    /** Generates a fleet, and guarantees that it can satisfy while it is empty. */
    RandomCluster();

    /** Advances the time, submits random gangs, ends random ones, and releases the workers of stopped ones. */
    void changeJobs();
    /** Makes a random worker unusable and ends the gangs on it, or makes it usable again. */
    void toggleWorker();
    /** Runs one planning pass and applies its decisions. */
    ScheduleDecision runPass();
    [[nodiscard]] const PlanningView &view() const;
    /** @return the number of guaranteed gangs that could not be placed even if all preemptible gangs were stopped. */
    [[nodiscard]] std::size_t countBroken() const;
    /** @return a gang of each guarantee that running and waiting gangs do not use up. */
    [[nodiscard]] std::vector<GuaranteedGang> unusedGuarantees() const;
    /** Submits a gang that uses a guarantee. @return its job */
    JobId submitGuaranteed(const GuaranteedGang &gang);
    /** Advances the time by 1 s and releases the workers of the gangs that were stopped. */
    void removeStopped();
    [[nodiscard]] bool isRunning(const JobId &job) const;
    /**
     * @param protectedOnly whether to skip preemptible gangs
     * @return the index of the first stop in @p decision, or nothing
     */
    [[nodiscard]] std::optional<std::size_t> firstStop(const ScheduleDecision &decision, bool protectedOnly) const;

private:
    static Shape randomShape();
    [[nodiscard]] std::size_t countBrokenWhenEmpty() const;
    [[nodiscard]] std::vector<GuaranteedGang> allGuarantees() const;
    RunningGang &running(const JobId &job);
    void startGang(const PlaceDecision &placement);

    PlanningView m_view;
    GuaranteeScheduling m_policy;
    int m_nextJob = 0;
};

} // namespace Papaya
