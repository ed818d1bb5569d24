#pragma once

#include <array>
#include <cstddef>

// Reasons for which a caller gets an error instead of an answer, with the error code, HTTP status and outcome of each
// in one table. Each reason has its own metric.

namespace Papaya
{

/** Whether a request has run: it has and was answered, it certainly has not, or this is not known. */
enum class Outcome { Done, NotRun, Unknown };

/** Reasons for refusing or failing a request or job submission. */
enum class Refusal {
    UnknownTeam,
    BadToken,
    UnknownTemplate,
    WrongKind,
    BadDeadline,
    BadBody,
    BadParameters,
    KeyReused,
    BadKey,
    QueueFull,
    Displaced,
    DeadlineUnreachable,
    DeadlinePassed,
    NoMinion,
    MinionsBusy,
    MinionsUnreachable,
    LogUnavailable,
    NotReady,
    TooManyJobs,
    NeverFits,
    NoSuchJob,
    RunUnknown,
    KeyOutcomeUnknown,
    KeyLogUnavailable,
    AppendUnknown,
    Count,
};
constexpr std::size_t REFUSAL_COUNT = static_cast<std::size_t>(Refusal::Count);

/** How a refusal is reported to the caller. */
struct RefusalInfo {
    const char *code; ///< stable error code, also the label of the metric
    int status;       ///< HTTP status
    Outcome outcome;
    /** Value of Retry-After in seconds; 0 if a retry does not help, and the header is left out. */
    int retryAfterSeconds;
    const char *message; ///< for people
};

/** @return code, status, outcome and message of @p refusal. */
const RefusalInfo &refusalInfo(Refusal refusal);

/** @return the value of the Papayahall-Outcome header for @p outcome. */
const char *toString(Outcome outcome);

} // namespace Papaya
