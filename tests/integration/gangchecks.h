#pragma once

#include "cluster.h"

// What tests ask of gangs, answered by the workers' own records.

namespace Papaya::Testing
{

/** Longest time that some parts may run without the others: finding out, stopping, and a lease that must lapse. */
constexpr Millis MAX_PARTIAL_RUN {6'000};

/** Sets the running time of tasks at every worker. */
void setTaskRunTime(Cluster &cluster, std::int64_t runMs, bool neverFinish = false);

/** @return every stretch of time during which a part of @p job ran. */
std::vector<Standins::WorkerSpan> spansOf(const Cluster &cluster, const std::string &job);

/** @return the longest time during which between one and @p parts - 1 parts of the job ran. */
Duration longestPartialRun(const Cluster &cluster, const std::string &job, std::size_t parts);

/** @return the shortest time that a part of @p job has run, or ran. */
Duration shortestRun(const Cluster &cluster, const std::string &job);

/** @return true if a part of @p job ever ran twice at one time. */
bool anyPartRanTwiceAtOnce(const Cluster &cluster, const std::string &job);

/** @return parts of @p job that run now. */
std::size_t runningParts(const Cluster &cluster, const std::string &job);

/** Submits a job of a template of sampleConfig(). @return its id */
std::string submit(Cluster &cluster, std::size_t instance, const std::string &templateName,
                   const std::string &key = "");

/** Submits a job of two parts and waits until both run. @return its id; empty if they do not */
std::string startGang(Cluster &cluster, std::size_t instance, const std::string &templateName);

/** @return the state of @p job as an instance tells it. */
std::string jobState(Cluster &cluster, std::size_t instance, const std::string &job);

/** @return true if the ledgers of all running instances have the same digest. */
bool ledgersAgree(Cluster &cluster);

} // namespace Papaya::Testing
