#pragma once

#include "base/strong.h"
#include "process/ledger.h"

#include <cstdint>
#include <deque>
#include <map>

namespace Papaya
{

/** Estimates the run times of jobs from earlier jobs of the same template, since declared run times are far off. */
class RunTimeEstimator
{
public:
    /** Adds the run times of the jobs that have succeeded since the last call. */
    void learn(const Ledger &ledger);

    /** Adds one run time, in milliseconds. */
    void add(const TemplateName &templateName, std::int64_t ranMs);

    /**
     * @return the expected run time of a job of the template, in milliseconds: a high quantile of the latest runs, or
     * @p declaredMs if there are none
     */
    [[nodiscard]] std::int64_t expectedMs(const TemplateName &templateName, std::int64_t declaredMs) const;

private:
    std::map<TemplateName, std::deque<std::int64_t>> m_runs;
    std::pair<std::int64_t, JobId> m_lastEnded; ///< end time and id of the last job processed
};

} // namespace Papaya
