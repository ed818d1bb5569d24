#pragma once

#include "base/strong.h"
#include "process/ledger.h"

#include <cstdint>
#include <deque>
#include <map>

namespace Papaya
{

/** Learns how long the jobs of each template run, since declared run times are far off. */
class RunTimeEstimator
{
public:
    /** Takes the jobs that have ended since the last call. */
    void learn(const Ledger &ledger);

    /** Takes one run. */
    void add(const TemplateName &templateName, std::int64_t ranMs);

    /** @return the expected run time of @p work: a high quantile of the latest runs, or @p declaredMs before any. */
    [[nodiscard]] std::int64_t expectedMs(const TemplateName &templateName, std::int64_t declaredMs) const;

private:
    std::map<TemplateName, std::deque<std::int64_t>> m_runs;
    std::pair<std::int64_t, JobId> m_lastEnded; ///< end of the last job taken
};

} // namespace Papaya
