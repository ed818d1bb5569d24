#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Steps of advised queues: the admission oracle is asked which minions may run them.

namespace Papaya
{

namespace
{

constexpr Millis ASK_MARGIN {1'000};              // beyond the time that the oracle says it takes
constexpr std::int64_t ASK_PAUSE_MS = 200;        // after a call that was not answered
constexpr std::int64_t MISSING_PAUSE_MS = 10'000; // between warnings that the settings name no oracle
constexpr Millis DEFAULT_VALIDITY {3'000};        // of a ticket, where neither answer nor configuration say

} // namespace

void StepPlanner::askForAdvice(const std::vector<AdviceWanted> &wanted)
{
    if (m_asking || wanted.empty() || bootMillis() < m_askNotBeforeMs) {
        return;
    }
    if (m_context.oracle == nullptr) {
        logEvent(LogLevel::Warning, "no-oracle", {{"step", wanted.front().step.toString()}});
        m_askNotBeforeMs = bootMillis() + MISSING_PAUSE_MS;
        return;
    }
    const JobEntry *entry = m_context.book.find(wanted.front().step.job);
    const QueueConfig *queue = m_context.config()->queue(entry->job.queue);
    m_asking = true;
    Asio::co_spawn(m_context.io, ask(shared_from_this(), wanted.front(), *queue->advice), Asio::detached);
}

Asio::awaitable<void> StepPlanner::ask(std::shared_ptr<StepPlanner> self, AdviceWanted wanted, AdviceTerms terms)
{
    const std::int64_t sent = bootMillis();
    const Millis limit = terms.decision + terms.perMinion * wanted.minions.size() + ASK_MARGIN;
    const Advice advice = co_await self->m_context.oracle->advise(wanted.step, wanted.minions, limit);
    self->m_asking = false;
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
        // How long the answer was on its way is not known; the tickets count from when the oracle can have decided.
        const Millis validity = advice.validFor.count() > 0  ? advice.validFor
                                : terms.validFor.count() > 0 ? terms.validFor
                                                             : DEFAULT_VALIDITY;
        const std::int64_t decided = sent + terms.decision.count();
        self->m_tickets.add(wanted.step, wanted.minions, advice.admitted, decided + validity.count());
    } else {
        self->m_askNotBeforeMs = now + ASK_PAUSE_MS;
    }
    self->requestPass();
}

} // namespace Papaya
