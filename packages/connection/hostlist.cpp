#include "connection/hostlist.h"

#include "base/codec.h"
#include "base/objectreader.h"

#include <algorithm>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr int STATUS_NOT_MODIFIED = 304;
constexpr std::int64_t MAX_AMOUNT = 1'000'000'000;
const std::vector<std::string_view> KIND_NAMES {"entry", "minion", "worker"};
const std::vector<std::string_view> STATE_NAMES {"live", "leaving"};

void readCapacity(const Json &value, const std::string &path, Errors &errors, Host &host)
{
    ObjectReader reader(value, path, errors);
    host.slots = static_cast<std::uint32_t>(reader.integer("slots", 0, MAX_AMOUNT).value_or(0));
    host.connections = static_cast<std::uint32_t>(reader.integer("connections", 0, MAX_AMOUNT).value_or(0));
    host.resources.cores = reader.integer("cores", 0, MAX_AMOUNT).value_or(0);
    host.resources.memoryMb = reader.integer("memoryMb", 0, MAX_AMOUNT).value_or(0);
    host.resources.gpus = reader.integer("gpus", 0, MAX_AMOUNT).value_or(0);
}

Host readHost(const Json &value, const std::string &path, Errors &errors)
{
    ObjectReader reader(value, path, errors);
    Host host;
    host.id = reader.text("id", Presence::Required).value_or("");
    host.kind = static_cast<HostKind>(reader.oneOf("kind", KIND_NAMES, Presence::Required).value_or(0));
    host.place = PlaceName(reader.text("place").value_or(""));
    host.rack = RackName(reader.text("rack").value_or(""));
    host.state = static_cast<HostState>(reader.oneOf("state", STATE_NAMES, Presence::Required).value_or(0));
    const auto address = Endpoint::parse(reader.text("address", Presence::Required).value_or(""));
    if (address) {
        host.address = *address;
    } else {
        reader.report("bad-address", address.errors().front().message, "address");
    }
    if (const Json *capacity = reader.object("capacity")) {
        readCapacity(*capacity, reader.pathOf("capacity"), errors, host);
    }
    return host;
}

class HttpHostList : public HostList
{
public:
    HttpHostList(HttpPool &pool, Endpoint endpoint)
        : m_pool(pool)
        , m_endpoint(std::move(endpoint))
    {
    }

    Asio::awaitable<HostSnapshot> fetch(TimePoint deadline) override
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/v1/hosts";
        if (!m_entityTag.empty()) {
            request.fields.set(Field::IF_NONE_MATCH, m_entityTag);
        }
        const HttpResponse response = co_await m_pool.exchange(m_endpoint, std::move(request), deadline);
        if (response.status == STATUS_NOT_MODIFIED && !m_entityTag.empty()) {
            co_return m_lastSnapshot;
        }
        if (response.status != 200) {
            throw std::runtime_error("host list request failed with status " + std::to_string(response.status));
        }
        auto snapshot = parseHosts(response.body);
        if (!snapshot) {
            const Error &first = snapshot.errors().front();
            throw std::runtime_error("malformed host list: " + first.path + " " + first.message);
        }
        m_entityTag = response.fields.get(Field::ETAG);
        m_lastSnapshot = *snapshot;
        co_return std::move(*snapshot);
    }

private:
    HttpPool &m_pool;
    const Endpoint m_endpoint;
    // Entity tag of the last list, so that the platform, if it supports entity tags, does not resend an unchanged list.
    std::string m_entityTag;
    HostSnapshot m_lastSnapshot;
};

} // namespace

Result<HostSnapshot> parseHosts(std::string_view body)
{
    const auto document = parseJson(body);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    HostSnapshot snapshot;
    snapshot.asOfMs = reader.integer("asOfMs", 0, INT64_MAX).value_or(0);
    const Json *hosts = reader.array("hosts", Presence::Required);
    for (std::size_t i = 0; hosts != nullptr && i < hosts->size(); ++i) {
        snapshot.hosts.push_back(readHost((*hosts)[i], "hosts[" + std::to_string(i) + "]", errors));
    }
    if (!errors.empty()) {
        return errors;
    }
    return snapshot;
}

std::unique_ptr<HostList> makeHttpHostList(HttpPool &pool, const Endpoint &endpoint)
{
    return std::make_unique<HttpHostList>(pool, endpoint);
}

const Host *HostSnapshot::findWorker(const WorkerId &id) const
{
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const Host &host) {
        return host.kind == HostKind::Worker && host.id == id.value();
    });
    return found == hosts.end() ? nullptr : &*found;
}

} // namespace Papaya
