#pragma once

#include "base/units.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

// Lets a coroutine wait for an event that another thread signals.

namespace Papaya
{

namespace Asio = boost::asio;

/** A one-shot event for one waiting coroutine. Its executor must be the strand that the coroutine runs on. */
class Waiter : public std::enable_shared_from_this<Waiter>
{
public:
    static std::shared_ptr<Waiter> create(const Asio::any_io_executor &executor);

    /** Signals the event. Thread-safe; may be called before wait(). */
    void notify();

    /** Waits for notify(). @return true if notified, false if @p deadline passed first. */
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

/** Notifies every waiter that subscribed since the previous notifyAll(). Thread-safe. */
class Broadcast
{
public:
    /** @return a waiter that the next notifyAll() notifies. */
    std::shared_ptr<Waiter> subscribe(const Asio::any_io_executor &executor);
    void notifyAll();

private:
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Waiter>> m_waiters;
};

/** Suspends the calling coroutine for @p duration. */
Asio::awaitable<void> sleepFor(Duration duration);

} // namespace Papaya
