#include "request/refusal.h"

namespace Papaya
{

namespace
{

constexpr std::array<RefusalInfo, REFUSAL_COUNT> INFOS {{
    {"unknown-team", 401, Outcome::NotRun, 0, "unknown team; set the Papayahall-Team header to the name of a team"},
    {"bad-token", 401, Outcome::NotRun, 0, "the bearer token is not valid for this team"},
    {"unknown-template", 404, Outcome::NotRun, 0, "the team has no template of this name"},
    {"wrong-kind", 400, Outcome::NotRun, 0,
     "the template is of another kind; send requests to /v1/requests and jobs to /v1/jobs"},
    {"bad-deadline", 400, Outcome::NotRun, 0, "the deadline must be a positive number of milliseconds"},
    {"bad-body", 400, Outcome::NotRun, 0, "the request body is not valid for this call"},
    {"bad-parameters", 400, Outcome::NotRun, 0, "the parameters do not match the template"},
    {"key-reused", 422, Outcome::NotRun, 0, "the idempotency key was already used with another request body"},
    {"bad-key", 400, Outcome::NotRun, 0, "the idempotency key must have 1 to 128 printable characters"},
    {"queue-full", 429, Outcome::NotRun, 1, "the queue of the team is full"},
    {"displaced", 429, Outcome::NotRun, 1,
     "dropped from the full queue of the team, in which this caller had the most requests"},
    {"deadline-unreachable", 503, Outcome::NotRun, 1, "the request is not expected to finish before the deadline"},
    {"deadline-passed", 504, Outcome::NotRun, 0, "the deadline passed before the request could be sent"},
    {"no-minion", 503, Outcome::NotRun, 1, "no minion is listed as live"},
    {"minions-busy", 503, Outcome::NotRun, 1, "no minion that was tried had a free slot"},
    {"minions-unreachable", 503, Outcome::NotRun, 1, "none of the minions that were tried could be reached"},
    {"log-out", 503, Outcome::NotRun, 2, "the log service did not accept the record in time"},
    {"not-ready", 503, Outcome::NotRun, 1, "this instance has not yet caught up with the configuration or the journal"},
    {"too-many-jobs", 429, Outcome::NotRun, 5, "the team has as many queued jobs as its limit allows"},
    {"never-fits", 422, Outcome::NotRun, 0,
     "the shape would not fit on the workers of the fleet even if they were empty"},
    {"no-such-job", 404, Outcome::NotRun, 0, "the team has no such job"},
    {"run-unknown", 502, Outcome::Unknown, 0, "the request was sent, but no complete answer was received"},
    {"key-outcome-unknown", 502, Outcome::Unknown, 0,
     "the outcome of an earlier request with this key is unknown or no longer stored"},
    {"key-log-out", 502, Outcome::Unknown, 2,
     "the log service is unavailable, so it is unknown whether a request with this key has run"},
    {"append-unknown", 504, Outcome::Unknown, 2, "the log service did not confirm whether it stored the record"},
}};

} // namespace

const RefusalInfo &refusalInfo(Refusal refusal)
{
    return INFOS[static_cast<std::size_t>(refusal)];
}

const char *toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Papaya
