#pragma once

#include <cstdint>
#include <map>

// Capacity that less urgent work leaves free. What starts in a gap between two urgent gangs on a full fleet is soon
// preempted: it loses its work, and the next gang waits until it has stopped. GPUs that were taken by preemption
// therefore stay free for a while once the urgent work on them has ended.

namespace Papaya
{

/** GPUs to leave free, by what was preempted of late. */
class Headroom
{
public:
    /** Records the preemption of a unit of @p priority with @p gpus. */
    void preempted(std::uint32_t priority, std::int64_t gpus, std::int64_t nowMs);
    /**
     * @param capacity GPUs of the fleet
     * @return the GPUs that must stay free when a unit of @p priority starts; 0 for priority 0
     */
    [[nodiscard]] std::int64_t gpus(std::uint32_t priority, std::int64_t capacity, std::int64_t nowMs) const;

private:
    /** Decaying sum of preempted GPUs. */
    struct Recent {
        double gpus = 0;
        std::int64_t asOfMs = 0;
        [[nodiscard]] double at(std::int64_t nowMs) const;
    };
    std::map<std::uint32_t, Recent> m_recent; ///< by priority of the preempted units
};

/** @return true if @p headroom GPUs stay free once a unit with @p gpus starts while @p free are free. */
inline bool leavesHeadroom(std::int64_t gpus, std::int64_t free, std::int64_t headroom)
{
    return gpus == 0 || headroom == 0 || free - gpus >= headroom;
}

} // namespace Papaya
