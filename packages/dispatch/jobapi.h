#pragma once

#include "connection/httpserver.h"
#include "dispatch/deploymentcodec.h"
#include "dispatch/journalwriter.h"
#include "dispatch/stepmetrics.h"
#include "steps/jobbook.h"

#include <functional>
#include <memory>

// The callers' interface to jobs of steps: hand in, ask, cancel, count. A job is answered as accepted only once it is
// stored, and a refusal is given only if it cannot have been stored.

namespace Papaya
{

/** Handles callers' requests on one node. */
class JobApi : public HttpHandler
{
public:
    /** What the front works on; all outlive it. */
    struct Context {
        const DeploymentCodec &codec;
        std::shared_ptr<JournalWriter> writer;
        JobBook &book;
        std::function<const DeploymentConfig *()> config;
        std::function<bool()> upToDate;                  ///< whether the book holds what was stored a moment ago
        std::function<void(const JobRecord &)> onStored; ///< called with each record that this front has stored
        StepMetrics &metrics;
    };

    explicit JobApi(Context context);

    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

    /** Stores a job of @p team. @return 200 once it is stored, also if it was before */
    Asio::awaitable<HttpResponse> accept(const QueueConfig &queue, const TeamName &team, JobId id, JobSpec spec,
                                         TimePoint deadline);
    /** Stores a cancellation. @return 200 once it is stored, 410 if there is no such job */
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
