#pragma once

#include "cluster.h"

// Helpers that start gangs and check how their parts ran, from the records of the worker stand-ins.

namespace Papaya::Testing
{

/**
 * Longest time during which only some parts of a gang may run: the time to detect the failure, to stop the other parts
 * and for a lease to expire.
 */
constexpr Millis MAX_PARTIAL_RUN {6'000};

/** Sets the run time of the tasks of every worker; with @p neverFinish, they run until they are stopped. */
void setTaskRunTime(Cluster &cluster, std::int64_t runMs, bool neverFinish = false);

/** @return the time spans of all runs of parts of @p job. */
std::vector<Standins::WorkerSpan> spansOf(const Cluster &cluster, const std::string &job);

/** @return the longest time during which at least one of @p parts parts of the job ran, but not all. */
Duration longestPartialRun(const Cluster &cluster, const std::string &job, std::size_t parts);

/** @return the shortest run of a part of @p job; runs in progress count with the time since their start. */
Duration shortestRun(const Cluster &cluster, const std::string &job);

/** @return true if two runs of the same part of @p job have ever overlapped. */
bool anyPartRanTwiceAtOnce(const Cluster &cluster, const std::string &job);

/** @return the number of runs of parts of @p job that are in progress. */
std::size_t runningParts(const Cluster &cluster, const std::string &job);

/** Submits a job of a template of sampleConfig(). @return its id; empty if it was not accepted */
std::string submit(Cluster &cluster, std::size_t instance, const std::string &templateName,
                   const std::string &key = "");

/** Submits a job of two parts and waits until both run. @return its id; empty on a time-out */
std::string startGang(Cluster &cluster, std::size_t instance, const std::string &templateName);

/** @return the state of @p job as the instance reports it; empty if it reports none. */
std::string jobState(Cluster &cluster, std::size_t instance, const std::string &job);

/** @return true if the ledgers of all running instances have the same digest. */
bool ledgersAgree(Cluster &cluster);

} // namespace Papaya::Testing
