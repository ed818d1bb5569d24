#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <vector>

// Which step asks the admission oracle next. The oracle answers one query at a time, so that steps that wait for room
// and renew their tickets would otherwise take all queries. Load pattern: many large jobs of an advised queue wait, and
// small jobs that have room are submitted behind them.

namespace Papaya
{

/**
 * Order of the queries to the admission oracle. A step that has never been queried comes before any other, in
 * scheduling order; renewals follow, the one that was queried longest ago first. Every OLDEST_INTERVAL-th query goes to
 * the step that has waited for the most queries. A step thus waits for at most OLDEST_INTERVAL queries for each step
 * that has waited longer than it.
 */
class AdmissionTurns
{
public:
    static constexpr std::uint64_t OLDEST_INTERVAL = 4;

    /**
     * @param steps the steps that need a query, in scheduling order; not empty
     * @return the index of the step whose turn it is
     */
    std::size_t next(const std::vector<StepKey> &steps);
    /** Counts a query for @p step, which takes its turn. */
    void queried(const StepKey &step);
    /** Drops the turns of all steps of @p job. */
    void forget(const JobId &job);

    /** @return for how many steps a turn is known. */
    [[nodiscard]] std::size_t size() const
    {
        return m_turns.size();
    }

private:
    struct Turn {
        std::uint64_t since = 0; ///< number of queries made when the step was last queried, or first needed a query
        bool queriedBefore = false;
    };

    std::map<StepKey, Turn> m_turns;
    std::uint64_t m_queries = 0; ///< made so far
};

} // namespace Papaya
