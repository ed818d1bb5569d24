#pragma once

#include <chrono>
#include <cstdint>

// Types of times and resources. Decision code never reads a clock; its callers pass the current TimePoint.

namespace Papaya
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

/** @return @p duration in whole milliseconds, rounded towards zero. */
constexpr std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<Millis>(duration).count();
}

/** CPU cores, memory and accelerators: the capacity of a worker, or the needs of a task. */
struct Resources {
    std::int64_t cores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        cores += other.cores;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        cores -= other.cores;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }

    /** @return true if @p need fits within these resources. */
    [[nodiscard]] bool covers(const Resources &need) const
    {
        return cores >= need.cores && memoryMb >= need.memoryMb && gpus >= need.gpus;
    }
};

} // namespace Papaya
