#include "httpcaller.h"

#include "connection/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

namespace Papaya::Ctl
{

namespace
{

Asio::awaitable<void> exchange(Asio::io_context &io, Endpoint endpoint, HttpRequest request, Millis timeout,
                               CallResult &result)
{
    const TimePoint deadline = Clock::now() + timeout;
    try {
        const HttpConnectionPtr connection = co_await connectHttp(io, endpoint, deadline);
        HttpResponse response = co_await connection->exchange(request, deadline);
        result.status = response.status;
        result.fields = std::move(response.fields);
        result.body = std::move(response.body);
    } catch (const HttpError &error) {
        result.failure = error.what();
    }
}

/** @return a hint on how to resolve the error @p code of the server, or an empty string. */
std::string hintFor(const std::string &code)
{
    if (code == "bad-token") {
        return "pass a valid token with --token or --admin-token";
    }
    if (code == "unknown-team") {
        return "pass a known team with --team; 'papayactl team show' lists the teams";
    }
    if (code == "unknown-template") {
        return "'papayactl config show' lists the templates";
    }
    if (code == "not-ready" || code == "log-out") {
        return "retry in a few seconds; 'papayactl status' shows what the instance is waiting for";
    }
    if (code == "too-many-jobs" || code == "queue-full") {
        return "wait until earlier work has finished, or ask an operator for a higher limit";
    }
    if (code == "append-unknown") {
        return "the work may have been accepted; repeat the call with the same --key to learn its outcome";
    }
    if (code == "never-fits") {
        return "the fleet is too small for the shape; 'papayactl worker list' shows the workers";
    }
    return "";
}

} // namespace

nlohmann::json CallResult::json() const
{
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    return value.is_discarded() ? nlohmann::json() : value;
}

CallResult callOnce(const Endpoint &endpoint, const HttpRequest &request, Millis timeout)
{
    Asio::io_context io;
    CallResult result;
    Asio::co_spawn(io, exchange(io, endpoint, request, timeout, result), Asio::detached);
    io.run();
    return result;
}

CallResult callCallers(const Options &options, HttpRequest request)
{
    if (!options.team.empty()) {
        request.fields.set(Field::TEAM, options.team);
    }
    if (!options.token.empty()) {
        request.fields.set(Field::AUTHORIZATION, "Bearer " + options.token);
    }
    if (!options.key.empty()) {
        request.fields.set(Field::IDEMPOTENCY_KEY, options.key);
    }
    return callOnce(options.callers, request, options.timeout);
}

CallResult callAdmin(const Options &options, HttpRequest request)
{
    if (!options.adminToken.empty()) {
        request.fields.set(Field::AUTHORIZATION, "Bearer " + options.adminToken);
    }
    return callOnce(options.admin, request, options.timeout);
}

ExitCode reportFailure(const Options &options, const CallResult &result, const Endpoint &endpoint)
{
    if (!result.answered()) {
        std::cerr << "cannot reach " << endpoint.toString() << ": " << result.failure
                  << "\ncheck that an instance is running there; --callers and --admin set its addresses\n";
        return ExitCode::Unreachable;
    }
    if (options.json) {
        std::cout << result.body << "\n";
        return ExitCode::Refused;
    }
    const nlohmann::json body = result.json();
    if (!body.is_object() || !body.contains("error")) {
        std::cerr << "refused with status " << result.status << ": " << result.body << "\n";
        return ExitCode::Refused;
    }
    const nlohmann::json errors = body.value("errors", nlohmann::json::array({body["error"]}));
    for (const nlohmann::json &error : errors) {
        const std::string path = error.value("path", "");
        std::cerr << (path.empty() ? "" : path + ": ") << error.value("message", "") << " (" << error.value("code", "")
                  << ")\n";
    }
    const std::string hint = hintFor(body["error"].value("code", ""));
    if (!hint.empty()) {
        std::cerr << hint << "\n";
    }
    return ExitCode::Refused;
}

} // namespace Papaya::Ctl
