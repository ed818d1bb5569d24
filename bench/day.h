#pragma once

#include "process/runtimebook.h"
#include "process/schedulingpolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Generates synthetic days of job arrivals and simulates them with a scheduling policy, without processes or I/O.

namespace Papaya::Bench
{

/** The deployments that days are modelled on. */
enum class User { Fjordhvile, Guild };

/** Urgency of a flood of extra jobs, if any. */
enum class Flood { None, Background, Urgent };

/** Parameters of a synthetic day. */
struct DayOptions {
    User user = User::Fjordhvile;
    Flood flood = Flood::None;
    std::uint64_t seed = 1;
};

/** A job of a synthetic day. */
struct DayJob : GangDemand {
    TemplateName work;
    std::int64_t arrivalMs = 0;
    std::int64_t runMs = 0;      ///< actual run time
    std::int64_t declaredMs = 0; ///< run time declared by the caller; off by a factor of up to ten
    bool flood = false;
};

/** A synthetic day, with its jobs in the order of arrival. */
struct Day {
    std::vector<DayJob> jobs;
    FleetModel fleet;
    std::vector<TeamGuarantee> guarantees;
};

/** @return the day for @p options; the same options give the same day. */
Day makeDay(const DayOptions &options);

/** Percentiles and mean of a set of values. */
struct Summary {
    double p50 = 0;
    double p95 = 0;
    double mean = 0;
};

/** Results of a day under a policy. */
struct DayResult {
    /**
     * GPUs on idle workers of the rack that has most of them, divided by all free GPUs or the GPUs of a rack, whichever
     * is less; time-weighted. A lower value means more fragmentation.
     */
    double fragmentation = 0;
    double largeGangsPlaceable = 0;          ///< share of free GPUs on idle workers; time-weighted
    Summary largeWaitMinutes;                ///< waits of gangs of 16 or more GPUs
    Summary guaranteedWaitSeconds;           ///< waits of gangs within the guarantee of their team
    std::map<std::string, Summary> slowdown; ///< time from arrival to end, divided by run time; for each template
    double callerFairness = 0;               ///< Jain's fairness index of the callers' mean slowdowns
    double worstTeamSlowdown = 0;            ///< greatest mean slowdown of a team
    double lostGpuHours = 0;                 ///< work lost to preemption
    std::size_t preemptions = 0;
    std::size_t moves = 0;
    std::size_t unfinished = 0;
    double utilisation = 0;
    double planMicroseconds = 0; ///< mean duration of a pass
    std::uint64_t digest = 0;    ///< digest of all decisions
};

/** Simulates @p day under @p policy. */
DayResult runDay(const Day &day, SchedulingPolicy &policy);

} // namespace Papaya::Bench
