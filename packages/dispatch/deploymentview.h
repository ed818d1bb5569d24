#pragma once

#include "dispatch/deploymentcodec.h"
#include "dispatch/recordstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// What a node knows of its deployment from the topics that others write: the configuration in force, maintenance waves
// and the minions' entries. Records that cannot be read change nothing.

namespace Papaya
{

/** A version of the configuration as its operator wrote it. */
struct ConfigDocument {
    ConfigVersion version;
    std::string text;
};

/** The deployment as its operators and minions describe it. */
class DeploymentView
{
public:
    /** Told of each minion's entry that came or went. */
    struct Listener {
        std::function<void(const MinionEntry &)> listed;
        std::function<void(const MinionId &)> unlisted;
    };

    /** @param codec outlives it */
    DeploymentView(const DeploymentCodec &codec, Listener listener);

    /** Takes records of the operators' topic. A version of the configuration never goes back. */
    void configReceived(const std::vector<StoredRecord> &records);
    /** Takes a version of the configuration, wherever it was read. */
    void acceptConfig(const std::string &text);
    /** Takes records of the minions' topic. */
    void minionsReceived(const std::vector<StoredRecord> &records);

    /** @return the configuration in force, or null before the first. */
    [[nodiscard]] const DeploymentConfig *config() const
    {
        return m_config.get();
    }
    /** @return what config() was read from. */
    [[nodiscard]] const ConfigDocument &document() const
    {
        return m_document;
    }
    [[nodiscard]] const std::map<WaveNumber, UpkeepWave> &waves() const
    {
        return m_waves;
    }
    [[nodiscard]] const std::map<MinionId, MinionEntry> &minions() const
    {
        return m_minions;
    }
    /** @return true once the minions' topic has been read. */
    [[nodiscard]] bool minionsLoaded() const
    {
        return m_minionsLoaded;
    }

private:
    void acceptWave(const StoredRecord &record);
    void acceptMinion(const StoredRecord &record);

    const DeploymentCodec &m_codec;
    Listener m_listener;
    std::unique_ptr<DeploymentConfig> m_config;
    ConfigDocument m_document;
    std::map<WaveNumber, UpkeepWave> m_waves;
    std::map<MinionId, MinionEntry> m_minions;
    std::set<std::string> m_rejectedEntries; ///< keys whose entries could not be read; each is logged once
    bool m_minionsLoaded = false;
};

} // namespace Papaya
