#include "steps/minionfleet.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::uint32_t MAX_MEMBERS_PER_MINION = 64;

} // namespace

bool matches(const MinionView &minion, const ServiceName &service, const StepSpec &step)
{
    return minion.service == service
           && (step.requiredLabel.empty()
               || std::find(minion.labels.begin(), minion.labels.end(), step.requiredLabel) != minion.labels.end());
}

bool isEligible(const MinionView &minion, const ServiceName &service, const StepSpec &step)
{
    return minion.usable && matches(minion, service, step);
}

std::uint32_t membersThatFit(Resources available, const Resources &need, std::uint32_t limit)
{
    const std::uint32_t maxMembers = limit == 0 ? MAX_MEMBERS_PER_MINION : std::min(limit, MAX_MEMBERS_PER_MINION);
    std::uint32_t members = 0;
    while (members < maxMembers && available.covers(need)) {
        available -= need;
        ++members;
    }
    return members;
}

const std::vector<std::size_t> &MinionGroup::on(std::size_t rack) const
{
    static const std::vector<std::size_t> NONE;
    if (rack == ANY_RACK) {
        return all;
    }
    const auto found = byRack.find(rack);
    return found == byRack.end() ? NONE : found->second;
}

void MinionGroup::add(std::size_t minion, std::size_t rack)
{
    all.push_back(minion);
    byRack[rack].push_back(minion);
}

MinionFleet::MinionFleet(std::vector<MinionView> &minions)
    : m_minions(minions)
{
    for (std::size_t m = 0; m < minions.size(); ++m) {
        m_rackNumbers.emplace(minions[m].rack, 0);
        m_indices.emplace(minions[m].id, m);
        if (minions[m].usable) {
            m_capacity += minions[m].capacity;
            m_free += minions[m].free;
        }
    }
    std::size_t number = 0;
    for (auto &[rack, ordinal] : m_rackNumbers) {
        ordinal = number++;
    }
    for (const MinionView &minion : minions) {
        m_racks.push_back(m_rackNumbers.at(minion.rack));
    }
}

const MinionGroup &MinionFleet::eligible(const ServiceName &service, const StepSpec &step, bool withLastResort)
{
    const auto [place, isNew] = m_groups.try_emplace(std::make_tuple(service, step.requiredLabel, withLastResort));
    if (isNew) {
        for (std::size_t m = 0; m < m_minions.size(); ++m) {
            const bool accepts = m_minions[m].usable || (withLastResort && m_minions[m].lastResort);
            if (accepts && matches(m_minions[m], service, step)) {
                place->second.add(m, m_racks[m]);
            }
        }
    }
    return place->second;
}

std::size_t MinionFleet::indexOf(const MinionId &id) const
{
    const auto found = m_indices.find(id);
    return found == m_indices.end() ? SIZE_MAX : found->second;
}

std::size_t MinionFleet::rackNumber(const RackName &rack) const
{
    const auto found = m_rackNumbers.find(rack);
    return found == m_rackNumbers.end() ? SIZE_MAX : found->second;
}

void MinionFleet::allocate(std::size_t minion, const Resources &need)
{
    m_minions[minion].free -= need;
    ++m_minions[minion].tasks;
    if (m_minions[minion].usable) {
        m_free -= need;
    }
}

bool MinionFleet::isLightlyLoaded() const
{
    return 2 * m_free.gpus >= m_capacity.gpus && 2 * m_free.memoryMb >= m_capacity.memoryMb
           && 2 * m_free.cores >= m_capacity.cores;
}

} // namespace Papaya
