#include "process/gossip.h"

#include "base/codec.h"
#include "base/objectreader.h"

namespace Papaya
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t MAX_COUNT = 10'000'000;
constexpr std::size_t MAX_TEAMS = 1'000; // deployments have up to 24
constexpr std::size_t MAX_LEAVING = 1'000;

std::uint64_t readNumber(ObjectReader &reader, const char *key)
{
    return static_cast<std::uint64_t>(reader.integer(key, 0, INT64_MAX, Presence::Required).value_or(0));
}

} // namespace

Result<Gossip> Gossip::fromBytes(std::string_view bytes)
{
    const auto document = parseCbor(bytes, MAX_CLIENT_VALUES);
    if (!document) {
        return document.errors();
    }
    Errors errors;
    ObjectReader reader(*document, "", errors);
    Gossip gossip;
    gossip.instance = InstanceId(reader.text("id", Presence::Required).value_or(""));
    gossip.incarnation = Incarnation(readNumber(reader, "n"));
    gossip.config = ConfigVersion(readNumber(reader, "c"));
    gossip.plannerEpoch = Epoch(readNumber(reader, "e"));
    gossip.ready = reader.boolean("r", Presence::Required).value_or(false);
    gossip.slotsUsed = static_cast<std::uint32_t>(reader.integer("s", 0, MAX_COUNT, Presence::Required).value_or(0));
    if (const Json *demand = reader.object("d", Presence::Required)) {
        if (demand->size() > MAX_TEAMS) {
            return Error {"out-of-range", "must have at most 1000 teams", "d"};
        }
        ObjectReader teams(*demand, "d", errors);
        for (const auto &[team, count] : demand->items()) {
            const auto number = teams.integer(team.c_str(), 0, MAX_COUNT);
            gossip.demand[TeamName(team)] = static_cast<std::uint32_t>(number.value_or(0));
        }
    }
    const Json *leaving = reader.array("l", Presence::Required);
    for (std::size_t i = 0; leaving != nullptr && i < std::min(leaving->size(), MAX_LEAVING); ++i) {
        if ((*leaving)[i].is_string()) {
            gossip.leaving.insert(MinionId((*leaving)[i].get<std::string>()));
        } else {
            reader.report("wrong-type", "must be an array of strings", "l");
        }
    }
    if (!errors.empty()) {
        return errors;
    }
    return gossip;
}

std::string Gossip::toBytes() const
{
    Json teams = Json::object();
    for (const auto &[team, count] : demand) {
        teams[team.value()] = count;
    }
    Json minions = Json::array();
    for (const MinionId &minion : leaving) {
        minions.push_back(minion.value());
    }
    return toCbor({{"id", instance.value()},
                   {"n", incarnation.value()},
                   {"c", config.value()},
                   {"e", plannerEpoch.value()},
                   {"r", ready},
                   {"s", slotsUsed},
                   {"d", std::move(teams)},
                   {"l", std::move(minions)}});
}

} // namespace Papaya
