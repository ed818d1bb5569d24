#include "commands.h"

#include <fstream>
#include <iostream>
#include <optional>

namespace Papaya::Ctl
{

namespace
{

using Json = nlohmann::json;

constexpr int LONG_POLL_MS = 2'000;

bool isFinal(const std::string &state)
{
    return state == "succeeded" || state == "completed" || state == "failed" || state == "cancelled";
}

/** @return the job parameters of the options. Integers and booleans keep their type; all others are strings. */
Json parseParameters(const Options &options)
{
    Json parameters = Json::object();
    for (const std::string &pair : options.parameters) {
        const std::size_t equals = pair.find('=');
        const std::string text = equals == std::string::npos ? "" : pair.substr(equals + 1);
        const Json value = Json::parse(text, nullptr, false);
        const bool typed = value.is_number_integer() || value.is_boolean();
        parameters[pair.substr(0, equals)] = typed ? value : Json(text);
    }
    return parameters;
}

void printJob(const Options &options, const CallResult &result)
{
    if (options.json) {
        std::cout << result.body << "\n";
        return;
    }
    const Json job = result.json();
    const std::string reason = job.value("reason", "");
    std::cout << job.value("job", "") << " " << job.value("state", "") << (reason.empty() ? "" : ": " + reason) << "\n";
}

ExitCode waitForEnd(const Options &options, const std::string &job)
{
    std::string lastState;
    const TimePoint deadline = Clock::now() + options.timeout;
    while (Clock::now() < deadline) {
        const std::string target = "/v1/jobs/" + job + "?waitMs=" + std::to_string(LONG_POLL_MS);
        const CallResult result = callCallers(options, {"GET", target, {}, ""});
        if (!result.succeeded()) {
            return reportFailure(options, result, options.callers);
        }
        const std::string state = result.json().value("state", "");
        if (isFinal(state)) {
            printJob(options, result);
            return state == "succeeded" || state == "completed" ? ExitCode::Done : ExitCode::Refused;
        }
        if (state != lastState) {
            std::cerr << job << " " << state << "\n";
        }
        lastState = state;
    }
    std::cerr << job << " did not end within --timeout-ms; 'papayactl explain " << job << "' shows why\n";
    return ExitCode::Refused;
}

/**
 * @param name of the template, or of the queue if the options name a file of steps
 * @return the body of a job submission; nothing if the file cannot be used
 */
std::optional<Json> makeSubmission(const Options &options, const std::string &name)
{
    if (options.stepsFile.empty()) {
        return Json {{"template", name}, {"parameters", parseParameters(options)}};
    }
    std::ifstream file(options.stepsFile);
    Json body = Json::parse(file, nullptr, false, true); // comments are allowed
    if (!body.is_object()) {
        std::cerr << options.stepsFile << ": cannot be read or is not a JSON object\n";
        return std::nullopt;
    }
    body["queue"] = name;
    return body;
}

ExitCode submit(const Options &options, const std::string &name)
{
    const auto body = makeSubmission(options, name);
    if (!body) {
        return ExitCode::Usage;
    }
    HttpRequest request {"POST", "/v1/jobs", {}, body->dump()};
    const CallResult result = callCallers(options, std::move(request));
    if (!result.succeeded()) {
        return reportFailure(options, result, options.callers);
    }
    if (options.wait) {
        return waitForEnd(options, result.json().value("job", ""));
    }
    printJob(options, result);
    return ExitCode::Done;
}

/** Calls the API of one job and prints the job. */
ExitCode callJob(const Options &options, const std::string &method, const std::string &job)
{
    const CallResult result = callCallers(options, {method, "/v1/jobs/" + job, {}, ""});
    if (!result.succeeded()) {
        return reportFailure(options, result, options.callers);
    }
    printJob(options, result);
    return ExitCode::Done;
}

ExitCode list(const Options &options)
{
    std::vector<std::vector<std::string>> rows {{"JOB", "TEMPLATE", "STATE", "ATTEMPT", "REASON"}};
    Json all = Json::array();
    std::string after;
    while (true) {
        const CallResult result = callCallers(options, {"GET", "/v1/jobs?after=" + after, {}, ""});
        if (!result.succeeded()) {
            return reportFailure(options, result, options.callers);
        }
        const Json page = result.json();
        for (const Json &job : page["jobs"]) {
            all.push_back(job);
            rows.push_back({job.value("job", ""), job.value("template", ""), job.value("state", ""),
                            job["attempt"].dump(), job.value("reason", "")});
        }
        if (!page["next"].is_string()) {
            break;
        }
        after = page["next"];
    }
    if (options.json) {
        std::cout << Json {{"jobs", all}}.dump() << "\n";
    } else {
        printTable(rows);
    }
    return ExitCode::Done;
}

} // namespace

ExitCode jobCommand(const Options &options, const Arguments &arguments)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if (verb == "list" && arguments.size() == 1) {
        return list(options);
    }
    if (arguments.size() != 2) {
        return usageError("job submit TEMPLATE | submit QUEUE --steps FILE | status JOB | cancel JOB | list");
    }
    if (verb == "submit") {
        return submit(options, arguments[1]);
    }
    if (verb == "status") {
        return options.wait ? waitForEnd(options, arguments[1]) : callJob(options, "GET", arguments[1]);
    }
    if (verb == "cancel") {
        return callJob(options, "DELETE", arguments[1]);
    }
    return usageError("unknown command: job " + verb);
}

ExitCode requestCommand(const Options &options, const Arguments &arguments)
{
    if (arguments.size() != 1) {
        return usageError("request TEMPLATE [--body TEXT] [--key KEY]");
    }
    const CallResult result = callCallers(options, {"POST", "/v1/requests/" + arguments[0], {}, options.body});
    if (!result.succeeded()) {
        return reportFailure(options, result, options.callers);
    }
    std::cerr << "request " << result.fields.get(Field::REQUEST) << " outcome " << result.fields.get(Field::OUTCOME)
              << (result.fields.has(Field::REPLAYED) ? " (replayed answer)" : "") << "\n";
    std::cout << result.body << "\n";
    return ExitCode::Done;
}

} // namespace Papaya::Ctl
