#pragma once

#include "connection/httpserver.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/journalwriter.h"
#include "dispatch/stepmetrics.h"
#include "steps/jobtable.h"

#include <functional>
#include <memory>

// The callers' HTTP interface to jobs of steps: submit a job, query its state, cancel it, and count the waiting jobs of
// a queue. Success is reported only once a record is stored, and 503 "store-unavailable" only if the record is not
// stored and will not be.

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
    };

    explicit JobApi(Context context);

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

    /** Stores a job of @p team. @return 200 once it is stored or if it was stored before, 503 or 504 on failure */
    Asio::awaitable<HttpResponse> accept(const QueueConfig &queue, const TeamName &team, JobId id, JobSpec spec,
                                         TimePoint deadline);
    /** Stores a cancellation. @return 200 once it is stored, 410 if the job is unknown, 503 or 504 on failure */
    Asio::awaitable<HttpResponse> cancel(JobId id, TimePoint deadline);

private:
    Asio::awaitable<HttpResponse> respond(const HttpRequest &request);
    Asio::awaitable<HttpResponse> submit(const QueueConfig &queue, const TeamName &team, JobId id,
                                         const HttpRequest &request);
    [[nodiscard]] HttpResponse state(const JobId &id) const;
    Asio::awaitable<HttpResponse> store(JobRecord record, TimePoint deadline, const JobId &id, const char *event);
    HttpResponse refuse(int status, std::string_view code) const;
    TimePoint deadlineOf(const HttpRequest &request) const;

    Context m_context;
};

} // namespace Papaya
