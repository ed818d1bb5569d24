#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <optional>
#include <string>

// The protocol towards minions: one run per exchange, with the request id echoed back.

namespace Papaya
{

/** One run to be sent to a minion. */
struct RunRequest {
    RequestId id;
    TemplateName templateName;
    std::string contentType;
    std::string body;
    bool idempotent = false;
    /** Takes no kept connection, after one turned out to have gone silent. */
    bool forceNewConnection = false;
};

/** How a run ended, as far as this side can tell. */
enum class RunOutcome {
    Answered, ///< the minion ran it and this is its whole answer
    NotRun,   ///< no byte was sent, or the minion said that it did not run it
    Unknown,  ///< it may have run
};

/** Why a run was not answered. */
enum class RunFailure { None, Unreachable, Busy, Timeout, Closed, Malformed, CrossedAnswer };

/** The result of one run. */
struct RunResult {
    RunOutcome outcome = RunOutcome::Unknown;
    RunFailure failure = RunFailure::None;
    int status = 0;
    std::string contentType;
    std::string body;
    /** Slots in use on the minion, if it said so. */
    std::optional<std::uint32_t> slotsBusy;
    /** The minion takes no new work. */
    bool leaving = false;
    /** The run went over a kept connection, so its failure says little about the minion. */
    bool reusedConnection = false;
};

/** Client of the minions' protocol. */
class MinionClient
{
public:
    virtual ~MinionClient() = default;

    /** Sends @p run to @p minion. Never throws for what the network or the minion does. */
    virtual Asio::awaitable<RunResult> run(Endpoint minion, RunRequest run, TimePoint deadline) = 0;
};

/** @return the word for @p failure in logs and metrics. */
const char *toString(RunFailure failure);

/** @return the HTTP form of the minions' protocol; @p pool must outlive it. */
std::unique_ptr<MinionClient> makeHttpMinionClient(HttpPool &pool);

} // namespace Papaya
