#pragma once

#include "connection/hostlist.h"
#include "standins/standinserver.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace Papaya::Standins
{

/** The platform's host list, with a configurable lag and outages. */
class HostsStandin : public StandinServer
{
public:
    /** Adds or replaces a host. */
    void set(const Host &host);
    void remove(const std::string &id);
    void setState(const std::string &id, HostState state);
    /** Sets the age of the list that is served. */
    void setLag(Millis lag);
    /** During an outage, every call is answered with 503. */
    void setOutage(bool outage);

protected:
    Asio::awaitable<HttpResponse> serve(HttpRequest request) override;
    HttpResponse control(const HttpRequest &request) override;

private:
    struct Version {
        TimePoint since;
        std::map<std::string, Host> hosts;
    };

    void change(const std::function<void(std::map<std::string, Host> &)> &edit);

    mutable std::mutex m_mutex;
    std::deque<Version> m_versions {{TimePoint {}, {}}};
    Duration m_lag {0};
    bool m_outage = false;
};

} // namespace Papaya::Standins
