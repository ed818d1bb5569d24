#pragma once

#include "promises.h"
#include "timespan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Finds jobs that stand still although they could run: while no fault is near, a job has nothing running although the
// turn of a unit has come and there is room for it twice over. Each unit that lasts counts for itself.

namespace Papaya::Testing
{

/** What a minion offers. */
struct MinionOffer {
    Resources capacity;
    std::vector<std::string> labels;
    std::vector<TimeSpan> away = {}; ///< when it was down
};

/** What was seen of a deployment. */
struct DeploymentSeen {
    std::vector<Standins::TaskRun> runs;
    std::map<std::string, JobSeen> jobs;
    std::map<std::string, MinionOffer>
        minions;                ///< by id; while it is calm, those that are not away are listed and reachable
    std::vector<TimeSpan> calm; ///< the spans without faults
    std::int64_t untilMs = 0;   ///< end of the observation
};

/** @return a line for each job, and for each unit that lasts, that stands still in a calm span. */
std::vector<std::string> standstills(const DeploymentSeen &seen);

} // namespace Papaya::Testing
