#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The operator's configuration of queues, services and teams, one immutable value for each version.

namespace Papaya
{

/** How the admission oracle of a queue answers. */
struct OracleTerms {
    Millis decision {0};  ///< of one call
    Millis perMinion {0}; ///< more for each minion that is asked about
    Millis validFor {0};  ///< a ticket, from its answer
};

/** A queue of jobs: where callers reach it, who runs its tasks and on what terms. */
struct QueueConfig {
    QueueName name;
    std::string host;
    std::string pathPrefix;
    ServiceName service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1;
    std::int64_t targetMs = 0;
    bool authExempt = false;           ///< no key is asked for
    std::optional<OracleTerms> oracle; ///< if set, an admission oracle says which minions may run a step
};

/** What a team may count on. */
struct TeamConfig {
    TeamName name;
    std::int64_t guaranteedGpus = 0; ///< for its jobs of priority 0, at all times
};

/** A pool of minions. */
struct ServiceConfig {
    ServiceName name;
    bool refusesOverload = true; ///< its minions refuse what does not fit
    bool spare = false;          ///< its machines are off
};

/** Bounds on what callers may send. */
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

    /** @return the queue with the longest prefix of @p path at @p host, or null. */
    [[nodiscard]] const QueueConfig *route(std::string_view host, std::string_view path) const;
    /** @return the queue of that name, or null. */
    [[nodiscard]] const QueueConfig *queue(const QueueName &name) const;
    /** @return the GPUs that @p team may count on. */
    [[nodiscard]] std::int64_t guaranteedGpus(const TeamName &team) const;
};

} // namespace Papaya
