#pragma once

#include "connection/waiter.h"
#include "request/admission.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

// Suspends requests until the admission policy grants or refuses them a slot.

namespace Papaya
{

/** Queue in front of the minions. Thread-safe. */
class AdmissionGate
{
public:
    explicit AdmissionGate(std::unique_ptr<AdmissionPolicy> policy);

    /** Applies a new setup, and grants the slots that it adds. */
    void configure(const AdmissionSetup &setup);

    /** @return a ticket id that is unique in this process. */
    TicketId newTicket();

    /**
     * Waits until a slot is granted or refused, or until the deadline of @p ticket.
     * @return the reason for the refusal; nothing if a slot was granted, which releaseSlot() must give back
     */
    Asio::awaitable<std::optional<Refusal>> acquireSlot(Ticket ticket);

    /** Returns a granted slot and passes it to the next request. */
    void releaseSlot(TicketId id);

    /** @return requests that wait for a slot. */
    [[nodiscard]] std::size_t queued() const;
    /** @return requests that hold a slot. */
    [[nodiscard]] std::size_t inProgress() const;
    /** @return requests of each team that wait or hold a slot. */
    [[nodiscard]] TeamDemand demand() const;

private:
    struct Waiting {
        std::shared_ptr<Waiter> waiter;
        bool settled = false;
        std::optional<Refusal> refusal;
    };

    /** Ends the wait of a request with the policy's decision. */
    void settle(TicketId id, std::optional<Refusal> refusal);
    /** Ends the wait of every request that the policy takes out of its queue at @p now. */
    void dispatchWaiting(TimePoint now);

    mutable std::mutex m_mutex;
    std::unique_ptr<AdmissionPolicy> m_policy;
    std::unordered_map<TicketId, Waiting> m_waiting;
    std::uint64_t m_nextTicket = 1;
};

/** Releases a granted slot at the end of a scope. */
class SlotGuard
{
public:
    SlotGuard(AdmissionGate &gate, TicketId id)
        : m_gate(gate)
        , m_id(id)
    {
    }
    ~SlotGuard()
    {
        m_gate.releaseSlot(m_id);
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    AdmissionGate &m_gate;
    TicketId m_id;
};

} // namespace Papaya
