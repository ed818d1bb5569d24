#pragma once

#include "base/result.h"
#include "base/strong.h"
#include "request/admission.h"

#include <set>
#include <string>

namespace Papaya
{

/** What an instance tells its peers about itself. */
struct Gossip {
    InstanceId instance;
    Incarnation incarnation;
    ConfigVersion config;
    Epoch plannerEpoch;
    bool ready = false;
    std::uint32_t slotsUsed = 0;
    TeamDemand demand;
    std::set<MinionId> leaving; ///< minions that are leaving by their own word

    bool operator==(const Gossip &) const = default;

    /** Parses CBOR bytes. */
    static Result<Gossip> fromBytes(std::string_view bytes);
    [[nodiscard]] std::string toBytes() const;
};

} // namespace Papaya
