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

// Chooses the minion for each run, and ejects minions after consecutive failures. Reads no clock and does no I/O; the
// caller passes the current time.

namespace Papaya
{

/** Random number generator of decision code; its owner sets the seed, so that decisions can be reproduced. */
using RandomSource = std::mt19937_64;

/** A minion that may be chosen, with its load. */
struct MinionCandidate {
    MinionId id;
    std::uint32_t slots = 0;
    std::uint32_t load = 0; ///< own runs in progress, plus those of other instances if a recent load report states them
    bool home = false;      ///< this instance is among those that prefer the minion
};

/** Interface of the rules by which a minion is chosen. */
class MinionPolicy
{
public:
    virtual ~MinionPolicy() = default;
    /**
     * Chooses a minion.
     * @param candidates minions that may be used; must not be empty
     * @return an index into @p candidates
     */
    virtual std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) = 0;
};

/** Chooses uniformly at random; a baseline for comparisons. */
class RandomMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;
};

/** Chooses one minion after the other; a baseline for comparisons. */
class RoundRobinMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;

private:
    std::size_t m_next = 0;
};

/**
 * Chooses the less loaded of two random minions: of the home minions with a free slot if there are any, else of all
 * minions with a free slot, else of all candidates. Each minion is home to a few instances only.
 */
class HomeMinion : public MinionPolicy
{
public:
    std::size_t choose(const std::vector<MinionCandidate> &candidates, RandomSource &random) override;
};

/** A live minion of the host list. */
struct MinionInfo {
    MinionId id;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0; ///< largest number of runs in progress from this instance; 0 counts as 1
};

/** How a run counts towards ejection of its minion; Neutral counts neither way. */
enum class RunVerdict { Success, Failure, Neutral };

/** The minions of the host list, with their load and ejection state. */
class MinionSet
{
public:
    MinionSet(std::unique_ptr<MinionPolicy> policy, std::uint64_t seed);

    /**
     * Replaces the lists of live minions and entry hosts. Minions that stay on the list keep their state.
     * @param self this instance, which is one of @p entries
     */
    void update(const std::vector<MinionInfo> &minions, const std::vector<InstanceId> &entries, const InstanceId &self);

    /** Sends no new runs to minion @p id before @p until. Has no further effect once the host list drops the minion. */
    void markLeaving(const MinionId &id, TimePoint until);

    /**
     * Chooses a minion and counts a run in progress on it.
     * @param tried minions that this request has already been sent to
     * @return the minion, or nothing if no other minion may be used
     */
    std::optional<MinionId> beginRun(const std::set<MinionId> &tried, TimePoint now);

    /**
     * Counts the end of a run.
     * @param slotsBusy slots in use on the minion, if it reported them
     * @return true if this run caused the ejection of the minion
     */
    bool endRun(const MinionId &id, RunVerdict verdict, std::optional<std::uint32_t> slotsBusy, TimePoint now);

    /** @return slots of all listed minions, including those that are ejected or leaving. */
    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] std::size_t size() const
    {
        return m_minions.size();
    }
    /** @return the number of minions that are ejected at @p now. */
    [[nodiscard]] std::size_t ejected(TimePoint now) const;

private:
    struct State {
        MinionInfo info;
        bool home = false;
        std::uint32_t inProgress = 0;
        std::uint32_t otherRuns = 0; ///< runs of other instances at the last load report
        TimePoint loadReportedAt;    ///< when the minion last reported its load
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t consecutiveEjections = 0; ///< each doubles the time of the next
        TimePoint ejectedUntil;
        TimePoint leavingUntil;
    };

    [[nodiscard]] bool usable(const State &state, TimePoint now) const;
    bool eject(State &state, TimePoint now);

    std::unique_ptr<MinionPolicy> m_policy;
    RandomSource m_random;
    std::unordered_map<MinionId, State> m_minions;
    std::vector<MinionId> m_order; ///< sorted, so that choices do not depend on the order of a hash table
};

} // namespace Papaya
