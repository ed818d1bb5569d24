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

// The HTTP API for operators: probes, metrics, configuration, status, workers and drains.

namespace Papaya
{

/** Version in force at each instance; no version for an instance that is listed as live but not heard from. */
using InstanceVersions = std::map<InstanceId, std::optional<ConfigVersion>>;

/** The components that the admin API shows and controls; all must outlive it. */
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
    std::function<bool()> ready; ///< whether the instance accepts requests
    std::function<void()> drain; ///< starts a drain of the instance
    std::function<InstanceVersions()> versions;
};

/** Handles the requests of the listener for operators. */
class AdminApi : public HttpHandler
{
public:
    explicit AdminApi(AdminContext context);
    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    /** @return true if @p request has an admin token, or if none is needed. */
    [[nodiscard]] bool authorized(const HttpRequest &request) const;
    HttpResponse probeResponse(bool healthy) const;
    [[nodiscard]] nlohmann::json describeInstances() const;
    HttpResponse showConfig() const;
    /** Handles PUT /admin/config; If-Match names the version that is replaced. */
    Asio::awaitable<HttpResponse> publishConfig(const HttpRequest &request);
    HttpResponse showStatus() const;
    HttpResponse showWorkers() const;
    /** Appends the standing that an operator gives to @p worker, and waits until the record is read back. */
    Asio::awaitable<HttpResponse> setStanding(std::string worker, Standing standing);
    HttpResponse explain(const std::string &job) const;

    AdminContext m_context;
};

} // namespace Papaya
