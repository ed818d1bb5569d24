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

// Serves requests: admission, choice of a minion, the run, retries and hedges, and the truth about what happened.

namespace Papaya
{

/** The request path of one instance. */
class RequestService
{
public:
    RequestService(Asio::io_context &io, ConfigService &config, ClaimService &claims, AdmissionGate &gate,
                   MinionPool &minions, MinionClient &client, Metrics &metrics);

    /** Answers POST /v1/requests/{template}. */
    Asio::awaitable<HttpResponse> handle(const HttpRequest &request, const std::string &templateName);

private:
    /** What lives for a request. */
    struct Context {
        RequestId id;
        FleetConfigPtr config; ///< the version that the request is judged by
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

    /** How the request ended: an answer, or a refusal. */
    struct Reply {
        std::optional<Refusal> refusal;
        KeptAnswer answer;
        bool replayed = false;
    };

    /** Learned state of one template. */
    struct TemplateState {
        LatencyEstimate latency;
        RetryBudget retries;
        RetryBudget hedges;
        TemplateState();
    };

    /** The runs of one request; touched only on the request's strand. */
    struct RequestRuns;

    std::optional<Refusal> prepare(const HttpRequest &request, const std::string &templateName, Context &context);
    Asio::awaitable<Reply> serveKeyed(Context &context);
    Asio::awaitable<Reply> awaitOwner(Context &context, ClaimKey key, std::string digest, bool &released);
    Asio::awaitable<Reply> serve(Context &context);
    Asio::awaitable<Reply> runWithRetries(Context &context);
    static Asio::awaitable<void> runOnce(RequestService &self, std::shared_ptr<RequestRuns> runs, ChosenMinion minion,
                                         RunRequest run, TimePoint deadline);
    bool launch(const Context &context, const std::shared_ptr<RequestRuns> &runs, TimePoint deadline);
    bool mayRetry(const Context &context, RequestRuns &runs, const RunResult &result, TimePoint now);
    void hedge(const Context &context, const std::shared_ptr<RequestRuns> &runs);
    /** Waits until a run has ended, and hedges meanwhile. @return false at the deadline */
    Asio::awaitable<bool> waitForRun(const Context &context, const std::shared_ptr<RequestRuns> &runs);
    /** @return what is told once every run has failed. */
    static Reply finalReply(RequestRuns &runs);
    Asio::awaitable<bool> retry(const Context &context, const std::shared_ptr<RequestRuns> &runs, RunFailure failure);
    TimePoint attemptDeadline(const Context &context, TimePoint now);
    std::optional<TimePoint> hedgeTime(const Context &context, TimePoint now);
    Duration expectedTime(const Context &context);
    Duration neededTime(const Context &context);
    void recordSuccess(const Context &context, Duration runTime);
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
