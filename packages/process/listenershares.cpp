#include "process/listenershares.h"

#include "process/logging.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace Papaya
{

namespace
{

constexpr std::size_t OPERATOR_CONNECTIONS = 256;

} // namespace

ListenerShares ListenerShares::of(std::size_t descriptors, std::size_t callers, std::size_t peers)
{
    return {std::min(callers, descriptors / 2), std::min(OPERATOR_CONNECTIONS, descriptors / 8),
            std::min(peers, descriptors / 8)};
}

ListenerShares ListenerShares::ofProcess(std::size_t callers, std::size_t peers)
{
    rlimit limit {};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    const ListenerShares shares = of(known ? limit.rlim_cur : std::numeric_limits<std::size_t>::max(), callers, peers);
    if (shares.callers < callers) {
        logEvent(LogLevel::Warning, "fewer-connections",
                 {{"asked", std::uint64_t(callers)}, {"given", std::uint64_t(shares.callers)}});
    }
    return shares;
}

} // namespace Papaya
