#include "process/callersapi.h"

#include "base/codec.h"
#include "process/callerauth.h"

#include <nlohmann/json.hpp>

namespace Papaya
{

namespace
{

constexpr std::string_view REQUESTS_PATH = "/v1/requests/";
constexpr std::string_view JOBS_PATH = "/v1/jobs";

} // namespace

HttpResponse noSuchCall(const HttpRequest &request)
{
    const nlohmann::json error {
        {"code", "no-such-call"},
        {"message", "no such path or method: " + request.method + " " + std::string(request.path())},
        {"path", ""}};
    HttpResponse response = jsonResponse(404, toJson({{"error", error}}));
    response.fields.set(Field::OUTCOME, "not-run");
    response.fields.set(Field::REASON, "no-such-call");
    return response;
}

CallersApi::CallersApi(RequestService &requests, JobService &jobs)
    : m_requests(requests)
    , m_jobs(jobs)
{
}

Asio::awaitable<HttpResponse> CallersApi::handle(HttpRequest request)
{
    const std::string path(request.path());
    if (request.method == "POST" && path.starts_with(REQUESTS_PATH)) {
        co_return co_await m_requests.handle(request, path.substr(REQUESTS_PATH.size()));
    }
    if (path == JOBS_PATH && request.method == "POST") {
        co_return co_await m_jobs.submit(request);
    }
    if (path == JOBS_PATH && request.method == "GET") {
        co_return m_jobs.list(request);
    }
    if (path.starts_with("/v1/jobs/")) {
        const std::string id = path.substr(JOBS_PATH.size() + 1);
        if (request.method == "GET") {
            co_return co_await m_jobs.status(request, id);
        }
        if (request.method == "DELETE") {
            co_return co_await m_jobs.cancel(request, id);
        }
    }
    co_return noSuchCall(request);
}

} // namespace Papaya
