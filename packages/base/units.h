#pragma once

#include <chrono>
#include <cstdint>

// Times and resource amounts. Decision code never reads a clock; it is handed a TimePoint.

namespace Papaya
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

/** @return @p duration in whole milliseconds, rounded down. */
constexpr std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<Millis>(duration).count();
}

/** Processors, memory and accelerators of a worker, or the share of them that a task takes. */
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

    /** @return true if @p need can be taken out of this amount. */
    [[nodiscard]] bool covers(const Resources &need) const
    {
        return cores >= need.cores && memoryMb >= need.memoryMb && gpus >= need.gpus;
    }
};

} // namespace Papaya
