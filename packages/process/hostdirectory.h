#pragma once

#include "connection/hostlist.h"
#include "connection/waiter.h"
#include "process/metrics.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <mutex>

// The latest host list, fetched again and again; while the list is out the last one stays.

namespace Papaya
{

using HostSnapshotPtr = std::shared_ptr<const HostSnapshot>;

/** Poller of the host list. */
class HostDirectory : public std::enable_shared_from_this<HostDirectory>
{
public:
    static std::shared_ptr<HostDirectory> create(Asio::io_context &io, HostList &list, Metrics &metrics);

    void start();
    void stop();

    /** @return the latest list; null before the first. */
    [[nodiscard]] HostSnapshotPtr hosts() const;

    /** @return the broadcast that is notified when the list has changed. */
    Broadcast &changed()
    {
        return m_changed;
    }

private:
    HostDirectory(Asio::io_context &io, HostList &list, Metrics &metrics);
    static Asio::awaitable<void> run(std::shared_ptr<HostDirectory> self);

    HostList &m_list;
    Metrics &m_metrics;
    Asio::strand<Asio::io_context::executor_type> m_strand;
    mutable std::mutex m_mutex;
    HostSnapshotPtr m_hosts;
    bool m_stopped = false;
    Broadcast m_changed;
};

} // namespace Papaya
