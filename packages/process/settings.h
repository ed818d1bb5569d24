#pragma once

#include "base/endpoint.h"
#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"

#include <string>
#include <vector>

// The settings of one process, read once at start and checked as a whole.

namespace Papaya
{

/** How a minion is chosen; the others than Home are baselines for measurements. */
enum class MinionPolicyKind { Home, Random, RoundRobin };

/** How slots are shared out; the others than Fair are baselines for measurements. */
enum class AdmissionPolicyKind { Fair, TeamsOnly, Fifo };

enum class LogLevel { Debug, Info, Warning, Error };

/** Settings of one instance. */
struct Settings {
    InstanceId instance;
    PlaceName place;
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
    Endpoint log;
    Endpoint hosts;
    std::vector<std::string> adminTokenDigests;
    unsigned threads = 4;
    std::size_t callerConnections = 4096; ///< beyond it, the longest idle make way
    Millis drainLimit {30'000};
    /** Time between "not ready" and the close of the listener, for the balancer to look elsewhere. */
    Millis drainNotice {1'000};
    /** How long the log service keeps records. */
    Millis logRetention {24 * 3'600'000};
    /** How long an idempotency key is remembered; shorter than the retention. */
    Millis keyHorizon {3'600'000};
    LogLevel logLevel = LogLevel::Info;
    MinionPolicyKind minionPolicy = MinionPolicyKind::Home;
    AdmissionPolicyKind admissionPolicy = AdmissionPolicyKind::Fair;

    /**
     * Parses and checks a settings document: JSON with comments.
     * @return the settings, or every error with its path
     */
    static Result<Settings> fromText(std::string_view text);

    /** Reads fromText() from the file @p path. */
    static Result<Settings> fromFile(const std::string &path);
};

} // namespace Papaya
