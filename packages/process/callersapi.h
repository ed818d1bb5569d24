#pragma once

#include "connection/httpserver.h"
#include "process/jobservice.h"
#include "process/requestservice.h"

// Routes of the listener for callers.

namespace Papaya
{

/** Handler of the callers' listener. */
class CallersApi : public HttpHandler
{
public:
    CallersApi(RequestService &requests, JobService &jobs);
    Asio::awaitable<HttpResponse> handle(HttpRequest request) override;

private:
    RequestService &m_requests;
    JobService &m_jobs;
};

/** @return the answer to a path or method that does not exist. */
HttpResponse noSuchCall(const HttpRequest &request);

} // namespace Papaya
