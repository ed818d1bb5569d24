#include "request/refusal.h"

namespace Papaya
{

namespace
{

constexpr std::array<RefusalInfo, REFUSAL_COUNT> INFOS {{
    {"unknown-team", 401, Outcome::NotRun, 0, "no such team; name it in Papayahall-Team"},
    {"bad-token", 401, Outcome::NotRun, 0, "the bearer token does not open this team"},
    {"unknown-template", 404, Outcome::NotRun, 0, "no such template in this team"},
    {"wrong-kind", 400, Outcome::NotRun, 0,
     "the template is of the other kind; requests go to /v1/requests, jobs to /v1/jobs"},
    {"bad-deadline", 400, Outcome::NotRun, 0, "the deadline must be a positive number of milliseconds"},
    {"bad-body", 400, Outcome::NotRun, 0, "the body is not what this call takes"},
    {"bad-parameters", 400, Outcome::NotRun, 0, "the parameters do not match the template"},
    {"key-reused", 422, Outcome::NotRun, 0, "the idempotency key was used with another body"},
    {"bad-key", 400, Outcome::NotRun, 0, "an idempotency key has 1 to 128 printable characters"},
    {"queue-full", 429, Outcome::NotRun, 1, "the team has too many requests waiting"},
    {"displaced", 429, Outcome::NotRun, 1, "dropped from a full queue because this caller has the most waiting"},
    {"deadline-unreachable", 503, Outcome::NotRun, 1, "the expected wait passes the deadline"},
    {"deadline-passed", 504, Outcome::NotRun, 0, "the deadline passed before the request could be sent"},
    {"no-minion", 503, Outcome::NotRun, 1, "no minion is listed as live"},
    {"minions-busy", 503, Outcome::NotRun, 1, "every minion tried was out of slots"},
    {"minions-unreachable", 503, Outcome::NotRun, 1, "no connection to any minion tried"},
    {"log-out", 503, Outcome::NotRun, 2, "the log service did not take the record in time"},
    {"not-ready", 503, Outcome::NotRun, 1, "this instance has not caught up yet"},
    {"too-many-jobs", 429, Outcome::NotRun, 5, "the team has too many jobs queued"},
    {"never-fits", 422, Outcome::NotRun, 0, "no worker of the fleet can ever hold this shape"},
    {"no-such-job", 404, Outcome::NotRun, 0, "the team has no such job"},
    {"run-unknown", 502, Outcome::Unknown, 0, "the request was sent, but no whole answer came back"},
    {"key-outcome-unknown", 502, Outcome::Unknown, 0, "an earlier request with this key has no known outcome"},
    {"key-log-out", 502, Outcome::Unknown, 2, "without the log nobody knows whether a request with this key has run"},
    {"append-unknown", 504, Outcome::Unknown, 2, "the log service did not say whether it took the record"},
}};

} // namespace

const RefusalInfo &infoOf(Refusal refusal)
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
