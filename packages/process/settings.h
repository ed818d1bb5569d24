#pragma once

#include "base/endpoint.h"
#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"

#include <string>
#include <vector>

// The settings of one process, checked as a whole when the process starts and on each reload.

namespace Papaya
{

/** How a minion is chosen. All but Home are baselines for benchmarks. */
enum class MinionPolicyKind { Home, Random, RoundRobin };

/** How slots are shared among requests. All but Fair are baselines for benchmarks. */
enum class AdmissionPolicyKind { Fair, TeamsOnly, Fifo };

/** Severity of a log line, in rising order. */
enum class LogLevel { Debug, Info, Warning, Error };

/** Settings of one instance. */
struct Settings {
    InstanceId instance;
    PlaceName place;
    Endpoint callers;                           ///< listener for callers
    Endpoint admin;                             ///< listener for operators
    Endpoint peers;                             ///< listener for other instances
    Endpoint log;                               ///< log service of the platform
    Endpoint hosts;                             ///< host list of the platform
    std::vector<std::string> adminTokenDigests; ///< SHA-256, in hexadecimal digits; empty if no token is needed
    unsigned threads = 4;                       ///< threads that run all work of the process
    std::size_t callerConnections = 4096;       ///< one more closes the longest idle one, or is refused if none is idle
    /** Time for a drain, after which requests in progress are cut. */
    Millis drainLimit {30'000};
    /** Time between "not ready" and the close of the listener, so that the load balancer chooses other instances. */
    Millis drainNotice {1'000};
    /** How long the log service keeps records. */
    Millis logRetention {24 * 3'600'000};
    /** How long an idempotency key is remembered; must be shorter than logRetention. */
    Millis keyHorizon {3'600'000};
    LogLevel logLevel = LogLevel::Info;
    MinionPolicyKind minionPolicy = MinionPolicyKind::Home;
    AdmissionPolicyKind admissionPolicy = AdmissionPolicyKind::Fair;

    /**
     * Parses and checks settings in JSON with comments.
     * @return the settings, or every error with its path
     */
    static Result<Settings> fromText(std::string_view text);

    /** Applies fromText() to the file @p path. */
    static Result<Settings> fromFile(const std::string &path);
};

} // namespace Papaya
