#pragma once

#include "base/strong.h"
#include "base/units.h"
#include "connection/httpclient.h"

#include <memory>
#include <optional>
#include <string>

// Client of the minion protocol. Each exchange is one run of a request, and the minion repeats the request id in its
// answer.

namespace Papaya
{

/** A run to be sent to a minion. */
struct RunRequest {
    RequestId id;
    TemplateName templateName;
    std::string contentType;
    std::string body;
    bool idempotent = false;
    /** Uses no pooled connection, since an earlier run was lost on one. */
    bool forceNewConnection = false;
};

/** Outcome of a run, as far as the client can tell. */
enum class RunOutcome {
    Answered, ///< the minion has run the request and its answer is complete
    NotRun,   ///< no byte was sent, or the minion has reported that it did not run the request
    Unknown,  ///< the minion may have run the request
};

/** Why a run was not answered. */
enum class RunFailure {
    None,
    Unreachable,  ///< the connection could not be opened
    Busy,         ///< the minion has no free slot or takes no new work
    Timeout,      ///< the deadline passed
    Closed,       ///< the connection was closed before the answer was complete
    Malformed,    ///< the answer is not valid HTTP
    CrossedAnswer ///< the answer carries the id of another request
};

/** The result of one run. */
struct RunResult {
    RunOutcome outcome = RunOutcome::Unknown;
    RunFailure failure = RunFailure::None;
    int status = 0;
    std::string contentType;
    std::string body;
    /** Slots in use on the minion, if the answer states them. */
    std::optional<std::uint32_t> slotsBusy;
    /** The minion is leaving and takes no new work. */
    bool leaving = false;
    /** The run used a pooled connection, which may have died while idle. Its failure says little about the minion. */
    bool reusedConnection = false;
};

/** Client of the minion protocol. */
class MinionClient
{
public:
    virtual ~MinionClient() = default;

    /** Sends @p run to @p minion. Failures of the network or the minion are reported in the result, not thrown. */
    virtual Asio::awaitable<RunResult> run(Endpoint minion, RunRequest run, TimePoint deadline) = 0;
};

/** @return the name of @p failure in logs and metrics. */
const char *toString(RunFailure failure);

/** @return an HTTP client of the minion protocol; @p pool must outlive it. */
std::unique_ptr<MinionClient> makeHttpMinionClient(HttpPool &pool);

} // namespace Papaya
