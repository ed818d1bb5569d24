#pragma once

#include "connection/httpserver.h"
#include "process/jobservice.h"
#include "process/requestservice.h"

// The HTTP API for callers: requests and jobs.

namespace Papaya
{

/** Handles the requests of the listener for callers. */
class CallersApi : public HttpHandler
{
public:
    CallersApi(RequestService &requests, JobService &jobs);
    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    RequestService &m_requests;
    JobService &m_jobs;
};

/** @return the response to a path or method that does not exist. */
HttpResponse noSuchCall(const HttpRequest &request);

} // namespace Papaya
