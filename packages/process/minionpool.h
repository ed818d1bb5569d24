#pragma once

#include "connection/hostlist.h"
#include "connection/minionclient.h"
#include "process/metrics.h"
#include "request/minionchoice.h"

#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

// The minions as this instance sees them, shared by all requests.

namespace Papaya
{

/** A minion chosen for one run. */
struct ChosenMinion {
    MinionId id;
    Endpoint address;
};

/** Choice of minions and bookkeeping of runs. */
class MinionPool
{
public:
    MinionPool(InstanceId self, std::unique_ptr<MinionPolicy> policy, std::uint64_t seed, Metrics &metrics);

    /** Takes a new host list. */
    void update(const HostSnapshot &hosts);

    /** Keeps new work from a minion that is leaving. */
    void markLeaving(const MinionId &id);

    /** @return leaving minions that were not heard of from the host list, for peers. */
    [[nodiscard]] std::set<MinionId> announcedLeaving() const;

    /** Chooses a minion; finish() must follow. */
    std::optional<ChosenMinion> beginRun(const std::set<MinionId> &tried);

    /** Counts the end of a run. */
    void finishRun(const MinionId &id, const RunResult &result);

    /** @return slots of all live minions. */
    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t ejected() const;

private:
    const InstanceId m_self;
    Metrics &m_metrics;
    mutable std::mutex m_mutex;
    MinionSet m_set;
    std::unordered_map<MinionId, Endpoint> m_addresses;
    std::unordered_map<MinionId, TimePoint> m_leaving; ///< until when their own word holds
};

} // namespace Papaya
