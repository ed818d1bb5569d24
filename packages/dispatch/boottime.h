#pragma once

#include <cstdint>
#include <ctime>

namespace Papaya
{

/** @return milliseconds of a steady clock that also runs while the machine is suspended; used for leases. */
inline std::int64_t bootMillis()
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

/** @return wall-clock time in milliseconds since 1970. */
inline std::int64_t wallMillis()
{
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

} // namespace Papaya
