#include "dispatch/nodesettings.h"

#include "base/codec.h"
#include "base/objectreader.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

namespace Papaya
{

namespace
{

constexpr std::int64_t MAX_DRAIN_MS = 600'000;
constexpr std::int64_t MIN_MINION_DRAIN_MS = 1'000; // entries are read each 400 ms
constexpr std::int64_t MAX_CONNECTIONS = 100'000;
constexpr double MIN_CORES = 0.001;
constexpr double MAX_CORES = 1'000;
constexpr std::array<std::pair<std::string_view, SpeedUse>, 3> SPEED_USES {
    {{"off", SpeedUse::None}, {"place", SpeedUse::Placement}, {"move", SpeedUse::PlacementAndMoves}}};
constexpr std::int64_t MAX_ENDED_JOB_RETENTION_MS = 86'400'000;

Endpoint readEndpoint(ObjectReader &reader, const char *key, Errors &errors)
{
    const auto text = reader.text(key, Presence::Required);
    if (!text) {
        return {};
    }
    const auto endpoint = Endpoint::parse(*text);
    if (!endpoint) {
        errors.push_back({"wrong-value", "must be ip:port", reader.pathOf(key)});
        return {};
    }
    return *endpoint;
}

std::optional<Endpoint> readOptionalEndpoint(ObjectReader &reader, const char *key, Errors &errors)
{
    const auto text = reader.text(key, Presence::Optional);
    if (!text || text->empty()) {
        return std::nullopt;
    }
    const auto endpoint = Endpoint::parse(*text);
    if (!endpoint) {
        errors.push_back({"wrong-value", "must be ip:port", reader.pathOf(key)});
        return std::nullopt;
    }
    return *endpoint;
}

} // namespace

Result<NodeSettings> NodeSettings::fromText(std::string_view text)
{
    const auto json = parseJson(text, Comments::Allowed);
    if (!json) {
        return json.errors();
    }
    Errors errors;
    NodeSettings settings;
    ObjectReader root(*json, "", errors);
    if (const auto node = root.text("node", Presence::Required)) {
        settings.node = InstanceId(*node);
    }
    if (const auto place = root.text("place", Presence::Required)) {
        settings.place = PlaceName(*place);
    }
    settings.callers = readEndpoint(root, "callers", errors);
    settings.ready = readEndpoint(root, "ready", errors);
    settings.store = readEndpoint(root, "store", errors);
    settings.peers = readOptionalEndpoint(root, "peers", errors);
    settings.oracle = readOptionalEndpoint(root, "oracle", errors);
    settings.machines = readOptionalEndpoint(root, "machines", errors);
    if (const auto cores = root.number("cores", MIN_CORES, MAX_CORES)) {
        settings.milliCores = static_cast<std::uint32_t>(1'000 * *cores);
    }
    if (const auto connections = root.integer("callerConnections", 1, MAX_CONNECTIONS)) {
        settings.callerConnections = static_cast<std::size_t>(*connections);
    }
    if (const auto drain = root.integer("minionDrainMs", MIN_MINION_DRAIN_MS, MAX_DRAIN_MS)) {
        settings.minionDrain = Millis(*drain);
    }
    if (const auto lease = root.integer("maxLeaseMs", 1'000, MAX_DRAIN_MS)) {
        settings.maxLease = Millis(*lease);
    }
    if (const auto limit = root.integer("drainLimitMs", 1'000, MAX_DRAIN_MS)) {
        settings.drainLimit = Millis(*limit);
    }
    if (const auto retention = root.integer("keepEndedMs", 100, MAX_ENDED_JOB_RETENTION_MS)) {
        settings.endedJobRetention = Millis(*retention);
    }
    if (const auto use = root.text("minionSpeeds")) {
        const auto known =
            std::find_if(SPEED_USES.begin(), SPEED_USES.end(), [&use](const auto &item) { return item.first == *use; });
        if (known == SPEED_USES.end()) {
            root.report("wrong-value", "must be off, place or move", "minionSpeeds");
        } else {
            settings.speedUse = known->second;
        }
    }
    root.refuseUnknownKeys();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

Result<NodeSettings> NodeSettings::fromFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return Error {"unreadable", "settings file cannot be opened", ""};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return fromText(text.str());
}

} // namespace Papaya
