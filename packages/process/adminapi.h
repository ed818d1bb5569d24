#pragma once

#include "connection/httpserver.h"
#include "process/admissiongate.h"
#include "process/claimservice.h"
#include "process/configservice.h"
#include "process/hostdirectory.h"
#include "process/journal.h"
#include "process/minionpool.h"
#include "process/planner.h"
#include "process/settings.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <optional>

// Routes of the listener for operators.

namespace Papaya
{

/** Versions in force by instance; nothing for an instance that should live but is not heard from. */
using InstanceVersions = std::map<InstanceId, std::optional<ConfigVersion>>;

/** What the admin API shows and steers. */
struct AdminContext {
    const Settings &settings;
    ConfigService &config;
    Journal &journal;
    ClaimService &claims;
    HostDirectory &hosts;
    MinionPool &minions;
    AdmissionGate &gate;
    Planner &planner;
    Metrics &metrics;
    std::function<bool()> ready;
    std::function<void()> drain;
    std::function<InstanceVersions()> versions;
};

/** Handler of the operators' listener. */
class AdminApi : public HttpHandler
{
public:
    explicit AdminApi(AdminContext context);
    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    [[nodiscard]] bool authorized(const HttpRequest &request) const;
    HttpResponse probeResponse(bool healthy) const;
    [[nodiscard]] nlohmann::json describeInstances() const;
    HttpResponse showConfig() const;
    Asio::awaitable<HttpResponse> publishConfig(const HttpRequest &request);
    HttpResponse showStatus() const;
    HttpResponse showWorkers() const;
    Asio::awaitable<HttpResponse> setStanding(std::string worker, Standing standing);
    HttpResponse explain(const std::string &job) const;

    AdminContext m_context;
};

} // namespace Papaya
