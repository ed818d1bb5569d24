#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/http.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

// Blocking HTTP calls for the commands of papayactl.

namespace Papaya::Ctl
{

/** Exit codes of papayactl. */
enum class ExitCode { Done = 0, Refused = 1, Usage = 2, Unreachable = 3 };

/** Command-line options of all commands. */
struct Options {
    Endpoint callers;
    Endpoint admin;
    std::string token;
    std::string adminToken;
    std::string team;
    std::string key;
    std::string body;
    std::vector<std::string> parameters; ///< each name=value
    std::string stepsFile;               ///< JSON file with the steps of a job; empty for a job of a template
    bool json = false;
    bool wait = false;
    Millis timeout {30'000};
};

/** The answer to a call, or the reason why there is none. */
struct CallResult {
    int status = 0; ///< 0 if there is no answer
    HttpFields fields;
    std::string body;
    std::string failure; ///< why there is no answer

    [[nodiscard]] bool answered() const
    {
        return status != 0;
    }
    [[nodiscard]] bool succeeded() const
    {
        return status >= 200 && status < 300;
    }
    /** @return the body as JSON, or null if it is not valid JSON. */
    [[nodiscard]] nlohmann::json json() const;
};

/** Sends @p request and waits for the answer. */
CallResult callOnce(const Endpoint &endpoint, const HttpRequest &request, Millis timeout);

/** Calls the caller API with the team, token and idempotency key of @p options. */
CallResult callCallers(const Options &options, HttpRequest request);

/** Calls the admin API with the admin token of @p options. */
CallResult callAdmin(const Options &options, HttpRequest request);

/**
 * Prints the error of a failed call and a hint on how to resolve it.
 * @return Unreachable if there was no answer, otherwise Refused
 */
ExitCode reportFailure(const Options &options, const CallResult &result, const Endpoint &endpoint);

} // namespace Papaya::Ctl
