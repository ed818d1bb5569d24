#include "standins/hostsstandin.h"

namespace Papaya::Standins
{

namespace
{

const char *kindName(HostKind kind)
{
    return kind == HostKind::Entry ? "entry" : (kind == HostKind::Minion ? "minion" : "worker");
}

Json describe(const Host &host)
{
    Json capacity;
    if (host.kind == HostKind::Worker) {
        capacity = {
            {"cores", host.resources.cores}, {"memoryMb", host.resources.memoryMb}, {"gpus", host.resources.gpus}};
    } else {
        capacity = {{"slots", host.slots}, {"connections", host.connections}};
    }
    return {{"id", host.id},
            {"kind", kindName(host.kind)},
            {"address", host.address.toString()},
            {"place", host.place.value()},
            {"rack", host.rack.value()},
            {"state", host.state == HostState::Live ? "live" : "leaving"},
            {"capacity", capacity}};
}

} // namespace

void HostsStandin::change(const std::function<void(std::map<std::string, Host> &)> &edit)
{
    const std::lock_guard lock(m_mutex);
    Version next {Clock::now(), m_versions.back().hosts};
    edit(next.hosts);
    m_versions.push_back(std::move(next));
}

void HostsStandin::set(const Host &host)
{
    change([&](auto &hosts) { hosts[host.id] = host; });
}

void HostsStandin::remove(const std::string &id)
{
    change([&](auto &hosts) { hosts.erase(id); });
}

void HostsStandin::setState(const std::string &id, HostState state)
{
    change([&](auto &hosts) { hosts.at(id).state = state; });
}

void HostsStandin::setLag(Millis lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

void HostsStandin::setOutage(bool outage)
{
    const std::lock_guard lock(m_mutex);
    m_outage = outage;
}

Asio::awaitable<HttpResponse> HostsStandin::serve(HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (m_outage) {
        co_return jsonAnswer(503, Json::object());
    }
    const TimePoint asOf = Clock::now() - m_lag;
    while (m_versions.size() > 1 && m_versions[1].since <= asOf) {
        m_versions.pop_front();
    }
    const std::string tag = "\"" + std::to_string(m_versions.front().since.time_since_epoch().count()) + "\"";
    if (request.fields.get(Field::IF_NONE_MATCH) == tag) {
        HttpResponse unchanged;
        unchanged.status = 304;
        co_return unchanged;
    }
    Json hosts = Json::array();
    for (const auto &[id, host] : m_versions.front().hosts) {
        hosts.push_back(describe(host));
    }
    const std::int64_t lagMs = toMillis(m_lag);
    HttpResponse answer = jsonAnswer(200, Json {{"asOfMs", nowMs() - lagMs}, {"hosts", hosts}});
    answer.fields.set(Field::ETAG, tag);
    co_return answer;
}

HttpResponse HostsStandin::control(const HttpRequest &request)
{
    const Json body = bodyOf(request);
    if (body.contains("host")) {
        const auto parsed = parseHosts(Json {{"hosts", Json::array({body["host"]})}}.dump());
        if (!parsed) {
            return jsonAnswer(400, Json {{"error", parsed.errors().front().message}});
        }
        set(parsed->hosts.front());
    }
    return jsonAnswer(200, Json::object());
}

} // namespace Papaya::Standins
