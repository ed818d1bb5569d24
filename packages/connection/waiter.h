#pragma once

#include "base/units.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

// Lets coroutines wait for something that another thread brings about.

namespace Papaya
{

namespace Asio = boost::asio;

/** One waiting coroutine. Its executor must be a strand and the one that the coroutine runs on. */
class Waiter : public std::enable_shared_from_this<Waiter>
{
public:
    static std::shared_ptr<Waiter> create(const Asio::any_io_executor &executor);

    /** Ends the wait; may be called from any thread, also before wait(). */
    void notify();

    /** @return true if notified, false if @p deadline came first. */
    Asio::awaitable<bool> wait(TimePoint deadline);

    [[nodiscard]] bool notified() const
    {
        return m_notified;
    }

private:
    explicit Waiter(const Asio::any_io_executor &executor);

    Asio::steady_timer m_timer;
    std::atomic<bool> m_notified {false};
};

/** Wakes every coroutine that subscribed since the last call of notifyAll(). */
class Broadcast
{
public:
    /** @return a waiter for the next notifyAll(). */
    std::shared_ptr<Waiter> subscribe(const Asio::any_io_executor &executor);
    void notifyAll();

private:
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Waiter>> m_waiters;
};

/** Suspends the calling coroutine. */
Asio::awaitable<void> sleepFor(Duration duration);

} // namespace Papaya
