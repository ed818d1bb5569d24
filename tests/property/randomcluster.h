#pragma once

#include "process/guaranteescheduling.h"

#include <cstddef>
#include <optional>
#include <vector>

// A random fleet with random work on it, for properties of the scheduling policy.

namespace Papaya
{

/** A random fleet with random work on it, driven pass by pass. */
class RandomCluster
{
public:
    /** Makes a fleet and only such guarantees as it can give when empty. */
    RandomCluster();

    /** Submits some jobs, ends some, and lets stopped gangs give their workers back. */
    void changeJobs();
    /** Loses a worker, or lets it return; what ran there ends. */
    void toggleWorker();
    /** Makes a planning pass and carries its decisions out. */
    ScheduleDecision runPass();
    [[nodiscard]] const PlanningView &view() const;
    /** @return guaranteed gangs that could not be had now, by stopping all that may be stopped. */
    [[nodiscard]] std::size_t countBroken() const;
    /** @return the guaranteed gangs that nothing runs or waits for. */
    [[nodiscard]] std::vector<GuaranteedGang> unusedGuarantees() const;
    /** Submits a gang of a guaranteed shape. */
    JobId submitGuaranteed(const GuaranteedGang &gang);
    /** Lets the gangs that were stopped give their workers back, a second later. */
    void removeStopped();
    [[nodiscard]] bool isRunning(const JobId &job) const;
    /** @return the first of the decision's stops, of protected gangs alone if asked for, or nothing. */
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
