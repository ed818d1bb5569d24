#pragma once

#include "connection/httpserver.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/journalrelay.h"
#include "dispatch/journalwriter.h"
#include "dispatch/stepmetrics.h"
#include "steps/attemptbook.h"
#include "steps/jobtable.h"
#include "steps/storewatch.h"

#include <functional>
#include <memory>

// The callers' HTTP interface to jobs of steps: submit a job, query its state, cancel it, and count the waiting jobs of
// a queue. Success is reported only once a record is stored. A submission is refused with 503 "store-unavailable" only
// if the record is not stored and will not be, and no earlier attempt of its caller can have been: nothing was sent to
// the store, or the store itself has refused it.

namespace Papaya
{

/** Handles the requests of callers on one node. */
class JobApi : public HttpHandler
{
public:
    /** Dependencies of the API; all of them must outlive it. */
    struct Context {
        const DeploymentCodec &codec;
        std::shared_ptr<JournalWriter> writer;
        JobTable &jobTable;
        std::function<const DeploymentConfig *()> config;
        std::function<bool()> upToDate;                  ///< whether the journal has been read recently
        std::function<void(const JobRecord &)> onStored; ///< called with each record that the API has stored
        StepMetrics &metrics;
        std::function<StoreEvidence()> storeEvidence;
        /** Reads on in the journal for at most the given time. */
        std::function<Asio::awaitable<void>(Millis)> refresh;
        JournalRelay *relay;                              ///< null if records are not passed to other nodes
        std::function<std::optional<Endpoint>()> relayTo; ///< another node that appends records, if there is one
        std::function<std::int64_t()> wallNow;            ///< time of day in milliseconds since 1970, without its jumps
    };

    /** How long a caller waits for an answer, and what a refusal may promise it. */
    struct CallerTime {
        TimePoint attempt; ///< the store is given up, if it does not answer
        TimePoint latest;  ///< the answer has to leave
        bool firstAttempt = false;
    };

    explicit JobApi(Context context);

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

    /** Stores a job of @p team. @return 200 once it is stored or if it was stored before, 503 or 504 on failure */
    Asio::awaitable<HttpResponse> accept(const QueueConfig &queue, const TeamName &team, JobId id, JobSpec spec,
                                         CallerTime time);
    /** Stores a cancellation. @return 200 once it is stored, 410 if the job is unknown, 503 or 504 on failure */
    Asio::awaitable<HttpResponse> cancel(JobId id, CallerTime time);

private:
    Asio::awaitable<HttpResponse> respond(const HttpRequest &request);
    Asio::awaitable<HttpResponse> submit(const QueueConfig &queue, const TeamName &team, JobId id,
                                         const HttpRequest &request);
    Asio::awaitable<HttpResponse> state(JobId id);
    Asio::awaitable<HttpResponse> store(JobRecord record, CallerTime time, const JobId &id, const char *event);
    struct StoreAttempt {
        AppendOutcome outcome = AppendOutcome::NotStored; ///< Stored, NotStored or Unknown
        bool lostForOthers = false;                       ///< the store does not answer the planner either
        StoreEvidence evidence;                           ///< on which the choice of the way rests
    };
    /** Stores @p records by whichever way there is. */
    Asio::awaitable<StoreAttempt> storeSomehow(std::vector<StoredRecord> records, CallerTime time);
    HttpResponse refuse(int status, std::string_view code) const;
    [[nodiscard]] Millis timeLeft(const HttpRequest &request) const;
    [[nodiscard]] CallerTime timeOf(const HttpRequest &request) const;

    Context m_context;
    AttemptBook m_attempts;
};

} // namespace Papaya
