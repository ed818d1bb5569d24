#include "version/fleetconfig.h"

#include "base/digest.h"
#include "base/objectreader.h"

#include <algorithm>

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t MAX_COUNT = 1'000'000;
constexpr std::int64_t MAX_DEADLINE_MS = 600'000;
constexpr std::int64_t MAX_RUN_MS = 90LL * 24 * 3'600'000;
constexpr std::size_t MAX_NAME_LENGTH = 64;
constexpr std::size_t MAX_PARAMETER_LENGTH = 4096;
constexpr std::string_view DIGEST_PREFIX = "sha256:";
constexpr std::size_t DIGEST_LENGTH = 64;

const std::vector<std::string_view> URGENCY_NAMES {"urgent", "normal", "background"};
const std::vector<std::string_view> KIND_NAMES {"request", "job"};
const std::vector<std::string_view> RESTART_NAMES {"checkpoint", "scratch", "never"};
const std::vector<std::string_view> PARAMETER_TYPE_NAMES {"string", "integer", "boolean"};

bool isValidName(const std::string &name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
               || c == '.';
    };
    return !name.empty() && name.size() <= MAX_NAME_LENGTH && std::all_of(name.begin(), name.end(), allowed);
}

void checkName(const std::string &name, const std::string &path, Errors &errors)
{
    if (!isValidName(name)) {
        errors.push_back({"bad-name", "must be a name of 1 to 64 letters, digits, '-', '_' or '.'", path});
    }
}

void readDigests(const Json *list, const std::string &path, Errors &errors, std::vector<std::string> &digests)
{
    if (list == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        const Json &entry = (*list)[i];
        const std::string text = entry.is_string() ? entry.get<std::string>() : "";
        if (!text.starts_with(DIGEST_PREFIX) || text.size() != DIGEST_PREFIX.size() + DIGEST_LENGTH) {
            errors.push_back(
                {"bad-digest", "must be 'sha256:' followed by 64 hex digits", path + "[" + std::to_string(i) + "]"});
            continue;
        }
        digests.push_back(text.substr(DIGEST_PREFIX.size()));
    }
}

void readGuarantee(const Json &value, const std::string &path, Errors &errors, std::vector<Guarantee> &guarantees)
{
    ObjectReader reader(value, path, errors);
    Guarantee guarantee;
    const auto slots = reader.integer("slots", 1, MAX_COUNT);
    const Json *shape = reader.object("shape");
    const auto count = reader.integer("count", 1, MAX_COUNT);
    reader.refuseUnknownKeys();
    if (slots.has_value() == (shape != nullptr)) {
        errors.push_back({"bad-guarantee", "must have either slots, or shape with an optional count", path});
        return;
    }
    if (slots) {
        guarantee.slots = static_cast<std::uint32_t>(*slots);
    } else if (const auto parsed = readShape(*shape, reader.pathOf("shape"), errors)) {
        guarantee.shape = *parsed;
        guarantee.count = static_cast<std::uint32_t>(count.value_or(1));
    }
    guarantees.push_back(guarantee);
}

void readLimits(const Json &value, const std::string &path, Errors &errors, TeamLimits &limits)
{
    ObjectReader reader(value, path, errors);
    limits.inFlight = static_cast<std::uint32_t>(reader.integer("inFlight", 1, MAX_COUNT).value_or(limits.inFlight));
    limits.queued = static_cast<std::uint32_t>(reader.integer("queued", 0, MAX_COUNT).value_or(limits.queued));
    limits.queuedJobs =
        static_cast<std::uint32_t>(reader.integer("queuedJobs", 0, MAX_COUNT).value_or(limits.queuedJobs));
    reader.refuseUnknownKeys();
}

Team readTeam(const Json &value, const std::string &path, Errors &errors)
{
    ObjectReader reader(value, path, errors);
    Team team;
    readDigests(reader.array("tokenDigests"), reader.pathOf("tokenDigests"), errors, team.tokenDigests);
    team.weight = static_cast<std::uint32_t>(reader.integer("weight", 1, 1000).value_or(1));
    if (const Json *list = reader.array("guarantees")) {
        for (std::size_t i = 0; i < list->size(); ++i) {
            readGuarantee((*list)[i], reader.pathOf("guarantees[" + std::to_string(i) + "]"), errors, team.guarantees);
        }
    }
    if (const Json *limits = reader.object("limits")) {
        readLimits(*limits, reader.pathOf("limits"), errors, team.limits);
    }
    reader.refuseUnknownKeys();
    return team;
}

void readParameters(const Json &value, const std::string &path, Errors &errors,
                    std::map<std::string, ParameterType> &parameters)
{
    ObjectReader reader(value, path, errors);
    for (const auto &[name, type] : value.items()) {
        if (const auto index = reader.oneOf(name.c_str(), PARAMETER_TYPE_NAMES)) {
            parameters[name] = static_cast<ParameterType>(*index);
        }
    }
}

