#include "steps/reclaim.h"

#include "steps/preemption.h"
#include "steps/upkeep.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::int64_t GUARANTEED_START_MS = 2'700; // from acceptance to the start of all tasks; 3.4 s on later sites
constexpr std::int64_t START_MARGIN_MS = 700;       // a report of the end, a pass, the journal and the start order

std::int64_t gpusOf(const ActiveUnit &unit)
{
    return unit.need.gpus * static_cast<std::int64_t>(unit.minions.size());
}

} // namespace

ReclaimLedger::ReclaimLedger(std::map<StepKey, DisruptionBudget> budgets, std::map<TeamName, std::int64_t> borrowedGpus)
    : m_budgets(std::move(budgets))
    , m_borrowedGpus(std::move(borrowedGpus))
{
}

bool ReclaimLedger::mayStop(const ActiveUnit &victim, const TeamName &beneficiary) const
{
    if (victim.team == beneficiary && victim.priority == 0) {
        return false;
    }
    if (victim.priority == 0) { // only urgent work is covered by a guarantee
        const auto borrowed = m_borrowedGpus.find(victim.team);
        if (borrowed == m_borrowedGpus.end() || borrowed->second <= 0) {
            return false;
        }
    }
    const auto budget = m_budgets.find(victim.key.stepKey());
    return budget == m_budgets.end()
           || !exceedsBudget(budget->second.maxUnavailable, budget->second.unavailable, victim.availableTasks);
}

void ReclaimLedger::count(const ActiveUnit &victim, bool stopped)
{
    if (const auto borrowed = m_borrowedGpus.find(victim.team);
        victim.priority == 0 && borrowed != m_borrowedGpus.end()) {
        borrowed->second += stopped ? -gpusOf(victim) : gpusOf(victim);
    }
    if (const auto budget = m_budgets.find(victim.key.stepKey()); budget != m_budgets.end()) {
        std::uint32_t &unavailable = budget->second.unavailable;
        unavailable = stopped ? unavailable + victim.availableTasks : unavailable - victim.availableTasks;
    }
}

void ReclaimLedger::stop(const ActiveUnit &victim)
{
    count(victim, true);
}

void ReclaimLedger::spare(const ActiveUnit &victim)
{
    count(victim, false);
}

std::int64_t remainingMs(const NearlyDone &run)
{
    const std::int64_t left = 100 - std::clamp<std::int64_t>(run.percent, 1, 100);
    return std::max(run.elapsedMs * left / (100 - left), run.expectedMs * left / 100);
}

std::int64_t longestAwaitedMs(std::int64_t waitedMs, std::int64_t stopMs)
{
    return std::max(stopMs, GUARANTEED_START_MS - START_MARGIN_MS - waitedMs);
}

} // namespace Papaya
