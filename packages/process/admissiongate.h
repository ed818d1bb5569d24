#pragma once

#include "connection/waiter.h"
#include "request/admission.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

// Where requests wait for a slot. The policy decides; the gate suspends and wakes.

namespace Papaya
{

/** Gate in front of the minions. */
class AdmissionGate
{
public:
    explicit AdmissionGate(std::unique_ptr<AdmissionPolicy> policy);

    /** Takes a new setup. */
    void configure(const AdmissionSetup &setup);

    /** @return a ticket id that no other request has. */
    TicketId newTicket();

    /** Waits for a slot. @return why there is none; nothing if the slot was granted and leave() must follow. */
    Asio::awaitable<std::optional<Refusal>> acquireSlot(Ticket ticket);

    /** Gives the slot back. */
    void releaseSlot(TicketId id);

    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t inProgress() const;
    [[nodiscard]] TeamDemand demand() const;

private:
    struct Waiting {
        std::shared_ptr<Waiter> waiter;
        bool settled = false;
        std::optional<Refusal> refusal;
    };

    void settle(TicketId id, std::optional<Refusal> refusal);
    void dispatchWaiting(TimePoint now);

    mutable std::mutex m_mutex;
    std::unique_ptr<AdmissionPolicy> m_policy;
    std::unordered_map<TicketId, Waiting> m_waiting;
    std::uint64_t m_nextTicket = 1;
};

/** Gives a granted slot back at the end of a scope. */
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
