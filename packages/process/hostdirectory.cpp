#include "process/hostdirectory.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Papaya
{

namespace
{

constexpr Millis POLL_INTERVAL {500};
constexpr Millis FETCH_TIMEOUT {1'000}; // then the connection is dropped

} // namespace

std::shared_ptr<HostDirectory> HostDirectory::create(Asio::io_context &io, HostList &list, Metrics &metrics)
{
    return std::shared_ptr<HostDirectory>(new HostDirectory(io, list, metrics));
}

HostDirectory::HostDirectory(Asio::io_context &io, HostList &list, Metrics &metrics)
    : m_list(list)
    , m_metrics(metrics)
    , m_strand(Asio::make_strand(io))
{
}

void HostDirectory::start()
{
    Asio::co_spawn(m_strand, run(shared_from_this()), Asio::detached);
}

void HostDirectory::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
}

HostSnapshotPtr HostDirectory::hosts() const
{
    const std::lock_guard lock(m_mutex);
    return m_hosts;
}

Asio::awaitable<void> HostDirectory::run(std::shared_ptr<HostDirectory> self)
{
    while (true) {
        bool changed = false;
        try {
            auto next = std::make_shared<const HostSnapshot>(co_await self->m_list.fetch(Clock::now() + FETCH_TIMEOUT));
            const std::lock_guard lock(self->m_mutex);
            // Several servers provide the list, and one of them may answer with a list older than the one kept here.
            const bool older = self->m_hosts && next->asOfMs < self->m_hosts->asOfMs;
            changed = !older && (!self->m_hosts || self->m_hosts->hosts != next->hosts);
            if (!older) {
                self->m_hosts = std::move(next);
            }
        } catch (const std::exception &error) {
            self->m_metrics.count(Counter::HostListFailed);
            logEvent(LogLevel::Debug, "host-list-failed", {{"error", error.what()}});
        }
        if (changed) {
            self->m_changed.notifyAll();
        }
        co_await sleepFor(POLL_INTERVAL);
        const std::lock_guard lock(self->m_mutex);
        if (self->m_stopped) {
            co_return;
        }
    }
}

} // namespace Papaya
