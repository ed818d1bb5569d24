#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The operator's configuration of queues, services and teams. Each version is an immutable value.

namespace Papaya
{

/** Latency of a queue's admission oracle, and validity of its tickets. */
struct OracleTerms {
    Millis decision {0};  ///< base latency of a call
    Millis perMinion {0}; ///< added latency for each minion in the query
    Millis validFor {0};  ///< validity of a ticket, from the answer
};

/** A queue of jobs: its route, the service that runs its tasks, and the terms of its jobs. */
struct QueueConfig {
    QueueName name;
    std::string host;
    std::string pathPrefix;
    ServiceName service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1;
    std::int64_t targetMs = 0;
    Millis callerTimeout {0};          ///< how long callers wait in all; 0 if not given
    bool authExempt = false;           ///< callers need no API key
    std::optional<OracleTerms> oracle; ///< if set, an admission oracle decides which minions may run a step
};

/** Guarantee of a team. */
struct TeamConfig {
    TeamName name;
    std::int64_t guaranteedGpus = 0; ///< always available to its jobs of priority 0
};

/** A pool of minions. */
struct ServiceConfig {
    ServiceName name;
    bool refusesOverload = true; ///< its minions refuse tasks that do not fit
    bool spare = false;          ///< its machines are off
};

/** Limits on what callers may send, and how slowly. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Millis header {3'000};
    Millis idle {15'000};
};

/** One version of the configuration. */
struct DeploymentConfig {
    ConfigVersion version;
    std::vector<QueueConfig> queues;
    std::unordered_map<std::string, TeamName> teamByKey;
    std::vector<TeamConfig> teams;
    std::vector<ServiceConfig> services;
    CallerLimits limits;

    /** @return the queue at @p host with the longest path prefix that matches @p path, or null. */
    [[nodiscard]] const QueueConfig *route(std::string_view host, std::string_view path) const;
    /** @return the queue @p name, or null. */
    [[nodiscard]] const QueueConfig *queue(const QueueName &name) const;
    /** @return the GPUs guaranteed to @p team. */
    [[nodiscard]] std::int64_t guaranteedGpus(const TeamName &team) const;
};

} // namespace Papaya
