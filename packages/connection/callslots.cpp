#include "connection/callslots.h"

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace Papaya
{

CallSlots::Permit::Permit(std::shared_ptr<CallSlots> slots)
    : m_slots(std::move(slots))
{
}

CallSlots::Permit::~Permit()
{
    if (m_slots) {
        m_slots->release();
    }
}

CallSlots::CallSlots(std::size_t limit)
    : m_limit(limit)
{
}

std::shared_ptr<CallSlots> CallSlots::create(std::size_t limit)
{
    return std::shared_ptr<CallSlots>(new CallSlots(limit));
}

Asio::awaitable<CallSlots::Permit> CallSlots::acquire()
{
    const auto self = shared_from_this();
    if (m_inUse < m_limit) {
        ++m_inUse;
    } else {
        // The caller that releases a slot passes it on, so that no later call overtakes this one.
        auto turn = Waiter::create(co_await Asio::this_coro::executor);
        m_waiting.push_back(turn);
        co_await turn->wait(TimePoint::max());
    }
    co_return Permit(self);
}

void CallSlots::release()
{
    if (m_waiting.empty()) {
        --m_inUse;
        return;
    }
    const std::shared_ptr<Waiter> next = std::move(m_waiting.front());
    m_waiting.pop_front();
    next->notify();
}

} // namespace Papaya
