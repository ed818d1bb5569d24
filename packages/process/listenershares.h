#pragma once

#include <cstddef>

// Divides the file descriptors of a process among its listeners.

namespace Papaya
{

/** The number of connections that each listener of a process may hold open. */
struct ListenerShares {
    std::size_t callers = 0;
    std::size_t operators = 0;
    std::size_t peers = 0;

    /**
     * Leaves at least a quarter of the descriptors to connections that the process opens itself. With 4,100
     * descriptors, that is enough for 540 minions, the other services and the 200 that are reserved.
     * @param descriptors the descriptors of the process
     * @param callers the number of callers' connections asked for
     * @param peers the number of peers' connections asked for
     */
    static ListenerShares of(std::size_t descriptors, std::size_t callers, std::size_t peers);
    /** Applies of() to the process's own limit on descriptors and logs a warning if callers get fewer than asked for.
     */
    static ListenerShares ofProcess(std::size_t callers, std::size_t peers);
};

} // namespace Papaya
