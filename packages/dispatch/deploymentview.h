#pragma once

#include "dispatch/deploymentcodec.h"
#include "dispatch/recordstore.h"
#include "evacuation/placeevacuations.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The state of the deployment, read from topics that operators and minions write: the configuration in force,
// maintenance waves, requests to evacuate failure domains and minion entries. Malformed records are ignored.

namespace Papaya
{

/** A version of the configuration in its original text. */
struct ConfigDocument {
    ConfigVersion version;
    std::string text;
};

/** The deployment as described by its operators and minions. */
class DeploymentView
{
public:
    /** Called for each minion entry that is written or removed. */
    struct Listener {
        std::function<void(const MinionEntry &)> listed;
        std::function<void(const MinionId &)> unlisted;
        std::function<void()> evacuationsChanged;
    };

    /** @param codec must outlive the view */
    DeploymentView(const DeploymentCodec &codec, Listener listener);

    /** Applies the newest record of each key of the operators' topic. */
    void configReloaded(const std::vector<StoredRecord> &records);
    /** Applies records of the operators' topic. The version of the configuration never decreases. */
    void configReceived(const std::vector<StoredRecord> &records);
    /** Applies a configuration from any source, if its version is newer. */
    void acceptConfig(const std::string &text);
    /** Applies the journal's copy of the requests to evacuate failure domains. */
    void acceptEvacuationsCopy(const EvacuationsCopied &copy);
    /** Replaces all entries by @p records, the newest of each key. An entry that is missing has been removed. */
    void minionsReloaded(const std::vector<StoredRecord> &records);
    /** Applies records of the minions topic. */
    void minionsReceived(const std::vector<StoredRecord> &records);

    /** @return the configuration in force, or null if none has been read yet. */
    [[nodiscard]] const DeploymentConfig *config() const
    {
        return m_config.get();
    }
    /** @return the document from which config() was read. */
    [[nodiscard]] const ConfigDocument &document() const
    {
        return m_document;
    }
    [[nodiscard]] const std::map<WaveNumber, UpkeepWave> &waves() const
    {
        return m_waves;
    }
    [[nodiscard]] const PlaceEvacuations &evacuations() const
    {
        return m_evacuations;
    }
    [[nodiscard]] const std::map<MinionId, MinionEntry> &minions() const
    {
        return m_minions;
    }
    /** @return true once the minions topic has been read. */
    [[nodiscard]] bool minionsLoaded() const
    {
        return m_minionsLoaded;
    }

private:
    void acceptWave(const StoredRecord &record);
    void acceptEvacuation(const StoredRecord &record);
    /** @return the failure domain that @p record names; none if it is malformed, which is logged. */
    [[nodiscard]] std::optional<PlaceName> evacuatedPlace(const StoredRecord &record) const;
    /** Logs how the failure domains that are evacuated differ from @p before, and tells the listener. */
    void evacuationsChanged(const std::set<PlaceName> &before);
    void acceptMinion(const StoredRecord &record);
    void removeMinion(const MinionId &id);

    const DeploymentCodec &m_codec;
    Listener m_listener;
    std::unique_ptr<DeploymentConfig> m_config;
    ConfigDocument m_document;
    std::map<WaveNumber, UpkeepWave> m_waves;
    PlaceEvacuations m_evacuations;
    std::map<MinionId, MinionEntry> m_minions;
    std::set<std::string> m_rejectedEntries; ///< keys of malformed entries; each is logged once
    bool m_minionsLoaded = false;
};

} // namespace Papaya
