#pragma once

#include "base/result.h"
#include "base/strong.h"
#include "base/units.h"
#include "version/shape.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

// One version of the fleet configuration: teams, their guarantees and limits, and their templates. A version is
// validated as a whole and is immutable.

namespace Papaya
{

/** Urgency of a template, the most urgent first. */
enum class Urgency { Urgent, Normal, Background };
constexpr std::size_t URGENCY_COUNT = 3;

/** Whether a template is for requests, which minions answer, or for jobs, which workers run. */
enum class WorkKind { Request, Job };

/** How a job whose gang lost a part is restarted: from its last checkpoint, from the beginning, or not at all. */
enum class RestartRule { Checkpoint, Scratch, Never };

/** A guaranteed number of request slots, or else a guaranteed number of gangs of one shape. */
struct Guarantee {
    std::uint32_t slots = 0;
    std::uint32_t count = 0;
    Shape shape;
};

/** Upper bounds on the requests in progress, queued requests and queued jobs of one team. */
struct TeamLimits {
    std::uint32_t inFlight = 200;
    std::uint32_t queued = 1000;
    std::uint32_t queuedJobs = 500;
};

/** A team with its credentials, share and guarantees. */
struct Team {
    std::vector<std::string> tokenDigests; ///< SHA-256 in hex; without any, the team needs no token
    std::uint32_t weight = 1;
    std::vector<Guarantee> guarantees;
    TeamLimits limits;

    /** @return request slots guaranteed to this team. */
    [[nodiscard]] std::uint32_t guaranteedSlots() const;
};

/** Type of a declared parameter. */
enum class ParameterType { String, Integer, Boolean };

/** A kind of request or job that one team may submit. */
struct Template {
    TeamName team;
    WorkKind kind = WorkKind::Request;
    Urgency urgency = Urgency::Normal;
    bool idempotent = false;
    Millis deadline {0};
    RestartRule restart = RestartRule::Scratch;
    Shape shape;
    Millis run {0}; ///< declared run time of a job
    std::map<std::string, ParameterType> parameters;

    /**
     * Checks the parameters of a job against those declared here.
     * @return every error, with paths below "parameters"; empty if the parameters are valid
     */
    [[nodiscard]] Errors checkParameters(const nlohmann::json &values) const;
};

/** One version of the fleet configuration. */
class FleetConfig
{
public:
    /**
     * Validates a configuration as a whole.
     * @return the configuration, or every error with its path
     */
    static Result<FleetConfig> fromJson(const nlohmann::json &document);

    /** @return the team, or null. */
    [[nodiscard]] const Team *team(const TeamName &name) const;
    /** @return the template, or null. */
    [[nodiscard]] const Template *templateNamed(const TemplateName &name) const;

    /** @return true if @p token is a token of @p team, or if the team has no tokens. */
    [[nodiscard]] static bool acceptsToken(const Team &team, const std::string &token);

    [[nodiscard]] const std::map<TeamName, Team> &teams() const
    {
        return m_teams;
    }
    [[nodiscard]] const std::map<TemplateName, Template> &templates() const
    {
        return m_templates;
    }
    /** @return share of the request slots that each urgency gets under contention, in percent. */
    [[nodiscard]] const std::array<std::uint32_t, URGENCY_COUNT> &floors() const
    {
        return m_floors;
    }

private:
    FleetConfig() = default;

    std::map<TeamName, Team> m_teams;
    std::map<TemplateName, Template> m_templates;
    std::array<std::uint32_t, URGENCY_COUNT> m_floors {70, 25, 5};
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/** @return the name of @p urgency in configuration, logs and metrics. */
const char *toString(Urgency urgency);

} // namespace Papaya
