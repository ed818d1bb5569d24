#include "dispatch/recordstore.h"

#include <array>

namespace Papaya
{

std::string_view toString(AppendOutcome outcome)
{
    constexpr std::array<std::string_view, 5> NAMES {"stored", "not-stored", "unknown", "fenced", "conflict"};
    return NAMES[static_cast<std::size_t>(outcome)];
}

} // namespace Papaya
