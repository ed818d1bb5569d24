#pragma once

#include "base/endpoint.h"
#include "base/units.h"
#include "connection/http.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

// Blocking HTTP calls for the command line.

namespace Papaya::Ctl
{

/** Exit codes of the program. */
enum class ExitCode { Done = 0, Refused = 1, Usage = 2, Unreachable = 3 };

/** Options that the commands share. */
struct Options {
    Endpoint callers;
    Endpoint admin;
    std::string token;
    std::string adminToken;
    std::string team;
    std::string key;
    std::string body;
    std::vector<std::string> parameters; ///< name=value
    std::string stepsFile;               ///< of a job of steps
    bool json = false;
    bool wait = false;
    Millis timeout {30'000};
};

/** An answer, or the reason for none. */
struct CallResult {
    int status = 0; ///< 0 if there was no answer
    HttpFields fields;
    std::string body;
    std::string failure;

    [[nodiscard]] bool answered() const
    {
        return status != 0;
    }
    [[nodiscard]] bool succeeded() const
    {
        return status >= 200 && status < 300;
    }
    /** @return the body as JSON; null if it is none. */
    [[nodiscard]] nlohmann::json json() const;
};

/** Sends @p request and waits for the answer. */
CallResult callOnce(const Endpoint &endpoint, const HttpRequest &request, Millis timeout);

/** Calls the callers' listener with the team and token of @p options. */
CallResult callCallers(const Options &options, HttpRequest request);

/** Calls the admin listener with the admin token of @p options. */
CallResult callAdmin(const Options &options, HttpRequest request);

/**
 * Prints what went wrong, and what to do about it.
 * @return the exit code that fits
 */
ExitCode reportFailure(const Options &options, const CallResult &result, const Endpoint &endpoint);

} // namespace Papaya::Ctl
