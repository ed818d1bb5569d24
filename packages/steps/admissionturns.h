#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <vector>

// Which step asks the admission oracle next. The oracle answers one query at a time, so that steps that wait for room
// and renew their tickets would otherwise take all queries, and so would the first queries of many like steps that the
// oracle admits nowhere. Load pattern: many large jobs of an advised queue wait, and small jobs that have room are
// submitted behind them.

namespace Papaya
{

/** What the queries of like steps have in common. */
struct AdmissionKind {
    QueueName queue;
    std::size_t members = 1; ///< of a unit
    std::int64_t cores = 0;  ///< of a task
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    auto operator<=>(const AdmissionKind &) const = default;
};

/** A step that needs a query. */
struct AdmissionRequest {
    StepKey step;
    AdmissionKind kind;
    bool couldStart = true; ///< a unit has room now, if the oracle admits it
};

/**
 * Order of the queries to the admission oracle. A step that has never been queried comes before any other. Among these,
 * steps that could start come first, then those of a kind of which fewer queries in a row have led to no start, then
 * the scheduling order. Renewals follow, the one that was queried longest ago first. Every OLDEST_INTERVAL-th query
 * goes to the step that has waited for the most queries. A step thus waits for at most OLDEST_INTERVAL queries for each
 * step that has waited longer than it.
 */
class AdmissionTurns
{
public:
    static constexpr std::uint64_t OLDEST_INTERVAL = 4;
    /** Queries without a start after which a kind comes behind others. */
    static constexpr std::uint64_t FRUITLESS_QUERIES = 4;

    /**
     * @param requests the steps that need a query, in scheduling order; not empty
     * @return the index of the step whose turn it is
     */
    std::size_t next(const std::vector<AdmissionRequest> &requests);
    /** Counts a query for the step of @p request, which takes its turn. */
    void queried(const AdmissionRequest &request);
    /** Takes note that a unit of @p step has been placed with the oracle's admission. */
    void started(const StepKey &step);
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
        AdmissionKind kind;
    };

    std::map<StepKey, Turn> m_turns;
    std::map<AdmissionKind, std::uint64_t> m_fruitless; ///< queries since the last start, by kind; bounded in number
    std::uint64_t m_queries = 0;                        ///< made so far
};

} // namespace Papaya