Template readTemplate(const Json &value, const std::string &path, Errors &errors)
{
    ObjectReader reader(value, path, errors);
    Template result;
    result.team = TeamName(reader.text("team", Presence::Required).value_or(""));
    result.kind = static_cast<WorkKind>(reader.oneOf("kind", KIND_NAMES, Presence::Required).value_or(0));
    result.urgency = static_cast<Urgency>(reader.oneOf("urgency", URGENCY_NAMES).value_or(1));
    result.idempotent = reader.boolean("idempotent").value_or(false);
    const bool isJob = result.kind == WorkKind::Job;
    const Presence deadline = isJob ? Presence::Optional : Presence::Required;
    result.deadline = Millis(reader.integer("deadlineMs", 1, MAX_DEADLINE_MS, deadline).value_or(0));
    if (isJob) {
        result.restart = static_cast<RestartRule>(reader.oneOf("restart", RESTART_NAMES).value_or(1));
        result.run = Millis(reader.integer("runMs", 1, MAX_RUN_MS, Presence::Required).value_or(0));
        if (const Json *shape = reader.object("shape", Presence::Required)) {
            result.shape = readShape(*shape, reader.pathOf("shape"), errors).value_or(Shape {});
        }
    }
    if (const Json *parameters = reader.object("parameters")) {
        readParameters(*parameters, reader.pathOf("parameters"), errors, result.parameters);
    }
    reader.refuseUnknownKeys();
    return result;
}

void readFloors(const Json &value, Errors &errors, std::array<std::uint32_t, URGENCY_COUNT> &floors)
{
    constexpr std::int64_t ALL_PERCENT = 100;
    ObjectReader reader(value, "floors", errors);
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < URGENCY_COUNT; ++i) {
        const auto floor = reader.integer(URGENCY_NAMES[i].data(), 0, ALL_PERCENT);
        floors[i] = static_cast<std::uint32_t>(floor.value_or(floors[i]));
        sum += floors[i];
    }
    reader.refuseUnknownKeys();
    if (sum > ALL_PERCENT) {
        errors.push_back({"out-of-range", "floors must not add up to more than 100 percent", "floors"});
    }
}

bool hasType(const Json &value, ParameterType type)
{
    switch (type) {
    case ParameterType::String:
        return value.is_string() && value.get_ref<const std::string &>().size() <= MAX_PARAMETER_LENGTH;
    case ParameterType::Integer:
        return value.is_number_integer();
    case ParameterType::Boolean:
        return value.is_boolean();
    }
    return false;
}

} // namespace

const char *toString(Urgency urgency)
{
    return URGENCY_NAMES[static_cast<std::size_t>(urgency)].data();
}

std::uint32_t Team::guaranteedSlots() const
{
    std::uint32_t total = 0;
    for (const Guarantee &guarantee : guarantees) {
        total += guarantee.slots;
    }
    return total;
}

Errors Template::checkParameters(const Json &values) const
{
    Errors errors;
    if (!values.is_object()) {
        errors.push_back({"wrong-type", "must be an object", "parameters"});
        return errors;
    }
    for (const auto &[name, value] : values.items()) {
        const auto declared = parameters.find(name);
        if (declared == parameters.end()) {
            errors.push_back({"unknown-parameter", "is not declared by the template", "parameters." + name});
        } else if (!hasType(value, declared->second)) {
            const std::string type(PARAMETER_TYPE_NAMES[static_cast<std::size_t>(declared->second)]);
            errors.push_back({"wrong-type", "must be of type " + type, "parameters." + name});
        }
    }
    for (const auto &[name, type] : parameters) {
        if (!values.contains(name)) {
            errors.push_back({"missing", "is required by the template", "parameters." + name});
        }
    }
    return errors;
}

Result<FleetConfig> FleetConfig::fromJson(const Json &document)
{
    Errors errors;
    FleetConfig config;
    ObjectReader reader(document, "", errors);
    if (const Json *teams = reader.object("teams", Presence::Required)) {
        for (const auto &[name, value] : teams->items()) {
            checkName(name, "teams." + name, errors);
            config.m_teams[TeamName(name)] = readTeam(value, "teams." + name, errors);
        }
    }
    if (const Json *templates = reader.object("templates", Presence::Required)) {
        for (const auto &[name, value] : templates->items()) {
            const std::string path = "templates." + name;
            checkName(name, path, errors);
            const Template parsed = readTemplate(value, path, errors);
            if (!parsed.team.value().empty() && !config.m_teams.contains(parsed.team)) {
                errors.push_back({"unknown-team", "no such team: " + parsed.team.value(), path + ".team"});
            }
            config.m_templates[TemplateName(name)] = parsed;
        }
    }
    if (const Json *floors = reader.object("floors")) {
        readFloors(*floors, errors, config.m_floors);
    }
    reader.refuseUnknownKeys();
    if (!errors.empty()) {
        return errors;
    }
    return config;
}

const Team *FleetConfig::team(const TeamName &name) const
{
    const auto found = m_teams.find(name);
    return found == m_teams.end() ? nullptr : &found->second;
}

const Template *FleetConfig::templateNamed(const TemplateName &name) const
{
    const auto found = m_templates.find(name);
    return found == m_templates.end() ? nullptr : &found->second;
}

bool FleetConfig::acceptsToken(const Team &team, const std::string &token)
{
    if (team.tokenDigests.empty()) {
        return true;
    }
    const std::string digest = sha256Hex(token);
    bool accepted = false;
    for (const std::string &candidate : team.tokenDigests) {
        accepted |= equalInConstantTime(candidate, digest);
    }
    return accepted;
}

} // namespace Papaya
