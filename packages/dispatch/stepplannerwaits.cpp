#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <algorithm>

// Reports on jobs that stand still: why the first unit that could run does not, and on what the planner's view rests.

namespace Papaya
{

namespace
{

constexpr std::int64_t START_TIME_MS = 1'000; // from the placement of a unit; most run much sooner
constexpr std::int64_t EXPLAIN_INTERVAL_MS = 500;
constexpr std::size_t MAX_EXPLAINED = 16;              // at a time
constexpr std::int64_t WAIT_LINES_INTERVAL_MS = 1'000; // in which at most as many lines are logged:
constexpr std::size_t MAX_WAIT_LINES = 8;
constexpr std::size_t MAX_CAPACITY_WAIT_LINES = 4; // on an overloaded fleet, most waits are for capacity
constexpr std::string_view PLACED = "placed";

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Ordered:
        return "ordered";
    case MemberState::Running:
        return "running";
    case MemberState::Ended:
        break;
    }
    return "ended";
}

} // namespace

std::map<UnitKey, RunPhase> StepPlanner::runPhases(std::int64_t nowMs) const
{
    std::map<UnitKey, RunPhase> phases;
    for (const auto &[unit, assignment] : m_assignments) {
        const bool runs =
            std::any_of(assignment->members.begin(), assignment->members.end(), [this](const Member &member) {
                if (member.state != MemberState::Running) {
                    return false;
                }
                const MinionLink &link = m_links.at(member.minion);
                return link.fenceRaised && link.pollFailures == 0;
            });
        const bool starts = assignment->decidedMs > 0 && nowMs - assignment->decidedMs < START_TIME_MS;
        if (runs || starts) {
            phases.emplace_hint(phases.end(), unit, runs ? RunPhase::Running : RunPhase::Starting);
        }
    }
    return phases;
}

std::string StepPlanner::explainPlaced(const UnitKey &unit, std::int64_t nowMs) const
{
    const auto found = m_assignments.find(unit);
    if (found == m_assignments.end()) {
        return "no run is known";
    }
    const Assignment &assignment = *found->second;
    const auto member = std::find_if(assignment.members.begin(), assignment.members.end(),
                                     [](const Member &item) { return item.state != MemberState::Ended; });
    if (member == assignment.members.end()) {
        return "all members have ended";
    }
    const MinionLink &link = m_links.at(member->minion);
    const std::int64_t leaseMs =
        std::max({std::int64_t(0), member->unverifiedUntilMs - nowMs,
                  link.clock.known() ? link.clock.remainingMs(nowMs) : link.priorLeaseUntilMs - nowMs});
    const std::string_view obstacle = obstacleOn(link, nowMs);
    return "run " + std::to_string(assignment.run) + " on " + member->minion.value() + " is "
           + std::string(toString(member->state))
           + (member->state == MemberState::Ordered && !member->sent ? ", not sent" : "")
           + (assignment.stopping ? ", stopping" : "") + (assignment.decidedMs == 0 ? ", adopted" : "") + "; minion is "
           + std::string(obstacle.empty() ? "usable" : obstacle) + ", " + std::to_string(link.pollFailures)
           + " failed polls; its lease may last for " + std::to_string(leaseMs) + " ms";
}

void StepPlanner::noteWaits(std::int64_t nowMs)
{
    if (!m_leading || m_context.config() == nullptr) {
        return;
    }
    m_idleJobs.update(m_context.jobTable, runPhases(nowMs), {m_context.wallNow(), nowMs});
    if (nowMs - m_lastExplainedMs < EXPLAIN_INTERVAL_MS) {
        return;
    }
    m_lastExplainedMs = nowMs;
    const std::vector<IdleWork> due = m_idleJobs.takeDue(nowMs, MAX_EXPLAINED);
    if (!due.empty()) {
        std::vector<MinionId> ids;
        const PlanInput input = planInput(ids);
        const WaitExplainer explainer(input);
        std::vector<std::pair<const IdleWork *, WaitExplanation>> explained;
        for (const IdleWork &work : due) {
            const bool placed = work.placed && m_assignments.contains(work.unit);
            WaitExplanation why = explainer.explain(work.unit);
            if (placed) {
                why.detail = explainPlaced(work.unit, nowMs);
            }
            m_idleJobs.explained(work, placed ? PLACED : Papaya::toString(why.reason));
            explained.emplace_back(&work, std::move(why));
        }
        std::stable_partition(explained.begin(), explained.end(),
                              [](const auto &item) { return item.second.reason != WaitReason::NoCapacity; });
        for (const auto &[work, why] : explained) {
            logWait(*work, why, nowMs);
        }
    }
    m_context.metrics.setWaiting(m_idleJobs.reasons(nowMs));
}

void StepPlanner::logWait(const IdleWork &work, const WaitExplanation &why, std::int64_t nowMs)
{
    if (nowMs - m_waitLinesFromMs >= WAIT_LINES_INTERVAL_MS) {
        m_waitLinesFromMs = nowMs;
        m_waitLines = m_capacityWaitLines = 0;
    }
    const bool forCapacity = why.reason == WaitReason::NoCapacity;
    if (m_waitLines >= MAX_WAIT_LINES || (forCapacity && m_capacityWaitLines >= MAX_CAPACITY_WAIT_LINES)) {
        ++m_waitsUnlogged;
        return;
    }
    ++m_waitLines;
    m_capacityWaitLines += forCapacity ? 1 : 0;
    const Freshness freshness = m_context.freshness();
    logEvent(LogLevel::Info, "job-waits",
             {{"job", work.unit.job.value()},
              {"unit", work.unit.toString()},
              {"waited_ms", nowMs - work.sinceMs},
              {"reason", work.placed ? PLACED : Papaya::toString(why.reason)},
              {"detail", why.detail},
              {"minions_age_ms", nowMs - freshness.minionsAsOfMs},
              {"journal_age_ms", nowMs - freshness.journalAsOfMs},
              {"pass_age_ms", nowMs - m_lastPassMs},
              {"queued_starts", std::uint64_t(m_startQueue.size())},
              {"unlogged", m_waitsUnlogged}});
    m_waitsUnlogged = 0;
}

} // namespace Papaya
