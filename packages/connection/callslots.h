#pragma once

#include "connection/waiter.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <memory>

// Limits the calls to one server that are in flight. Further calls wait for their turn, in order, before their time-out
// begins. All users must run on one strand.

namespace Papaya
{

/** Slots for calls to one server. */
class CallSlots : public std::enable_shared_from_this<CallSlots>
{
public:
    /** Holds a slot until it is destroyed. */
    class Permit
    {
    public:
        explicit Permit(std::shared_ptr<CallSlots> slots);
        ~Permit();
        Permit(const Permit &) = delete;
        Permit &operator=(const Permit &) = delete;
        Permit(Permit &&) = default;
        Permit &operator=(Permit &&) = delete;

    private:
        std::shared_ptr<CallSlots> m_slots;
    };

    static std::shared_ptr<CallSlots> create(std::size_t limit);

    /** Waits for a free slot, without a limit of time. @return the permit to use it */
    Asio::awaitable<Permit> acquire();

    /** @return how many calls hold a slot. */
    [[nodiscard]] std::size_t inUse() const
    {
        return m_inUse;
    }

private:
    explicit CallSlots(std::size_t limit);
    void release();

    std::size_t m_limit;
    std::size_t m_inUse = 0;
    std::deque<std::shared_ptr<Waiter>> m_waiting; ///< in order of arrival
};

} // namespace Papaya
