#include "connection/waiter.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Papaya
{

std::shared_ptr<Waiter> Waiter::create(const Asio::any_io_executor &executor)
{
    return std::shared_ptr<Waiter>(new Waiter(executor));
}

Waiter::Waiter(const Asio::any_io_executor &executor)
    : m_timer(executor)
{
}

void Waiter::notify()
{
    m_notified = true;
    Asio::post(m_timer.get_executor(), [self = shared_from_this()] { self->m_timer.cancel(); });
}

Asio::awaitable<bool> Waiter::wait(TimePoint deadline)
{
    // The cancel() that notify() posts runs on this strand, too. It thus runs either before this check, which then sees
    // m_notified, or after async_wait() has started, which it then cancels.
    if (!m_notified) {
        boost::system::error_code ignored;
        m_timer.expires_at(deadline);
        co_await m_timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    co_return m_notified;
}

std::shared_ptr<Waiter> Broadcast::subscribe(const Asio::any_io_executor &executor)
{
    auto waiter = Waiter::create(executor);
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_waiters, [](const auto &weak) { return weak.expired(); });
    m_waiters.push_back(waiter);
    return waiter;
}

void Broadcast::notifyAll()
{
    std::vector<std::weak_ptr<Waiter>> waiters;
    {
        const std::lock_guard lock(m_mutex);
        waiters.swap(m_waiters);
    }
    for (const auto &weak : waiters) {
        if (const auto waiter = weak.lock()) {
            waiter->notify();
        }
    }
}

Asio::awaitable<void> sleepFor(Duration duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

} // namespace Papaya
