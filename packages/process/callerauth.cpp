#include "process/callerauth.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

namespace Papaya
{

namespace
{

constexpr std::string_view BEARER = "Bearer ";
constexpr std::size_t MAX_CALLER_LENGTH = 128;

} // namespace

std::string bearerToken(const HttpRequest &request)
{
    const std::string &header = request.fields.get(Field::AUTHORIZATION);
    return header.starts_with(BEARER) ? header.substr(BEARER.size()) : std::string();
}

CallerIdentity identifyCaller(const HttpRequest &request, const FleetConfig &config)
{
    CallerIdentity identity;
    identity.caller = CallerName(request.fields.get(Field::CALLER).substr(0, MAX_CALLER_LENGTH));
    const std::string token = bearerToken(request);
    const std::string &teamName = request.fields.get(Field::TEAM);
    if (!teamName.empty()) {
        identity.team = TeamName(teamName);
        const Team *team = config.team(identity.team);
        if (team == nullptr) {
            identity.refusal = Refusal::UnknownTeam;
        } else if (!FleetConfig::acceptsToken(*team, token)) {
            identity.refusal = Refusal::BadToken;
        }
        return identity;
    }
    // Without the team header the token identifies the team. A team without tokens can only be named by the header.
    for (const auto &[name, team] : config.teams()) {
        if (!token.empty() && !team.tokenDigests.empty() && FleetConfig::acceptsToken(team, token)) {
            identity.team = name;
            return identity;
        }
    }
    identity.refusal = token.empty() ? Refusal::UnknownTeam : Refusal::BadToken;
    return identity;
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.fields.set(Field::CONTENT_TYPE, "application/json");
    response.body = std::move(body);
    return response;
}

HttpResponse refusalResponse(Refusal refusal, const std::string &detail, const std::string &path)
{
    const RefusalInfo &info = refusalInfo(refusal);
    const std::string message = detail.empty() ? info.message : std::string(info.message) + ": " + detail;
    const nlohmann::json error {{"code", info.code}, {"message", message}, {"path", path}};
    HttpResponse response = jsonResponse(info.status, toJson({{"error", error}}));
    response.fields.set(Field::OUTCOME, toString(info.outcome));
    response.fields.set(Field::REASON, info.code);
    if (info.retryAfterSeconds > 0) {
        response.fields.set(Field::RETRY_AFTER, std::to_string(info.retryAfterSeconds));
    }
    return response;
}

} // namespace Papaya
