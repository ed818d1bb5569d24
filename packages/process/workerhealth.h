#pragma once

#include "base/units.h"
#include "process/journalrecord.h"

#include <map>
#include <set>
#include <vector>

namespace Papaya
{

/** A worker whose standing should change. */
struct HealthChange {
    WorkerId worker;
    Standing standing = Standing::Good;
};

/** Finds workers on which every job fails, so that they are quarantined before they fail the whole queue. */
class WorkerHealth
{
public:
    /** Records a success, which clears the worker's failures and the count of its quarantines. */
    void succeeded(const WorkerId &worker);
    /** Records that a part of @p job failed on @p worker. */
    void failed(const WorkerId &worker, const JobId &job);

    /**
     * @param standings current standings in the ledger
     * @param workers number of listed workers, which bounds how many may be in quarantine
     * @return the changes to be recorded now
     */
    std::vector<HealthChange> changes(const std::map<WorkerId, Standing> &standings, std::size_t workers,
                                      TimePoint now);

private:
    struct Record {
        std::set<JobId> failedJobs;    ///< since the last success
        std::uint32_t quarantines = 0; ///< consecutive ones; each doubles the duration of the next, up to a limit
        TimePoint quarantineEnd;
        TimePoint requestedAt; ///< when the last change was requested
    };

    std::map<WorkerId, Record> m_records;
};

} // namespace Papaya
