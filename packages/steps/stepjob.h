#pragma once

#include "base/strong.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

// A job of dependent steps, as submitted by a caller. The tasks of a step are identical. The tasks of a gang step run
// all at once or not at all. A unit is what is placed at once: a single task, or a whole gang.

namespace Papaya
{

using QueueName = Strong<struct QueueNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;

/** One step of a job. Resources are those of one task, with cores in thousandths. */
struct StepSpec {
    std::uint32_t count = 1;
    Resources need;
    Millis estimate {0}; ///< run time of one task as estimated by the caller; often far off
    std::vector<std::uint32_t> dependencies;
    bool checkpointing = false;
    bool gang = false;
    bool sameRack = false;    ///< the members of a gang should share a rack; spread over racks they run slower
    bool speculative = false; ///< copies of a task may run in parallel
    bool longRunning = false; ///< runs until the job is cancelled
    bool fills = false;       ///< best effort: uses cores that other tasks leave idle, and reserves none
    std::string requiredLabel;
    RackName dataRack;              ///< rack of its data; tasks run slower on any other
    std::uint32_t maxPerMinion = 0; ///< most tasks of this step and occurrence on one minion; 0 is no limit
    std::string image;
    Millis tailTarget {0};            ///< bound on the tail response time of a task that serves requests
    std::uint32_t maxUnavailable = 0; ///< most tasks that planned stops may take down, if long-running; 0 is no limit

    /** @return true if its tasks serve requests within a bound on their response times. */
    [[nodiscard]] bool serves() const
    {
        return longRunning && tailTarget.count() > 0;
    }
};

/** Schedule of a recurring job. For a job without one, runs is 0; it runs once, immediately. */
struct Timetable {
    std::uint32_t runs = 0;
    std::int64_t firstRunMs = 0; ///< milliseconds since 1970
    std::int64_t intervalMs = 0;
};

/** A job as submitted. */
struct JobSpec {
    std::string payload; ///< passed to each task unchanged
    std::vector<StepSpec> steps;
    Timetable timetable;

    /** @return how many times the steps run. */
    [[nodiscard]] std::uint32_t occurrences() const
    {
        return timetable.runs == 0 ? 1 : timetable.runs;
    }
};

/**
 * Checks what every node must be able to hold and schedule.
 * @return why @p spec must not be accepted, or null if it may be
 */
const char *faultOf(const JobSpec &spec);

/** A job as stored: its submission, with the settings of its queue at that time. */
struct StepJob {
    JobId id;
    QueueName queue;
    ServiceName service;
    TeamName team;
    JobSpec spec;
    std::int64_t submittedMs = 0; ///< milliseconds since 1970
    std::uint32_t priority = 0;   ///< 0 is the most urgent
    std::uint32_t attempts = 1;   ///< failed runs after which a unit is given up
    double stretch = 1;           ///< objective: stretch times the critical path of the steps, plus targetMs
    std::int64_t targetMs = 0;
};

/** Identifies a step in one occurrence of a job. */
struct StepKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepKey &) const = default;

    /** @return "job.occurrence.step". */
    [[nodiscard]] std::string toString() const;
};

/** Identifies a unit: a task, or a whole gang. */
struct UnitKey {
    static constexpr std::int32_t GANG = -1;

    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::int32_t index = 0; ///< index of the task, or GANG

    auto operator<=>(const UnitKey &) const = default;

    /** @return "job.occurrence.step.index", with "g" as the index of a gang. */
    [[nodiscard]] std::string toString() const;
    /** @return the name of task @p member of this unit. */
    [[nodiscard]] std::string taskName(std::uint32_t member) const;
    [[nodiscard]] StepKey stepKey() const
    {
        return {job, occurrence, step};
    }
    /**
     * Parses the form of toString().
     * @return false if @p text is malformed; @p key is then unspecified
     */
    static bool parse(std::string_view text, UnitKey &key);
};

} // namespace Papaya
