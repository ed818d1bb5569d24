#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Queries to the admission oracle, which decides on which minions the steps of an advised queue may run.

namespace Papaya
{

namespace
{

constexpr Millis ADVICE_TIMEOUT_MARGIN {1'000};        // beyond the oracle's decision time
constexpr std::int64_t ADVICE_RETRY_INTERVAL_MS = 200; // after an unanswered call
constexpr std::int64_t NO_ORACLE_WARNING_INTERVAL_MS = 10'000;
constexpr Millis DEFAULT_TICKET_VALIDITY {3'000}; // if neither the answer nor the configuration sets one

} // namespace

void StepPlanner::requestAdvice(const std::vector<AdmissionQuery> &wanted)
{
    if (m_adviceInFlight || wanted.empty() || bootMillis() < m_nextAdviceMs) {
        return;
    }
    if (m_context.oracle == nullptr) {
        logEvent(LogLevel::Warning, "no-oracle", {{"step", wanted.front().step.toString()}});
        m_nextAdviceMs = bootMillis() + NO_ORACLE_WARNING_INTERVAL_MS;
        return;
    }
    const JobEntry *entry = m_context.book.find(wanted.front().step.job);
    const QueueConfig *queue = m_context.config()->queue(entry->job.queue);
    m_adviceInFlight = true;
    Asio::co_spawn(m_context.io, queryOracle(shared_from_this(), wanted.front(), *queue->oracle), Asio::detached);
}

Asio::awaitable<void> StepPlanner::queryOracle(std::shared_ptr<StepPlanner> self, AdmissionQuery wanted,
                                               OracleTerms terms)
{
    const std::int64_t sent = bootMillis();
    const Millis timeout = terms.decision + terms.perMinion * wanted.minions.size() + ADVICE_TIMEOUT_MARGIN;
    const Advice advice = co_await self->m_context.oracle->advise(wanted.step, wanted.minions, timeout);
    self->m_adviceInFlight = false;
    if (!self->m_leading) {
        co_return;
    }
    const std::int64_t now = bootMillis();
    logEvent(LogLevel::Info, "advice",
             {{"step", wanted.step.toString()},
              {"asked", std::uint64_t(wanted.minions.size())},
              {"admitted", std::uint64_t(advice.admitted.size())},
              {"answered", advice.answered ? "yes" : "no"},
              {"took_ms", now - sent}});
    if (advice.answered) {
        // The transit time of the answer is unknown, so validity counts from the earliest time at which the oracle can
        // have decided.
        const Millis validity = advice.validFor.count() > 0  ? advice.validFor
                                : terms.validFor.count() > 0 ? terms.validFor
                                                             : DEFAULT_TICKET_VALIDITY;
        const std::int64_t decided = sent + terms.decision.count();
        self->m_tickets.add(wanted.step, wanted.minions, advice.admitted, decided + validity.count());
    } else {
        self->m_nextAdviceMs = now + ADVICE_RETRY_INTERVAL_MS;
    }
    self->requestPass();
}

} // namespace Papaya
