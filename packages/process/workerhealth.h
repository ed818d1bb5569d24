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

/** Finds workers that fail whatever they are given, so that they do not eat the queue. */
class WorkerHealth
{
public:
    void succeeded(const WorkerId &worker);
    void failed(const WorkerId &worker, const JobId &job);

    /**
     * @param standings as the ledger has them
     * @param workers number of listed workers; only a part of them may be in quarantine
     * @return the standings that should change now
     */
    std::vector<HealthChange> changes(const std::map<WorkerId, Standing> &standings, std::size_t workers,
                                      TimePoint now);

private:
    struct Record {
        std::set<JobId> failedJobs;    ///< since the last success
        std::uint32_t quarantines = 0; ///< in a row; lengthens the next
        TimePoint quarantineEnd;       ///< end of the quarantine
        TimePoint requestedAt;         ///< when the last change was asked for
    };

    std::map<WorkerId, Record> m_records;
};

} // namespace Papaya
