#pragma once

#include "process/runtimebook.h"
#include "process/schedulingpolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

// A synthetic day of job arrivals, run through the decision code alone.

namespace Papaya::Bench
{

/** The two users whose days are made. */
enum class User { Fjordhvile, Guild };

/** Work that floods in on top of the day. */
enum class Flood { None, Background, Urgent };

/** What day is made, and from which seed. */
struct DayOptions {
    User user = User::Fjordhvile;
    Flood flood = Flood::None;
    std::uint64_t seed = 1;
};

/** A job of the day. */
struct DayJob : GangDemand {
    TemplateName work;
    std::int64_t arrivalMs = 0;
    std::int64_t runMs = 0;      ///< what it really takes
    std::int64_t declaredMs = 0; ///< off by up to ten times either way
    bool flood = false;
};

/** A day: its jobs in the order of their arrival, the fleet and the guarantees. */
struct Day {
    std::vector<DayJob> jobs;
    FleetModel fleet;
    std::vector<TeamGuarantee> guarantees;
};

/** Makes a day from a seed. */
Day makeDay(const DayOptions &options);

/** A summary of values. */
struct Summary {
    double p50 = 0;
    double p95 = 0;
    double mean = 0;
};

/** What came of a day under a policy. */
struct DayResult {
    double fragmentation = 0; ///< largest placeable gang of whole workers in a rack by free accelerators, time-weighted
    double largeGangsPlaceable =
        0;                         ///< share of the time, weighted, that free accelerators can serve whole-worker gangs
    Summary largeWaitMinutes;      ///< of gangs of 16 accelerators and more
    Summary guaranteedWaitSeconds; ///< from a guaranteed team's ask to the start, within its guarantee
    std::map<std::string, Summary> slowdown; ///< time to the end by run time, for each template
    double callerFairness = 0;               ///< Jain's index over the mean slowdowns of callers
    double worstTeamSlowdown = 0;
    double lostGpuHours = 0; ///< work that was lost to preemption
    std::size_t preemptions = 0;
    std::size_t moves = 0;
    std::size_t unfinished = 0;
    double utilisation = 0;
    double planMicroseconds = 0; ///< mean time of a pass
    std::uint64_t digest = 0;    ///< of every decision
};

/** Runs the day under @p policy. */
DayResult runDay(const Day &day, SchedulingPolicy &policy);

} // namespace Papaya::Bench
