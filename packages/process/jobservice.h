#pragma once

#include "connection/http.h"
#include "process/callerauth.h"
#include "process/configservice.h"
#include "process/hostdirectory.h"
#include "process/journal.h"

#include <optional>
#include <string>

// Serves callers' requests on jobs: submission, status, listing and cancellation.

namespace Papaya
{

/** The callers' job API of one instance. Every handler authenticates the caller. */
class JobService
{
public:
    JobService(ConfigService &config, Journal &journal, HostDirectory &hosts, Metrics &metrics);

    /** Handles POST /v1/jobs; responds once this instance has read the job's record back from the journal. */
    Asio::awaitable<HttpResponse> submit(const HttpRequest &request);
    /** Handles GET /v1/jobs/{id}; with the query parameter waitMs, waits up to that many ms for a change of state. */
    Asio::awaitable<HttpResponse> status(const HttpRequest &request, const std::string &id);
    /** Handles GET /v1/jobs: the team's jobs, page by page. */
    HttpResponse list(const HttpRequest &request);
    /** Handles DELETE /v1/jobs/{id}; records that cancellation is requested. */
    Asio::awaitable<HttpResponse> cancel(const HttpRequest &request, const std::string &id);

private:
    /** @return the identity of the caller; nothing if the request is refused, with the response in @p refusal. */
    std::optional<CallerIdentity> authenticate(const HttpRequest &request, HttpResponse &refusal);
    /** @return the job @p id if it belongs to @p team. */
    [[nodiscard]] std::optional<Job> ownJob(const TeamName &team, const std::string &id) const;
    /** Counts @p refusal and makes its response. */
    HttpResponse refuse(Refusal refusal, const std::string &detail = "", const std::string &path = "");
    /** @return the record of a new job; on an error, @p refusal is set to the reason. */
    Result<JobSubmitted> parseSubmission(const HttpRequest &request, const FleetConfig &config, Refusal &refusal);
    /** @return true if an empty fleet of all listed workers could hold @p shape, or if no worker is listed. */
    [[nodiscard]] bool canEverFit(const Shape &shape) const;

    ConfigService &m_config;
    Journal &m_journal;
    HostDirectory &m_hosts;
    Metrics &m_metrics;
};

} // namespace Papaya
