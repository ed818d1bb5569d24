#include "process/minionpool.h"

#include "process/logging.h"

namespace Papaya
{

namespace
{

constexpr int MIN_SERVER_ERROR_STATUS = 500;

RunVerdict verdictOf(const RunResult &result)
{
    if (result.outcome == RunOutcome::Answered) {
        return result.status >= MIN_SERVER_ERROR_STATUS ? RunVerdict::Failure : RunVerdict::Success;
    }
    const bool lostConnection = result.failure == RunFailure::Timeout || result.failure == RunFailure::Closed;
    const bool neutral = result.failure == RunFailure::Busy || (result.reusedConnection && lostConnection);
    return neutral ? RunVerdict::Neutral : RunVerdict::Failure;
}

} // namespace

MinionPool::MinionPool(InstanceId self, std::unique_ptr<MinionPolicy> policy, std::uint64_t seed, Metrics &metrics)
    : m_self(std::move(self))
    , m_metrics(metrics)
    , m_set(std::move(policy), seed)
{
}

void MinionPool::update(const HostSnapshot &hosts)
{
    std::vector<MinionInfo> minions;
    std::vector<InstanceId> entries;
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    m_addresses.clear();
    for (const Host &host : hosts.hosts) {
        if (host.state != HostState::Live) {
            continue;
        }
        if (host.kind == HostKind::Minion) {
            minions.push_back({MinionId(host.id), host.slots, host.connections});
            m_addresses[MinionId(host.id)] = host.address;
        } else if (host.kind == HostKind::Entry) {
            entries.emplace_back(host.id);
        }
    }
    m_set.update(minions, entries, m_self);
    m_leaving.expire(now);
    for (const auto &[id, until] : m_leaving.active()) {
        m_set.markLeaving(id, until);
    }
}

void MinionPool::markLeaving(const MinionId &id, NoticeSource source)
{
    const std::lock_guard lock(m_mutex);
    if (m_leaving.add(id, source, Clock::now())) {
        logEvent(LogLevel::Info, "minion-leaving", {{"minion", id.value()}});
        m_set.markLeaving(id, m_leaving.active().at(id));
    }
}

std::set<MinionId> MinionPool::announcedLeaving() const
{
    const std::lock_guard lock(m_mutex);
    return m_leaving.minions();
}

std::optional<ChosenMinion> MinionPool::beginRun(const std::set<MinionId> &tried)
{
    const std::lock_guard lock(m_mutex);
    const auto id = m_set.beginRun(tried, Clock::now());
    if (!id) {
        return std::nullopt;
    }
    return ChosenMinion {*id, m_addresses.at(*id)};
}

void MinionPool::finishRun(const MinionId &id, const RunResult &result)
{
    if (result.leaving) {
        markLeaving(id, NoticeSource::Minion);
    }
    const std::lock_guard lock(m_mutex);
    if (m_set.endRun(id, verdictOf(result), result.slotsBusy, Clock::now())) {
        m_metrics.count(Counter::MinionsEjected);
        logEvent(LogLevel::Warning, "minion-ejected", {{"minion", id.value()}});
    }
}

std::uint32_t MinionPool::slots() const
{
    const std::lock_guard lock(m_mutex);
    return m_set.slots();
}

std::size_t MinionPool::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_set.size();
}

std::size_t MinionPool::ejected() const
{
    const std::lock_guard lock(m_mutex);
    return m_set.ejected(Clock::now());
}

} // namespace Papaya
