#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "process/ledger.h"

#include <deque>
#include <map>

namespace Papaya
{

/**
 * Learns what the parts of jobs really take, from the reports of workers, since declared sizes are far off. Only cores
 * and memory are learned; accelerators are as declared, because a part has them to itself.
 */
class SizeEstimator
{
public:
    /**
     * Takes what the largest part of @p job uses.
     * @param throttled workers hold parts to their declared cores, so that what these used before says nothing
     */
    void recordUsage(const JobId &job, const Resources &used, bool throttled);

    /** Takes the sizes of jobs that have ended since the last call as those of their templates. */
    void learn(const Ledger &ledger);

    /**
     * @return what a part of the job is expected to take: the most that it or the latest jobs of its template have
     * used, with a margin, or what it declares before any of them has been reported on
     */
    [[nodiscard]] Resources expected(const JobSubmitted &spec) const;

private:
    std::map<JobId, Resources> m_activePeaks; ///< of a part of each job that has not ended
    std::map<TemplateName, std::deque<Resources>> m_templatePeaks;
    std::pair<std::int64_t, JobId> m_lastEnded; ///< end of the last job taken
};

} // namespace Papaya
