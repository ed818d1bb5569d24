#pragma once

#include "connection/http.h"
#include "request/refusal.h"
#include "version/fleetconfig.h"

#include <optional>
#include <string>

// Who a caller is: its team, proved by a bearer token, and its own name within the team.

namespace Papaya
{

/** An authenticated caller. */
struct CallerIdentity {
    TeamName team;
    CallerName caller;
    std::optional<Refusal> refusal; ///< set if the caller is not let in
};

/** @return the identity that the headers of @p request give under @p config. */
CallerIdentity identifyCaller(const HttpRequest &request, const FleetConfig &config);

/** @return the token of an "Authorization: Bearer" header, or an empty text. */
std::string bearerToken(const HttpRequest &request);

/** @return the answer that tells @p refusal; @p detail and @p path say more if they are not empty. */
HttpResponse refusalResponse(Refusal refusal, const std::string &detail = "", const std::string &path = "");

/** @return an answer with @p body of JSON text. */
HttpResponse jsonResponse(int status, std::string body);

} // namespace Papaya
