#pragma once

#include "connection/httpserver.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/jobapi.h"
#include "dispatch/stepmetrics.h"
#include "steps/waitreason.h"

#include <functional>
#include <map>
#include <string>

// The product's own interface to jobs of steps, on the listener that the balancer probes: readiness, metrics, the
// node's status, jobs in the product's own form, and why a job waits.

namespace Papaya
{

/** What a node tells of itself; all times in milliseconds. */
struct NodeStatus {
    std::string node;
    bool ready = false;
    bool leading = false;
    std::string planner; ///< the node that leads as far as this one knows
    std::uint64_t epoch = 0;
    std::uint64_t configVersion = 0; ///< 0 before the first
    std::int64_t journalAgeMs = 0;   ///< since the last read that succeeded
    std::uint64_t journalOffset = 0;
    std::size_t jobs = 0;
    std::size_t liveJobs = 0;
    std::size_t minions = 0; ///< known to a planner only
};

/** Handles operators' and the command line's calls on one node. */
class OperatorApi : public HttpHandler
{
public:
    /** What the interface works on; all outlive it. */
    struct Context {
        const DeploymentCodec &codec;
        JobApi &jobApi;
        const JobBook &book;
        const StepMetrics &metrics;
        std::function<const DeploymentConfig *()> config;
        std::function<NodeStatus()> status;
        /** Why units of a job wait; empty on a node that does not lead. */
        std::function<std::map<UnitKey, WaitExplanation>(const JobId &)> explain;
    };

    explicit OperatorApi(Context context);

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    [[nodiscard]] HttpResponse showStatus() const;
    [[nodiscard]] HttpResponse showMetrics() const;
    [[nodiscard]] HttpResponse explain(const JobId &id) const;
    Asio::awaitable<HttpResponse> submit(const HttpRequest &request);
    Asio::awaitable<HttpResponse> job(JobId id, const HttpRequest &request);
    /** @return the team whose key the request carries; null if it is none. */
    [[nodiscard]] const TeamName *teamOf(const HttpRequest &request) const;

    Context m_context;
};

} // namespace Papaya
