#pragma once

#include "connection/http.h"
#include "request/refusal.h"
#include "version/fleetconfig.h"

#include <optional>
#include <string>

// Identity of a caller: its team, authenticated by a bearer token, and its name within the team. Also the responses
// that the callers' and operators' APIs share.

namespace Papaya
{

/** A caller as its request's headers identify it. */
struct CallerIdentity {
    TeamName team;
    CallerName caller;
    std::optional<Refusal> refusal; ///< set if authentication failed
};

/** @return the identity in the headers of @p request, checked against the teams of @p config. */
CallerIdentity identifyCaller(const HttpRequest &request, const FleetConfig &config);

/** @return the token of an "Authorization: Bearer" header, or an empty string. */
std::string bearerToken(const HttpRequest &request);

/**
 * @return the response for @p refusal
 * @param detail added to the message, if not empty
 * @param path of the faulty field in the body, if any
 */
HttpResponse refusalResponse(Refusal refusal, const std::string &detail = "", const std::string &path = "");

/** @return a response with the JSON text @p body. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace Papaya
