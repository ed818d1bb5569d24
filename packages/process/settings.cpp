#include "process/settings.h"

#include "base/codec.h"
#include "base/objectreader.h"

#include <fstream>
#include <sstream>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t MAX_THREADS = 64;
constexpr std::int64_t MAX_DRAIN_MS = 3'600'000;
constexpr std::int64_t MIN_RETENTION_MS = 1'000;
constexpr std::int64_t MAX_RETENTION_MS = 365LL * 24 * 3'600'000;
constexpr std::int64_t MAX_CONNECTIONS = 100'000;
constexpr std::string_view DIGEST_PREFIX = "sha256:";
constexpr std::size_t DIGEST_LENGTH = 64;
const std::vector<std::string_view> MINION_POLICY_NAMES {"home", "random", "round-robin"};
const std::vector<std::string_view> ADMISSION_POLICY_NAMES {"fair", "teams-only", "fifo"};
const std::vector<std::string_view> LEVEL_NAMES {"debug", "info", "warning", "error"};

Endpoint readEndpoint(ObjectReader &reader, const char *key)
{
    const auto text = reader.text(key, Presence::Required);
    if (!text) {
        return {};
    }
    const auto endpoint = Endpoint::parse(*text);
    if (!endpoint) {
        reader.report("bad-address", endpoint.errors().front().message, key);
        return {};
    }
    return *endpoint;
}

void readInstance(ObjectReader &root, Errors &errors, Settings &settings)
{
    const Json *value = root.object("instance", Presence::Required);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, "instance", errors);
    settings.instance = InstanceId(reader.text("id", Presence::Required).value_or(""));
    settings.place = PlaceName(reader.text("place", Presence::Required).value_or(""));
    if (settings.instance.value().empty()) {
        reader.report("empty", "must not be empty", "id");
    }
    reader.refuseUnknownKeys();
}

void readListen(ObjectReader &root, Errors &errors, Settings &settings)
{
    const Json *value = root.object("listen", Presence::Required);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, "listen", errors);
    settings.callers = readEndpoint(reader, "callers");
    settings.admin = readEndpoint(reader, "admin");
    settings.peers = readEndpoint(reader, "peers");
    reader.refuseUnknownKeys();
}

void readPlatform(ObjectReader &root, Errors &errors, Settings &settings)
{
    const Json *value = root.object("platform", Presence::Required);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, "platform", errors);
    settings.log = readEndpoint(reader, "log");
    settings.hosts = readEndpoint(reader, "hosts");
    const auto retention = reader.integer("logRetentionMs", MIN_RETENTION_MS, MAX_RETENTION_MS);
    settings.logRetention = Millis(retention.value_or(settings.logRetention.count()));
    reader.refuseUnknownKeys();
}

void readAdminTokens(ObjectReader &root, Settings &settings)
{
    const Json *list = root.array("adminTokenDigests");
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
        const std::string text = (*list)[i].is_string() ? (*list)[i].get<std::string>() : "";
        if (!text.starts_with(DIGEST_PREFIX) || text.size() != DIGEST_PREFIX.size() + DIGEST_LENGTH) {
            root.report("bad-digest", "must be 'sha256:' followed by 64 hexadecimal digits",
                        "adminTokenDigests[" + std::to_string(i) + "]");
            continue;
        }
        settings.adminTokenDigests.push_back(text.substr(DIGEST_PREFIX.size()));
    }
    if (settings.adminTokenDigests.empty() && !settings.admin.ip.empty() && !settings.admin.isLoopback()) {
        root.report("missing", "is required unless listen.admin is a loopback address", "adminTokenDigests");
    }
}

} // namespace

Result<Settings> Settings::fromText(std::string_view text)
{
    const auto document = parseJson(text, Comments::Allowed);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    Settings settings;
    ObjectReader reader(*document, "", errors);
    readInstance(reader, errors, settings);
    readListen(reader, errors, settings);
    readPlatform(reader, errors, settings);
    readAdminTokens(reader, settings);
    settings.threads = static_cast<unsigned>(reader.integer("threads", 1, MAX_THREADS).value_or(settings.threads));
    const auto connections = reader.integer("callerConnections", 1, MAX_CONNECTIONS);
    settings.callerConnections = connections ? static_cast<std::size_t>(*connections) : settings.callerConnections;
    const auto drain = reader.integer("drainLimitMs", 0, MAX_DRAIN_MS);
    settings.drainLimit = Millis(drain.value_or(settings.drainLimit.count()));
    const auto notice = reader.integer("drainNoticeMs", 0, MAX_DRAIN_MS);
    settings.drainNotice = Millis(notice.value_or(settings.drainNotice.count()));
    const auto horizon = reader.integer("keyHorizonMs", MIN_RETENTION_MS / 2, MAX_RETENTION_MS);
    settings.keyHorizon = Millis(horizon.value_or(settings.keyHorizon.count()));
    if (const auto level = reader.oneOf("logLevel", LEVEL_NAMES)) {
        settings.logLevel = static_cast<LogLevel>(*level);
    }
    if (const auto policy = reader.oneOf("minionPolicy", MINION_POLICY_NAMES)) {
        settings.minionPolicy = static_cast<MinionPolicyKind>(*policy);
    }
    if (const auto policy = reader.oneOf("admissionPolicy", ADMISSION_POLICY_NAMES)) {
        settings.admissionPolicy = static_cast<AdmissionPolicyKind>(*policy);
    }
    reader.refuseUnknownKeys();
    if (settings.keyHorizon >= settings.logRetention) {
        reader.report("out-of-range", "must be less than platform.logRetentionMs", "keyHorizonMs");
    }
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

Result<Settings> Settings::fromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error {"unreadable", "cannot open settings file " + path, ""};
    }
    std::stringstream text;
    text << file.rdbuf();
    return fromText(text.str());
}

} // namespace Papaya
