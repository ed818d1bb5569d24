#pragma once

#include "base/strong.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

// A job of steps, as a caller hands it in. A step has tasks that are all alike; a step that is a gang runs whole or not
// at all. What is placed at once, a task of a plain step or a whole gang, is a unit.

namespace Papaya
{

using QueueName = Strong<struct QueueNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;

/** One step of a job. Resources are those of one task; their cores count thousandths of a core. */
struct StepSpec {
    std::uint32_t count = 1;
    Resources need;
    Millis estimate {0}; ///< the caller's guess for one task, often far off
    std::vector<std::uint32_t> dependencies;
    bool checkpointing = false;
    bool gang = false;
    bool sameRack = false;    ///< a gang over several racks runs slower
    bool speculative = false; ///< copies of a task may run in parallel
    bool longRunning = false; ///< runs until the job is cancelled
    bool fills = false;       ///< takes the cores that other tasks leave unused; its cores are not counted
    std::string requiredLabel;
    RackName dataRack;              ///< the tasks run slower on any other rack
    std::uint32_t maxPerMinion = 0; ///< of this step and occurrence; 0 is no limit
    std::string image;
    Millis tailTarget {0};            ///< bound on the response times of a long-running task's own users
    std::uint32_t maxUnavailable = 0; ///< of a long-running step, by the system's own actions; 0 is no limit

    /** @return true if its tasks serve users of their own, whose response times are bounded. */
    [[nodiscard]] bool serves() const
    {
        return longRunning && tailTarget.count() > 0;
    }
};

/** When a scheduled job runs; a job without a timetable has no runs here and runs once. */
struct Timetable {
    std::uint32_t runs = 0;
    std::int64_t firstRunMs = 0; ///< milliseconds since 1970
    std::int64_t intervalMs = 0;
};

/** What a caller submits. */
struct JobSpec {
    std::string payload; ///< handed to each task as it is
    std::vector<StepSpec> steps;
    Timetable timetable;

    /** @return how often the steps run. */
    [[nodiscard]] std::uint32_t occurrences() const
    {
        return timetable.runs == 0 ? 1 : timetable.runs;
    }
};

/** A job as stored: what was submitted, and the terms of its queue at that time. */
struct StepJob {
    JobId id;
    QueueName queue;
    ServiceName service;
    TeamName team;
    JobSpec spec;
    std::int64_t submittedMs = 0; ///< milliseconds since 1970
    std::uint32_t priority = 0;   ///< 0 comes first
    std::uint32_t attempts = 1;   ///< runs of a task that may fail
    double stretch = 1;           ///< objective: stretch times the longest chain of work, and targetMs more
    std::int64_t targetMs = 0;
};

/** Names a step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepKey &) const = default;

    /** @return "job.occurrence.step". */
    [[nodiscard]] std::string toString() const;
};

/** Names a unit: a task, or a whole gang. */
struct UnitKey {
    static constexpr std::int32_t GANG = -1;

    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::int32_t index = 0; ///< of the task, or GANG

    auto operator<=>(const UnitKey &) const = default;

    /** @return "job.occurrence.step.index", with "g" as the index of a gang. */
    [[nodiscard]] std::string toString() const;
    /** @return the name of task @p member of this unit. */
    [[nodiscard]] std::string taskName(std::uint32_t member) const;
    [[nodiscard]] StepKey stepKey() const
    {
        return {job, occurrence, step};
    }
    /** Reads toString(). @return false if @p text is not one */
    static bool parse(std::string_view text, UnitKey &key);
};

} // namespace Papaya
