#pragma once

#include "connection/httpserver.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/jobapi.h"
#include "dispatch/stepmetrics.h"
#include "steps/waitreason.h"

#include <functional>
#include <map>
#include <set>
#include <string>

// The operators' HTTP interface, on the listener that the balancer probes: readiness, metrics, node status, step jobs
// in papayahall's own format, and explanations of why a job waits.

namespace Papaya
{

/** The status of a node; all times are in milliseconds. */
struct NodeStatus {
    std::string node;
    bool ready = false;
    bool leading = false;
    std::string planner; ///< the leading node, as far as this node knows
    std::uint64_t epoch = 0;
    std::uint64_t configVersion = 0; ///< 0 if there is none yet
    std::int64_t journalAgeMs = 0;   ///< since the last successful read
    std::uint64_t journalOffset = 0;
    std::size_t jobs = 0;
    std::size_t liveJobs = 0;
    std::size_t minions = 0;          ///< 0 on a node that does not lead
    std::size_t interferingPairs = 0; ///< pairs of images that are known to interfere; 0 on a node that does not lead
    std::size_t slowMinions = 0;      ///< of these, minions that are known to be very slow
    std::set<PlaceName> evacuatedPlaces;
};

/** Handles the requests of operators and of the command line on one node. */
class OperatorApi : public HttpHandler
{
public:
    /** Dependencies of the API; all of them must outlive it. */
    struct Context {
        const DeploymentCodec &codec;
        JobApi &jobApi;
        const JobTable &jobTable;
        const StepMetrics &metrics;
        std::function<const DeploymentConfig *()> config;
        std::function<NodeStatus()> status;
        /** Returns why the units of a job wait; empty on a node that does not lead. */
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
    /** @return the team whose key the request carries, or null if the key is unknown. */
    [[nodiscard]] const TeamName *teamOf(const HttpRequest &request) const;

    Context m_context;
};

} // namespace Papaya
