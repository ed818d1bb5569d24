#pragma once

#include "connection/workerclient.h"
#include "version/fleetmodel.h"

#include <vector>

// Decides which tasks to throttle and which gangs to stop on overcommitted workers. Workers become overcommitted
// because declared sizes are far off. The code is deterministic: it reads no clock and does no I/O.

namespace Papaya
{

/** Whether a gang may be stopped because its worker is overcommitted. */
enum class StopRule {
    Freely,        ///< always, as it runs outside its team's guarantee
    IfOverrunning, ///< only if it uses more than it declared, as the guarantee covers no more
    Never,         ///< never, as its template forbids a restart
};

/** The resource use of a part on its worker. */
struct PartUsage {
    TaskId task;
    WorkerIndex worker = 0;
    Resources declared;
    Resources used;
    StopRule rule = StopRule::Freely;
    bool throttled = false;
    bool throttlePending = false; ///< throttled so recently that reports may not show it yet
    bool stopping = false;        ///< its gang is already being stopped
};

/** The tasks to throttle and the gangs to stop. */
struct OverrunDecision {
    std::vector<TaskId> throttles;
    std::vector<JobId> stops;
};

/**
 * Decides for all workers.
 *
 * If a worker is short of cores, the parts that use more cores than they declared are throttled. If that does not help,
 * or if memory is short, gangs are stopped until the rest fits. Gangs that use more than they declared are stopped
 * before others, among these borrowers before guaranteed gangs, and among these the one with the largest excess first.
 *
 * @param parts all running parts
 */
OverrunDecision decideOverruns(const FleetModel &fleet, const std::vector<PartUsage> &parts);

} // namespace Papaya
