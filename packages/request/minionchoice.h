#pragma once

#include "base/strong.h"
#include "base/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// Chooses the minion for a run, and ejects minions that fail what others pass. Reads no clock and does no I/O.

namespace Papaya
{

/** Source of randomness of decision code; seeded by whoever owns it. */
using RandomSource = std::mt19937_64;

/** A minion as the choice sees it. */
struct MinionCandidate {
    MinionId id;
    std::uint32_t slots = 0;
    std::uint32_t load = 0; ///< own runs in progress, and what others had there at its last report
    bool home = false;      ///< this instance is among its preferred senders
};

/** How a minion is chosen among those that may be used. */
class MinionPolicy
{
public:
    virtual ~MinionPolicy() = default;
    /** @return an index into @p candidates, which is not empty. */
    virtual std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) = 0;
};

/** Uniformly random; a baseline. */
class RandomMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;
};

/** One after the other; a baseline. */
class RoundRobinMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;

private:
    std::size_t m_next = 0;
};

/** The less loaded of two home minions; the less loaded of two others once the home minions are full. */
class HomeMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;
};

/** A minion of the host list. */
struct MinionInfo {
    MinionId id;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/** How a run went, for ejection. */
enum class RunVerdict { Good, Bad, Neutral };

/** The minions that are listed, with their loads and standings. */
class MinionSet
{
public:
    MinionSet(std::unique_ptr<MinionPolicy> policy, std::uint64_t seed);

    /**
     * Takes the list of live minions and entry hosts.
     * @param self this instance, which is one of @p entries
     */
    void update(const std::vector<MinionInfo> &minions, const std::vector<InstanceId> &entries, const InstanceId &self);

    /** Keeps new work from @p id until @p until, or until the host list drops it. */
    void markLeaving(const MinionId &id, TimePoint until);

    /**
     * Chooses a minion and counts a run on it.
     * @param tried minions that this request has been sent to
     */
    std::optional<MinionId> begin(const std::set<MinionId> &tried, TimePoint now);

    /**
     * Counts the end of a run.
     * @param slotsBusy slots in use on the minion, if it said so
     * @return true if this ejected the minion
     */
    bool end(const MinionId &id, RunVerdict verdict, std::optional<std::uint32_t> slotsBusy, TimePoint now);

    /** @return slots of the minions that may be used. */
    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] std::size_t size() const
    {
        return m_minions.size();
    }
    [[nodiscard]] std::size_t ejected(TimePoint now) const;

private:
    struct State {
        MinionInfo info;
        bool home = false;
        std::uint32_t inProgress = 0;
        std::uint32_t others = 0;
        TimePoint reportedAt;
        std::uint32_t failuresInARow = 0;
        std::uint32_t ejections = 0; ///< in a row; lengthens the next
        TimePoint ejectedUntil;
        TimePoint leavingUntil;
    };

    [[nodiscard]] bool usable(const State &state, TimePoint now) const;
    bool eject(State &state, TimePoint now);

    std::unique_ptr<MinionPolicy> m_policy;
    RandomSource m_random;
    std::unordered_map<MinionId, State> m_minions;
    std::vector<MinionId> m_order; ///< stable order for policies and tests
};

} // namespace Papaya
