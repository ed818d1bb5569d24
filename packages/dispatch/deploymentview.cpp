#include "dispatch/deploymentview.h"

#include "process/logging.h"

namespace Papaya
{

DeploymentView::DeploymentView(const DeploymentCodec &codec, Listener listener)
    : m_codec(codec)
    , m_listener(std::move(listener))
{
}

void DeploymentView::configReloaded(const std::vector<StoredRecord> &records)
{
    std::set<PlaceName> requested;
    std::vector<StoredRecord> others;
    for (const StoredRecord &record : records) {
        if (!m_codec.isEvacuation(record.key)) {
            others.push_back(record);
        } else if (const auto place = evacuatedPlace(record); place && !record.value.empty()) {
            requested.insert(*place);
        }
    }
    const std::set<PlaceName> before = m_evacuations.inForce();
    m_evacuations.reload(std::move(requested));
    evacuationsChanged(before);
    configReceived(others);
}

void DeploymentView::configReceived(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        if (m_codec.isWave(record.key)) {
            acceptWave(record);
        } else if (m_codec.isEvacuation(record.key)) {
            acceptEvacuation(record);
        } else if (m_codec.isConfig(record.key)) {
            acceptConfig(record.value);
        }
    }
}

void DeploymentView::acceptConfig(const std::string &text)
{
    auto decoded = m_codec.decodeConfig(text);
    if (!decoded) {
        logEvent(LogLevel::Warning, "config-ignored", {{"error", decoded.errors().front().message}});
        return;
    }
    if (m_config && decoded->version <= m_config->version) {
        return;
    }
    m_config = std::make_unique<DeploymentConfig>(std::move(*decoded));
    m_document = {m_config->version, text};
    logEvent(LogLevel::Info, "config-in-force",
             {{"version", m_config->version.value()}, {"queues", std::uint64_t(m_config->queues.size())}});
}

void DeploymentView::acceptWave(const StoredRecord &record)
{
    auto decoded = m_codec.decodeWave(record.key, record.value);
    if (!decoded) {
        logEvent(LogLevel::Warning, "wave-ignored", {{"key", record.key}, {"error", decoded.errors().front().message}});
        return;
    }
    logEvent(LogLevel::Info, "wave-received",
             {{"wave", decoded->number.value()},
              {"machines", std::uint64_t(decoded->machines.size())},
              {"within_ms", std::int64_t(decoded->within.count())},
              {"maximum", std::uint64_t(decoded->maximum)}});
    m_waves[decoded->number] = std::move(*decoded);
}

std::optional<PlaceName> DeploymentView::evacuatedPlace(const StoredRecord &record) const
{
    auto decoded = m_codec.decodeEvacuation(record.key);
    if (!decoded) {
        logEvent(LogLevel::Warning, "evacuation-ignored",
                 {{"key", record.key}, {"error", decoded.errors().front().message}});
        return std::nullopt;
    }
    return *decoded;
}

void DeploymentView::acceptEvacuation(const StoredRecord &record)
{
    if (const auto place = evacuatedPlace(record)) {
        const std::set<PlaceName> before = m_evacuations.inForce();
        record.value.empty() ? m_evacuations.withdraw(*place) : m_evacuations.request(*place);
        evacuationsChanged(before);
    }
}

void DeploymentView::acceptEvacuationsCopy(const EvacuationsCopied &copy)
{
    const std::set<PlaceName> before = m_evacuations.inForce();
    m_evacuations.setCopy({copy.places.begin(), copy.places.end()});
    evacuationsChanged(before);
}

void DeploymentView::evacuationsChanged(const std::set<PlaceName> &before)
{
    const std::set<PlaceName> &now = m_evacuations.inForce();
    if (now == before) {
        return;
    }
    for (const PlaceName &place : now) {
        if (!before.contains(place)) {
            logEvent(LogLevel::Info, "evacuation-requested", {{"place", place.value()}});
        }
    }
    for (const PlaceName &place : before) {
        if (!now.contains(place)) {
            logEvent(LogLevel::Info, "evacuation-withdrawn", {{"place", place.value()}});
        }
    }
    m_listener.evacuationsChanged();
}

void DeploymentView::minionsReloaded(const std::vector<StoredRecord> &records)
{
    std::set<MinionId> removed;
    for (const auto &[id, entry] : m_minions) {
        removed.insert(id);
    }
    for (const StoredRecord &record : records) {
        removed.erase(MinionId(record.key));
    }
    for (const MinionId &id : removed) {
        removeMinion(id);
    }
    minionsReceived(records);
}

void DeploymentView::removeMinion(const MinionId &id)
{
    m_minions.erase(id);
    m_listener.unlisted(id);
}

void DeploymentView::minionsReceived(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        acceptMinion(record);
    }
    m_minionsLoaded = true;
}

void DeploymentView::acceptMinion(const StoredRecord &record)
{
    const MinionId id(record.key);
    if (record.value.empty()) {
        removeMinion(id);
        return;
    }
    auto decoded = m_codec.decodeMinion(record.key, record.value);
    if (!decoded) {
        if (m_rejectedEntries.insert(record.key).second) {
            logEvent(LogLevel::Warning, "minion-entry-ignored",
                     {{"key", record.key}, {"error", decoded.errors().front().message}});
        }
        return;
    }
    m_minions[id] = *decoded;
    m_listener.listed(*decoded);
}

} // namespace Papaya
