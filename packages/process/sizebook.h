#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "process/ledger.h"

#include <deque>
#include <map>

namespace Papaya
{

/**
 * Estimates the resources that a part of a job uses from the reports of workers, since declared sizes are far off. Only
 * cores and memory are estimated; accelerators are as declared, because a part has exclusive use of them.
 */
class SizeEstimator
{
public:
    /**
     * Records the use of the largest part of @p job.
     * @param throttled true if workers limit parts of the job to their declared cores, so earlier core use is discarded
     */
    void recordUsage(const JobId &job, const Resources &used, bool throttled);

    /** Adds the peak use of the jobs that have ended since the last call to the samples of their templates. */
    void learn(const Ledger &ledger);

    /**
     * @return the expected use of a part of the job: the peak use of the job and of the latest jobs of its template,
     * plus a margin; or the declared size if there are no reports of any of them
     */
    [[nodiscard]] Resources expected(const JobSubmitted &spec) const;

private:
    std::map<JobId, Resources> m_activePeaks; ///< peak use of a part, of each job that has not ended
    std::map<TemplateName, std::deque<Resources>> m_templatePeaks;
    std::pair<std::int64_t, JobId> m_lastEnded; ///< end time and id of the last job processed
};

} // namespace Papaya
