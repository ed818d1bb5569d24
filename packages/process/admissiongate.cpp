#include "process/admissiongate.h"

#include <boost/asio/this_coro.hpp>

namespace Papaya
{

AdmissionGate::AdmissionGate(std::unique_ptr<AdmissionPolicy> policy)
    : m_policy(std::move(policy))
{
}

void AdmissionGate::configure(const AdmissionSetup &setup)
{
    const std::lock_guard lock(m_mutex);
    m_policy->configure(setup);
    dispatchWaiting(Clock::now());
}

TicketId AdmissionGate::newTicket()
{
    const std::lock_guard lock(m_mutex);
    return TicketId(m_nextTicket++);
}

void AdmissionGate::settle(TicketId id, std::optional<Refusal> refusal)
{
    Waiting &waiting = m_waiting.at(id);
    waiting.settled = true;
    waiting.refusal = refusal;
    waiting.waiter->notify();
}

void AdmissionGate::dispatchWaiting(TimePoint now)
{
    while (const auto next = m_policy->next(now)) {
        settle(next->id, next->refusal);
    }
}

Asio::awaitable<std::optional<Refusal>> AdmissionGate::acquireSlot(Ticket ticket)
{
    const auto executor = co_await Asio::this_coro::executor;
    std::shared_ptr<Waiter> waiter;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        const EnqueueResult result = m_policy->enqueue(ticket, now);
        if (result.refusal) {
            co_return result.refusal;
        }
        if (result.displaced) {
            settle(*result.displaced, Refusal::Displaced);
        }
        waiter = Waiter::create(executor);
        m_waiting.emplace(ticket.id, Waiting {waiter, false, std::nullopt});
        dispatchWaiting(now);
    }
    co_await waiter->wait(ticket.deadline);
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(ticket.id);
    const Waiting waiting = found->second;
    m_waiting.erase(found);
    if (!waiting.settled) {
        m_policy->withdraw(ticket.id);
        co_return Refusal::DeadlinePassed;
    }
    co_return waiting.refusal;
}

void AdmissionGate::releaseSlot(TicketId id)
{
    const std::lock_guard lock(m_mutex);
    m_policy->finish(id);
    dispatchWaiting(Clock::now());
}

std::size_t AdmissionGate::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_policy->queued();
}

std::size_t AdmissionGate::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_policy->inProgress();
}

TeamDemand AdmissionGate::demand() const
{
    const std::lock_guard lock(m_mutex);
    return m_policy->demand();
}

} // namespace Papaya
