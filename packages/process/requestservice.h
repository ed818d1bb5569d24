#pragma once

#include "connection/http.h"
#include "process/admissiongate.h"
#include "process/claimservice.h"
#include "process/configservice.h"
#include "process/minionpool.h"
#include "request/latencyestimate.h"
#include "request/retrybudget.h"

#include <map>
#include <mutex>
#include <string>

// Serves requests: admission, choice of a minion, the run, retries and hedges. Each response tells truthfully whether
// the request ran, did not run, or may have run.

namespace Papaya
{

/** Handles the requests of one instance. */
class RequestService
{
public:
    RequestService(Asio::io_context &io, ConfigService &config, ClaimService &claims, AdmissionGate &gate,
                   MinionPool &minions, MinionClient &client, Metrics &metrics);

    /** Handles POST /v1/requests/{template}. */
    Asio::awaitable<HttpResponse> handle(const HttpRequest &request, const std::string &templateName);

private:
    /** State of one request. */
    struct Context {
        RequestId id;
        FleetConfigPtr config; ///< in force when the request arrived; used until it ends
        const Template *templateConfig = nullptr;
        TemplateName templateName;
        TeamName team;
        CallerName caller;
        IdempotencyKey key;
        std::string contentType;
        std::string body;
        TimePoint arrival;
        TimePoint deadline;
    };

    /** Result of a request: the answer of a minion, or a refusal. */
    struct Reply {
        std::optional<Refusal> refusal;
        StoredAnswer answer;
        bool replayed = false; ///< the answer is that of an earlier request with the same key
    };

    /** Run times and retry budgets of one template. */
    struct TemplateState {
        LatencyEstimate latency;
        RetryBudget retries;
        RetryBudget hedges;
        TemplateState();
    };

    /** The runs of one request; accessed only on the request's strand. */
    struct RequestRuns;

    /** Authenticates and checks @p request, and fills @p context. */
    std::optional<Refusal> prepare(const HttpRequest &request, const std::string &templateName, Context &context);
    /** Serves a request that may run only once for its idempotency key. */
    Asio::awaitable<Reply> serveKeyed(Context &context);
    /**
     * Waits for the outcome of the request that owns @p key.
     * @param released set to true if the owner released the key without running, so that the key can be claimed again
     */
    Asio::awaitable<Reply> awaitOwner(Context &context, ClaimKey key, std::string digest, bool &released);
    /** Waits for a slot and runs the request. */
    Asio::awaitable<Reply> serve(Context &context);
    /** Runs a request that holds a slot until it has a reply. */
    Asio::awaitable<Reply> runWithRetries(Context &context);
    /** Sends one run to @p minion and adds its result to @p runs. */
    static Asio::awaitable<void> runOnce(RequestService &self, std::shared_ptr<RequestRuns> runs, ChosenMinion minion,
                                         RunRequest run, TimePoint deadline);
    /** Starts a run on a minion that was not tried yet. @return false if there is none */
    bool launch(const Context &context, const std::shared_ptr<RequestRuns> &runs, TimePoint deadline);
    /** @return true if a retry after @p result is safe, in time and within the retry budget, which then pays for it. */
    bool mayRetry(const Context &context, RequestRuns &runs, const RunResult &result, TimePoint now);
    /** Starts a second run beside a slow first one, if no request waits for a slot and the hedge budget allows it. */
    void hedge(const Context &context, const std::shared_ptr<RequestRuns> &runs);
    /** Waits until a run has ended, and hedges at the hedge time. @return false if the deadline came first */
    Asio::awaitable<bool> waitForRun(const Context &context, const std::shared_ptr<RequestRuns> &runs);
    /** @return the reply once every run has failed. */
    static Reply finalReply(RequestRuns &runs);
    /** Starts another run after @p failure, with a back-off if minions are busy. @return false if none was started */
    Asio::awaitable<bool> retry(const Context &context, const std::shared_ptr<RequestRuns> &runs, RunFailure failure);
    /** @return when a run that starts at @p now is given up. */
    TimePoint attemptDeadline(const Context &context, TimePoint now);
    /** @return when a run that starts at @p now is hedged; nothing if the request must not be hedged. */
    std::optional<TimePoint> hedgeTime(const Context &context, TimePoint now);
    /** @return the median run time of the template. */
    Duration expectedTime(const Context &context);
    /** @return a run time that most runs of the template do not exceed. */
    Duration serviceTimeBound(const Context &context);
    /** Adds a run time to the template's estimate, and credits its retry and hedge budgets. */
    void recordSuccess(const Context &context, Duration runTime);
    /** Makes the HTTP response, and writes metrics and the log line of the request. */
    HttpResponse respond(const Context &context, Reply reply);

    Asio::io_context &m_io;
    ConfigService &m_config;
    ClaimService &m_claims;
    AdmissionGate &m_gate;
    MinionPool &m_minions;
    MinionClient &m_client;
    Metrics &m_metrics;

    std::mutex m_mutex;
    std::map<TemplateName, TemplateState> m_templates;
};

} // namespace Papaya
