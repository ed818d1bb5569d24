#pragma once

#include "base/strong.h"
#include "version/fleetconfig.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

// The deterministic rule that turns the records of the config stream into the version in force. Every instance applies
// the same records in the same order, so all agree on which of two racing operators won.

namespace Papaya
{

/** A record of the config stream. */
struct ConfigRecord {
    ConfigVersion version;
    std::optional<ConfigVersion> replaces;
    std::string id;
    /** Set on a copy of the version in force that is appended again before the original ages out. */
    bool renewal = false;
    nlohmann::json config;

    /** Parses the text of a record; the configuration inside is not validated here. */
    static Result<ConfigRecord> fromText(std::string_view text);

    /** @return the text that fromText() takes. */
    [[nodiscard]] std::string toText() const;
};

/** What became of a record. */
struct ConfigVerdict {
    bool accepted = false;
    /** Version in force after the record. */
    ConfigVersion inForce;
    /** Why the record does not count; empty if it was accepted. */
    std::string reason;
};

/** The version in force, as far as the stream has been applied. */
class ConfigState
{
public:
    /**
     * Applies the next record of the stream.
     * @param text the record's data
     * @return whether it counts; a record that does not count changes nothing
     */
    ConfigVerdict apply(std::string_view text);

    [[nodiscard]] ConfigVersion version() const
    {
        return m_version;
    }
    /** @return the configuration in force, or null before the first. */
    [[nodiscard]] const FleetConfigPtr &config() const
    {
        return m_config;
    }
    /** @return the record in force; its renewal is what keeps the version from ageing out. */
    [[nodiscard]] const ConfigRecord &record() const
    {
        return m_record;
    }

private:
    ConfigVerdict refuse(std::string reason) const;

    ConfigVersion m_version;
    ConfigRecord m_record;
    FleetConfigPtr m_config;
};

} // namespace Papaya
