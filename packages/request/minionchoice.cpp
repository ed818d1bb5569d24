#include "request/minionchoice.h"

#include "base/digest.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::uint32_t FAILURES_TO_EJECT = 3; // consecutive
constexpr Millis FIRST_EJECTION_TIME {1'000};
constexpr std::uint32_t MAX_EJECTION_DOUBLINGS = 5;
constexpr std::size_t MAX_EJECTED_PERCENT = 50;      // of the listed minions
constexpr Millis LOAD_REPORT_MAX_AGE {500};          // older load reports are ignored
constexpr std::size_t INSTANCES_PER_HOME_MINION = 2; // number of instances that prefer each minion

std::size_t lessLoadedOfTwo(const std::vector<MinionCandidate> &candidates, const std::vector<std::size_t> &pool,
                            RandomSource &random)
{
    std::uniform_int_distribution<std::size_t> pick(0, pool.size() - 1);
    const std::size_t first = pool[pick(random)];
    const std::size_t second = pool[pick(random)];
    const auto utilisation = [&](std::size_t index) {
        return static_cast<double>(candidates[index].load) / std::max(1U, candidates[index].slots);
    };
    return utilisation(second) < utilisation(first) ? second : first;
}

/** @return true if @p self prefers @p minion: it is among the instances with the highest rendezvous hashes for it. */
bool isHome(const MinionId &minion, const std::vector<InstanceId> &entries, const InstanceId &self)
{
    const std::uint64_t own = stableHash(self.value(), stableHash(minion.value()));
    std::size_t before = 0;
    for (const InstanceId &entry : entries) {
        before += stableHash(entry.value(), stableHash(minion.value())) > own ? 1U : 0U;
    }
    return before < INSTANCES_PER_HOME_MINION;
}

} // namespace

std::size_t RandomMinion::choose(const std::vector<MinionCandidate> &candidates, RandomSource &random)
{
    return std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
}

std::size_t RoundRobinMinion::choose(const std::vector<MinionCandidate> &candidates, RandomSource & /*random*/)
{
    return m_next++ % candidates.size();
}

std::size_t HomeMinion::choose(const std::vector<MinionCandidate> &candidates, RandomSource &random)
{
    std::vector<std::size_t> home;
    std::vector<std::size_t> withFreeSlot;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool hasFreeSlot = candidates[i].load < candidates[i].slots;
        all.push_back(i);
        if (hasFreeSlot) {
            withFreeSlot.push_back(i);
        }
        if (hasFreeSlot && candidates[i].home) {
            home.push_back(i);
        }
    }
    const auto &pool = !home.empty() ? home : (!withFreeSlot.empty() ? withFreeSlot : all);
    return lessLoadedOfTwo(candidates, pool, random);
}

MinionSet::MinionSet(std::unique_ptr<MinionPolicy> policy, std::uint64_t seed)
    : m_policy(std::move(policy))
    , m_random(seed)
{
}

void MinionSet::update(const std::vector<MinionInfo> &minions, const std::vector<InstanceId> &entries,
                       const InstanceId &self)
{
    std::unordered_map<MinionId, State> next;
    m_order.clear();
    for (const MinionInfo &info : minions) {
        const auto known = m_minions.find(info.id);
        State state = known == m_minions.end() ? State {} : known->second;
        state.info = info;
        state.home = isHome(info.id, entries, self);
        next.emplace(info.id, std::move(state));
        m_order.push_back(info.id);
    }
    m_minions = std::move(next);
    std::sort(m_order.begin(), m_order.end());
}

void MinionSet::markLeaving(const MinionId &id, TimePoint until)
{
    const auto found = m_minions.find(id);
    if (found != m_minions.end()) {
        found->second.leavingUntil = std::max(found->second.leavingUntil, until);
    }
}

bool MinionSet::usable(const State &state, TimePoint now) const
{
    return now >= state.leavingUntil && now >= state.ejectedUntil
           && state.inProgress < std::max(state.info.connections, 1U);
}

std::optional<MinionId> MinionSet::beginRun(const std::set<MinionId> &tried, TimePoint now)
{
    std::vector<MinionCandidate> candidates;
    candidates.reserve(m_order.size());
    for (const MinionId &id : m_order) {
        const State &state = m_minions.at(id);
        if (!usable(state, now) || tried.contains(id)) {
            continue;
        }
        const std::uint32_t otherRuns = now - state.loadReportedAt < LOAD_REPORT_MAX_AGE ? state.otherRuns : 0;
        candidates.push_back({id, state.info.slots, state.inProgress + otherRuns, state.home});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const MinionId chosen = candidates[m_policy->choose(candidates, m_random)].id;
    ++m_minions.at(chosen).inProgress;
    return chosen;
}

bool MinionSet::eject(State &state, TimePoint now)
{
    if ((ejected(now) + 1) * 100 > m_minions.size() * MAX_EJECTED_PERCENT) {
        return false;
    }
    const std::uint32_t doublings = std::min(state.consecutiveEjections, MAX_EJECTION_DOUBLINGS);
    state.ejectedUntil = now + FIRST_EJECTION_TIME * (1U << doublings);
    ++state.consecutiveEjections;
    // Once the minion is back, a single failure ejects it again.
    state.consecutiveFailures = FAILURES_TO_EJECT - 1;
    return true;
}

bool MinionSet::endRun(const MinionId &id, RunVerdict verdict, std::optional<std::uint32_t> slotsBusy, TimePoint now)
{
    const auto found = m_minions.find(id);
    if (found == m_minions.end()) {
        return false;
    }
    State &state = found->second;
    state.inProgress -= state.inProgress > 0 ? 1U : 0U;
    if (slotsBusy) {
        state.otherRuns = *slotsBusy > state.inProgress ? *slotsBusy - state.inProgress : 0;
        state.loadReportedAt = now;
    }
    if (verdict == RunVerdict::Success) {
        state.consecutiveFailures = 0;
        state.consecutiveEjections = 0;
    } else if (verdict == RunVerdict::Failure && ++state.consecutiveFailures >= FAILURES_TO_EJECT
               && now >= state.ejectedUntil) {
        return eject(state, now);
    }
    return false;
}

std::uint32_t MinionSet::slots() const
{
    std::uint32_t total = 0;
    for (const auto &[id, state] : m_minions) {
        total += state.info.slots;
    }
    return total;
}

std::size_t MinionSet::ejected(TimePoint now) const
{
    const auto isEjected = [now](const auto &entry) { return now < entry.second.ejectedUntil; };
    return static_cast<std::size_t>(std::count_if(m_minions.begin(), m_minions.end(), isEjected));
}

} // namespace Papaya
