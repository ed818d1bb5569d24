#pragma once

#include "base/strong.h"
#include "version/fleetconfig.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

// Derives the configuration in force from the records of the config stream. Every instance applies the same records in
// the same order, so all instances agree on which of two concurrent changes takes effect.

namespace Papaya
{

/** A record of the config stream. */
struct ConfigRecord {
    ConfigVersion version;
    /** Version that must be in force for this record to be accepted; unset to replace any version. */
    std::optional<ConfigVersion> replaces;
    /** Identifies the change; a renewal keeps it. */
    std::string id;
    /** Set on a copy of the version in force that is appended again before the original expires from the stream. */
    bool renewal = false;
    nlohmann::json config;

    /**
     * Parses the text of a record; the configuration in it is not validated here.
     * @return the record, or every error with its path
     */
    static Result<ConfigRecord> fromText(std::string_view text);

    /** @return the text that fromText() takes. */
    [[nodiscard]] std::string toText() const;
};

/** Result of applying a record. */
struct ConfigVerdict {
    bool accepted = false;
    /** Version in force after the record. */
    ConfigVersion inForce;
    /** Why the record was rejected; empty if it was accepted. */
    std::string reason;
};

/** The configuration in force after the records applied so far. */
class ConfigState
{
public:
    /**
     * Applies the next record of the stream.
     * @param text the record's data
     * @return whether the record was accepted; a rejected record changes nothing
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
    /** @return the record in force, which has to be renewed before it expires from the stream. */
    [[nodiscard]] const ConfigRecord &record() const
    {
        return m_record;
    }

private:
    /** @return the result for a rejected record. */
    ConfigVerdict refuse(std::string reason) const;

    ConfigVersion m_version;
    ConfigRecord m_record;
    FleetConfigPtr m_config;
};

} // namespace Papaya
