#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

// The minions of one scheduling pass, indexed by service, label and rack, so that placing a step on a large fleet
// visits only the minions that it may use.

namespace Papaya
{

/** MinionView::obstacle of a minion that gets no work for a while because runs on it have failed or got stuck. */
constexpr std::string_view ON_PROBATION = "probation";
/** MinionView::obstacle of a minion that takes no new work before its upkeep. */
constexpr std::string_view RESERVED_FOR_UPKEEP = "upkeep";
/** MinionView::obstacle of a minion whose failure domain is evacuated. */
constexpr std::string_view EVACUATED = "evacuated";

/** Snapshot of a minion for one pass. */
struct MinionView {
    MinionId id;
    ServiceName service;
    RackName rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources free;            ///< unallocated; may be negative after a change of capacity
    Resources releasing;       ///< allocated to units that are being stopped
    bool usable = true;        ///< accepts new work
    std::string_view obstacle; ///< why it is not usable, if so
    bool lastResort = false;   ///< accepts new work that has waited too long for a usable minion, though not usable
    bool cold = false;         ///< runs slower for a while after it has started
    int slowness = 0;          ///< learned level, see MinionSpeeds::level(); 0 if average or unknown
    std::uint32_t penalty = 0; ///< minions with a lower penalty are preferred
    std::uint32_t tasks = 0;   ///< allocated to it
};

/** @return true if @p minion belongs to @p service and has the label that @p step requires, usable or not. */
bool matches(const MinionView &minion, const ServiceName &service, const StepSpec &step);

/** @return true if @p minion is usable, belongs to @p service and has the label that @p step requires. */
bool isEligible(const MinionView &minion, const ServiceName &service, const StepSpec &step);

/**
 * @param limit most tasks to count; 0 or more than 64 is taken as 64
 * @return how many tasks of @p need fit into @p available
 */
std::uint32_t membersThatFit(Resources available, const Resources &need, std::uint32_t limit);

/** Minions that a step may use, as indices into the fleet. Racks are numbered in the order of their names. */
struct MinionGroup {
    static constexpr std::size_t ANY_RACK = SIZE_MAX;

    std::vector<std::size_t> all;
    std::map<std::size_t, std::vector<std::size_t>> byRack;

    /** @return the minions on @p rack, or all minions for ANY_RACK. */
    [[nodiscard]] const std::vector<std::size_t> &on(std::size_t rack) const;
    void add(std::size_t minion, std::size_t rack);
};

/** All minions of a pass. */
class MinionFleet
{
public:
    explicit MinionFleet(std::vector<MinionView> &minions);

    /**
     * @param withLastResort true to include minions that are not usable, but accept work as a last resort
     * @return the minions eligible for @p step of @p service; the reference stays valid for the pass
     */
    const MinionGroup &eligible(const ServiceName &service, const StepSpec &step, bool withLastResort = false);
    /** @return the index of minion @p id, or SIZE_MAX if it is not in the fleet. */
    [[nodiscard]] std::size_t indexOf(const MinionId &id) const;
    [[nodiscard]] std::size_t rackOf(std::size_t minion) const
    {
        return m_racks[minion];
    }
    /** @return the number of @p rack, or SIZE_MAX if it has no minion. */
    [[nodiscard]] std::size_t rackNumber(const RackName &rack) const;
    /** Subtracts @p need from the free resources of @p minion. */
    void allocate(std::size_t minion, const Resources &need);
    /** @return true if at most half of the usable minions' GPUs, memory and cores are allocated. */
    [[nodiscard]] bool isLightlyLoaded() const;

    /** @return the capacity of all usable minions. */
    [[nodiscard]] const Resources &capacity() const
    {
        return m_capacity;
    }
    /** @return the free resources of all usable minions. */
    [[nodiscard]] const Resources &free() const
    {
        return m_free;
    }
    [[nodiscard]] const MinionView &operator[](std::size_t minion) const
    {
        return m_minions[minion];
    }
    /** Adds @p amount to what @p minion is releasing. */
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
    std::vector<std::size_t> m_racks; ///< rack number of each minion
    std::map<MinionId, std::size_t> m_indices;
    /** By service, required label and whether minions of last resort are included. */
    std::map<std::tuple<ServiceName, std::string, bool>, MinionGroup> m_groups;
    Resources m_capacity; ///< of the usable minions
    Resources m_free;
};

} // namespace Papaya
