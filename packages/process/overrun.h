#pragma once

#include "connection/workerclient.h"
#include "version/fleetmodel.h"

#include <vector>

// Decides what is done about workers whose tasks use more than there is, since declared sizes are far off. Pure
// decision code: it reads no clock and does no I/O.

namespace Papaya
{

/** Whether a gang may be stopped because its worker is overcommitted. */
enum class StopRule {
    Freely,        ///< it runs on borrowed workers
    IfOverrunning, ///< it is guaranteed its workers, but not more than it has declared
    Never,         ///< its template forbids a restart
};

/** What a part uses on its worker. */
struct PartUsage {
    TaskId task;
    WorkerIndex worker = 0;
    Resources declared;
    Resources used;
    StopRule rule = StopRule::Freely;
    bool throttled = false;
    bool throttlePending = false; ///< throttled so lately that reports may not show it yet
    bool stopping = false;        ///< its gang is being stopped already
};

/** What is to be done. */
struct OverrunDecision {
    std::vector<TaskId> throttles;
    std::vector<JobId> stops;
};

/**
 * Decides for all workers.
 *
 * Parts that use more cores than they declared are throttled first. Where that does not help, and where memory runs
 * short, gangs are stopped until the rest fits: first those that use more than they declared, the worst first.
 *
 * @param parts every part that runs
 */
OverrunDecision decideOverruns(const FleetModel &fleet, const std::vector<PartUsage> &parts);

} // namespace Papaya
