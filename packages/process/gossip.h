#pragma once

#include "base/result.h"
#include "base/strong.h"
#include "request/admission.h"

#include <set>
#include <string>

// The state that instances exchange with each other.

namespace Papaya
{

/** State of one instance, as sent to its peers. */
struct Gossip {
    InstanceId instance;
    Incarnation incarnation;
    ConfigVersion config;        ///< in force
    Epoch plannerEpoch;          ///< of the latest planner in the instance's journal
    bool ready = false;          ///< the instance accepts requests
    std::uint32_t slotsUsed = 0; ///< requests that hold a slot
    TeamDemand demand;           ///< requests that wait or hold a slot
    std::set<MinionId> leaving;  ///< minions that have announced that they are leaving

    bool operator==(const Gossip &) const = default;

    /** Parses the CBOR form. @return the gossip, or every error with its path */
    static Result<Gossip> fromBytes(std::string_view bytes);
    /** @return the CBOR form that fromBytes() parses. */
    [[nodiscard]] std::string toBytes() const;
};

} // namespace Papaya
