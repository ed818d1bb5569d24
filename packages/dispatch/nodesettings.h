#pragma once

#include "base/endpoint.h"
#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"

#include <optional>
#include <string>
#include <string_view>

// Settings of a node that schedules jobs of steps on a deployment's platform: JSON with comments.

namespace Papaya
{

/** Settings of one node; the file is read again on SIGHUP. */
struct NodeSettings {
    InstanceId node;
    PlaceName place;
    Endpoint callers; ///< where jobs are handed in
    Endpoint ready;   ///< where the balancer asks whether this node takes connections; serves metrics too
    Endpoint store;
    std::optional<Endpoint> oracle;     ///< the admission oracle, where there is one
    std::optional<Endpoint> machines;   ///< control of machines, where there is one
    std::uint32_t milliCores = 1'000;   ///< processor that this node may use; stronger nodes lead first
    Millis drainLimit {6'000};          ///< from SIGTERM to SIGKILL
    Millis endedJobRetention {120'000}; ///< how long the state of an ended job can be asked for

    /** Parses and checks settings. @return the settings, or every error with its path */
    static Result<NodeSettings> fromText(std::string_view text);
    /** Reads fromText() from the file @p path. */
    static Result<NodeSettings> fromFile(const std::string &path);
};

} // namespace Papaya
