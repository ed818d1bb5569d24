#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// The minions of one scheduling pass, indexed so that a pass over a large fleet touches only what a step may use. Pure.

namespace Papaya
{

/** A minion as the planner sees it. */
struct MinionView {
    MinionId id;
    ServiceName service;
    RackName rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources free;            ///< what nothing runs in; may be negative after a change of capacity
    Resources releasing;       ///< what is being stopped and will be free
    bool usable = true;        ///< takes new work
    std::uint32_t penalty = 0; ///< a minion with a higher one is taken only after all others
};

/** @return true if @p minion is usable, runs tasks of @p service and has the label that @p step asks for. */
bool isEligible(const MinionView &minion, const ServiceName &service, const StepSpec &step);

/** @return how many tasks of @p need fit into @p room; at most @p limit, if that is not 0. */
std::uint32_t membersThatFit(Resources room, const Resources &need, std::uint32_t limit);

/** Minions that a step may use, by index, all and by rack; racks are numbered in the order of their names. */
struct MinionGroup {
    static constexpr std::size_t ANY_RACK = SIZE_MAX;

    std::vector<std::size_t> all;
    std::map<std::size_t, std::vector<std::size_t>> byRack;

    /** @return the minions on @p rack, or all; empty if there are none. */
    [[nodiscard]] const std::vector<std::size_t> &on(std::size_t rack) const;
    void add(std::size_t minion, std::size_t rack);
};

/** All minions of a pass. */
class MinionFleet
{
public:
    explicit MinionFleet(std::vector<MinionView> &minions);

    /** @return the minions that suit @p step of @p service; stays valid and the same for the pass. */
    const MinionGroup &eligible(const ServiceName &service, const StepSpec &step);
    /** @return the index of minion @p id, or SIZE_MAX. */
    [[nodiscard]] std::size_t indexOf(const MinionId &id) const;
    [[nodiscard]] std::size_t rackOf(std::size_t minion) const
    {
        return m_racks[minion];
    }
    /** @return the number of @p rack, or SIZE_MAX. */
    [[nodiscard]] std::size_t rackNumber(const RackName &rack) const;
    /** Takes @p need out of what is free on @p minion. */
    void allocate(std::size_t minion, const Resources &need);
    /** @return true if at most half of the usable minions' GPUs, memory and cores are taken. */
    [[nodiscard]] bool isLightlyLoaded() const;

    [[nodiscard]] const MinionView &operator[](std::size_t minion) const
    {
        return m_minions[minion];
    }
    /** Counts @p amount on @p minion as being stopped. */
    void addReleasing(std::size_t minion, const Resources &amount)
    {
        m_minions[minion].releasing += amount;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_minions.size();
    }

private:
    std::vector<MinionView> &m_minions;
    std::map<RackName, std::size_t> m_rackNumbers;
    std::vector<std::size_t> m_racks; ///< of each minion
    std::map<MinionId, std::size_t> m_indices;
    std::map<std::pair<ServiceName, std::string>, MinionGroup> m_groups; ///< by service and label
    Resources m_capacity;                                                ///< of the usable minions
    Resources m_free;
};

} // namespace Papaya
