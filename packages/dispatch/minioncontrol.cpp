#include "dispatch/minioncontrol.h"

#include <array>

namespace Papaya
{

std::string_view toString(OrderOutcome outcome)
{
    constexpr std::array<std::string_view, 11> NAMES {"done",       "fenced",    "superseded", "lease-passed",
                                                      "no-room",    "no-ticket", "invalid",    "unhealthy",
                                                      "other-life", "withdrawn", "no-answer"};
    return NAMES[static_cast<std::size_t>(outcome)];
}

std::string_view toString(EndKind kind)
{
    constexpr std::array<std::string_view, 7> NAMES {"done",   "failed", "stopped", "lapsed",
                                                     "broken", "alone",  "unknown"};
    return NAMES[static_cast<std::size_t>(kind)];
}

} // namespace Papaya
