#pragma once

#include "connection/hostlist.h"
#include "connection/waiter.h"
#include "process/metrics.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <mutex>

// Polls the platform's host list and keeps the latest answer, also while the platform does not answer.

namespace Papaya
{

using HostSnapshotPtr = std::shared_ptr<const HostSnapshot>;

/** Keeps the latest host list. Thread-safe. */
class HostDirectory : public std::enable_shared_from_this<HostDirectory>
{
public:
    /** @param list must outlive the directory */
    static std::shared_ptr<HostDirectory> create(Asio::io_context &io, HostList &list, Metrics &metrics);

    /** Starts to poll. */
    void start();
    void stop();

    /** @return the latest list; null before the first answer. */
    [[nodiscard]] HostSnapshotPtr hosts() const;

    /** @return the broadcast that is notified when the listed hosts have changed. */
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
