#pragma once

#include <array>
#include <cstddef>

// Every reason for which a caller does not get a minion's answer, with its code, HTTP status and truthful outcome in
// one table. Each reason has a counter of its own.

namespace Papaya
{

/** What is known about a request: an answered run, certainly no run, or neither. */
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
    KeyNotAllowed,
    QueueFull,
    Displaced,
    DeadlineUnreachable,
    DeadlinePassed,
    NoMinion,
    MinionsBusy,
    MinionsUnreachable,
    LogOut,
    NotReady,
    TooManyJobs,
    NeverFits,
    NoSuchJob,
    RunUnknown,
    KeyOutcomeUnknown,
    KeyLogOut,
    AppendUnknown,
    Count,
};
constexpr std::size_t REFUSAL_COUNT = static_cast<std::size_t>(Refusal::Count);

/** How a refusal is told to the caller. */
struct RefusalInfo {
    const char *code;
    int status;
    Outcome outcome;
    /** Seconds after which another try may help; 0 if waiting does not help. */
    int retryAfterSeconds;
    const char *message;
};

/** @return how @p refusal is told. */
const RefusalInfo &infoOf(Refusal refusal);

/** @return the word for @p outcome in Papayahall-Outcome. */
const char *toString(Outcome outcome);

} // namespace Papaya
