#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Queries to the admission oracle of a queue, which decides on which minions the steps of its jobs may run.

namespace Papaya
{

namespace
{

constexpr Millis ORACLE_TIMEOUT_MARGIN {1'000};        // beyond the oracle's decision time
constexpr std::int64_t ORACLE_RETRY_INTERVAL_MS = 200; // after an unanswered call
constexpr std::int64_t NO_ORACLE_WARNING_INTERVAL_MS = 10'000;
constexpr Millis DEFAULT_TICKET_VALIDITY {3'000}; // if neither the answer nor the configuration sets one

} // namespace

void StepPlanner::requestAdmission(const std::vector<AdmissionQuery> &queries)
{
    if (m_oracleQueryInFlight || queries.empty() || bootMillis() < m_nextOracleQueryMs) {
        return;
    }
    if (m_context.oracle == nullptr) {
        logEvent(LogLevel::Warning, "no-oracle", {{"step", queries.front().request.step.toString()}});
        m_nextOracleQueryMs = bootMillis() + NO_ORACLE_WARNING_INTERVAL_MS;
        return;
    }
    std::vector<AdmissionRequest> requests;
    requests.reserve(queries.size());
    for (const AdmissionQuery &query : queries) {
        requests.push_back(query.request);
    }
    const AdmissionQuery &query = queries[m_admissionTurns.next(requests)];
    m_admissionTurns.queried(query.request);
    const JobEntry *entry = m_context.jobTable.find(query.request.step.job);
    const QueueConfig *queue = m_context.config()->queue(entry->job.queue);
    m_oracleQueryInFlight = true;
    Asio::co_spawn(m_context.io, queryOracle(shared_from_this(), query, *queue->oracle), Asio::detached);
}

Asio::awaitable<void> StepPlanner::queryOracle(std::shared_ptr<StepPlanner> self, AdmissionQuery query,
                                               OracleTerms terms)
{
    const std::int64_t sent = bootMillis();
    const Millis timeout = terms.decision + terms.perMinion * query.minions.size() + ORACLE_TIMEOUT_MARGIN;
    const OracleAnswer answer = co_await self->m_context.oracle->query(query.request.step, query.minions, timeout);
    self->m_oracleQueryInFlight = false;
    if (!self->m_leading) {
        co_return;
    }
    const std::int64_t now = bootMillis();
    logEvent(LogLevel::Info, "advice",
             {{"step", query.request.step.toString()},
              {"could_start", query.request.couldStart ? "yes" : "no"},
              {"asked", std::uint64_t(query.minions.size())},
              {"admitted", std::uint64_t(answer.admitted.size())},
              {"answered", answer.answered ? "yes" : "no"},
              {"took_ms", now - sent}});
    if (answer.answered) {
        // The transit time of the answer is unknown, so validity counts from the earliest time at which the oracle can
        // have decided.
        const Millis validity = answer.validFor.count() > 0  ? answer.validFor
                                : terms.validFor.count() > 0 ? terms.validFor
                                                             : DEFAULT_TICKET_VALIDITY;
        const std::int64_t decided = sent + terms.decision.count();
        self->m_tickets.add(query.request.step, query.minions, answer.admitted, decided + validity.count());
    } else {
        self->m_nextOracleQueryMs = now + ORACLE_RETRY_INTERVAL_MS;
    }
    self->requestPass();
}

} // namespace Papaya
