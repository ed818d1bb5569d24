#pragma once

#include "connection/hostlist.h"
#include "connection/minionclient.h"
#include "process/leavingnotices.h"
#include "process/metrics.h"
#include "request/minionchoice.h"

#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

// The minions as this instance sees them: the host list, leaving notices, and the results of its own runs.

namespace Papaya
{

/** A minion chosen for one run. */
struct ChosenMinion {
    MinionId id;
    Endpoint address;
};

/** Chooses minions for runs and keeps their loads and failures. Thread-safe. */
class MinionPool
{
public:
    /** @param seed of the random choice among minions */
    MinionPool(InstanceId self, std::unique_ptr<MinionPolicy> policy, std::uint64_t seed, Metrics &metrics);

    /** Applies the host list; must be called at intervals even without a change, so that leaving notices expire. */
    void update(const HostSnapshot &hosts);

    /** Sends no new runs to a minion that has announced that it is leaving, for as long as the notice counts. */
    void markLeaving(const MinionId &id, NoticeSource source);

    /** @return minions that announced that they are leaving, for peers, since the host list lags behind. */
    [[nodiscard]] std::set<MinionId> announcedLeaving() const;

    /**
     * Chooses a minion and counts a run on it; finishRun() must follow.
     * @param tried minions that the request has been sent to before
     */
    std::optional<ChosenMinion> beginRun(const std::set<MinionId> &tried);

    /** Counts the end of a run, which may eject the minion. */
    void finishRun(const MinionId &id, const RunResult &result);

    /** @return slots of all minions that the host list has as live, ejected ones included. */
    [[nodiscard]] std::uint32_t slots() const;
    /** @return minions that the host list has as live. */
    [[nodiscard]] std::size_t size() const;
    /** @return minions that are ejected at the moment. */
    [[nodiscard]] std::size_t ejected() const;

private:
    const InstanceId m_self;
    Metrics &m_metrics;
    mutable std::mutex m_mutex;
    MinionSet m_set;
    std::unordered_map<MinionId, Endpoint> m_addresses;
    LeavingNotices m_leaving;
};

} // namespace Papaya
