#pragma once

#include "base/endpoint.h"
#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"
#include "speeds/minionspeeds.h"

#include <optional>
#include <string>
#include <string_view>

// Settings of a node that schedules step jobs on the platform of a deployment, read from JSON with comments.

namespace Papaya
{

/** Settings of one node. On SIGHUP the file is read again and drainLimit is updated. */
struct NodeSettings {
    InstanceId node;
    PlaceName place;
    Endpoint callers; ///< listener of the callers' API
    Endpoint ready;   ///< listener of the balancer's readiness probe, metrics and the operators' API
    Endpoint store;
    std::optional<Endpoint> peers;    ///< listener for records of other nodes; none are taken without
    std::optional<Endpoint> oracle;   ///< the admission oracle, if there is one
    std::optional<Endpoint> machines; ///< control of machines, if there is one
    std::uint32_t milliCores = 1'000; ///< CPU limit of this node, in thousandths of a core; larger nodes lead first
    /** One more closes the longest idle connection, or is refused if none is idle. */
    std::size_t callerConnections = 4096;
    Millis minionDrain {2'000};         ///< how long a minion accepts work after it has said that it drains
    Millis maxLease {10'000};           ///< longest lease that a minion keeps; it shortens longer ones
    Millis drainLimit {6'000};          ///< time from SIGTERM to SIGKILL
    SpeedUse speedUse = SpeedUse::None; ///< of the learned speeds of minions
    Millis endedJobRetention {120'000}; ///< how long the state of an ended job can be queried

    /** Parses and validates settings. @return the settings, or every error with its path */
    static Result<NodeSettings> fromText(std::string_view text);
    /** Reads the file @p path and passes it to fromText(). */
    static Result<NodeSettings> fromFile(const std::string &path);
};

} // namespace Papaya
