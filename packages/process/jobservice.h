#pragma once

#include "connection/http.h"
#include "process/callerauth.h"
#include "process/configservice.h"
#include "process/hostdirectory.h"
#include "process/journal.h"

#include <optional>
#include <string>

// Serves the callers' calls on jobs: submission, state, listing and cancellation.

namespace Papaya
{

/** The job path of one instance as callers see it. */
class JobService
{
public:
    JobService(ConfigService &config, Journal &journal, HostDirectory &hosts, Metrics &metrics);

    /** Answers POST /v1/jobs. */
    Asio::awaitable<HttpResponse> submit(const HttpRequest &request);
    /** Answers GET /v1/jobs/{id}, waiting for a change of state if asked to. */
    Asio::awaitable<HttpResponse> status(const HttpRequest &request, const std::string &id);
    /** Answers GET /v1/jobs. */
    HttpResponse list(const HttpRequest &request);
    /** Answers DELETE /v1/jobs/{id}. */
    Asio::awaitable<HttpResponse> cancel(const HttpRequest &request, const std::string &id);

private:
    /** @return the caller of a call on jobs; nothing if it is refused, with the answer in @p refusal. */
    std::optional<CallerIdentity> authenticate(const HttpRequest &request, HttpResponse &refusal);
    /** @return the team's own job. */
    [[nodiscard]] std::optional<Job> ownJob(const TeamName &team, const std::string &id) const;
    HttpResponse refuse(Refusal refusal, const std::string &detail = "", const std::string &path = "");
    Result<JobSubmitted> parseSubmission(const HttpRequest &request, const FleetConfig &config, Refusal &refusal);
    [[nodiscard]] bool canEverFit(const Shape &shape) const;

    ConfigService &m_config;
    Journal &m_journal;
    HostDirectory &m_hosts;
    Metrics &m_metrics;
};

} // namespace Papaya
