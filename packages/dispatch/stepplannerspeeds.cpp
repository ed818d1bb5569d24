#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"
#include "speeds/stragglers.h"

#include <algorithm>

// What the planner does about uneven minions: observes runs and carries out the moves of stragglers.

namespace Papaya
{

namespace
{

constexpr std::int64_t REFRESH_INTERVAL_MS = 500; // about a report interval

/** @return true if a run of @p step shows how fast its minion is. */
bool tellsSpeed(const StepSpec &step)
{
    return !step.longRunning && !step.fills;
}

} // namespace

bool StepPlanner::runsAtFullSpeed(const Assignment &assignment) const
{
    const RackName &firstRack = m_links.at(assignment.members.front().minion).entry.rack;
    return std::all_of(assignment.members.begin(), assignment.members.end(), [&](const Member &member) {
        const auto link = m_links.find(member.minion);
        if (link == m_links.end()) {
            return true; // the member has ended long ago
        }
        const RackName &rack = link->second.entry.rack;
        const StepSpec &step = assignment.step;
        return (step.dataRack.value().empty() || rack == step.dataRack) && (!step.sameRack || rack == firstRack);
    });
}

void StepPlanner::observeSpeed(const Assignment &assignment, const Member &member, std::int64_t percent,
                               std::int64_t minionMs)
{
    if (m_context.speedUse == SpeedUse::None || !member.beganMs || assignment.stopping || !tellsSpeed(assignment.step)
        || !runsAtFullSpeed(assignment)) {
        return;
    }
    const QueueName &queue = m_context.jobTable.find(assignment.unit.job)->job.queue;
    const std::int64_t expectedMs = m_context.times.expectedMs(queue, assignment.step.estimate.count());
    m_speeds.observe({member.minion, assignment.unit.stepKey(), queue, assignment.step.gang, percent,
                      minionMs - *member.beganMs, expectedMs},
                     bootMillis());
}

void StepPlanner::refreshSpeeds(std::int64_t nowMs)
{
    if (m_context.speedUse == SpeedUse::None || nowMs - m_lastSpeedsMs < REFRESH_INTERVAL_MS) {
        return;
    }
    m_lastSpeedsMs = nowMs;
    m_speeds.refresh(nowMs);
    if (m_context.speedUse == SpeedUse::PlacementAndMoves && m_speeds.verySlow() > 0) {
        rerunStragglers(nowMs);
    }
}

std::vector<SlowUnit> StepPlanner::runsOnSlowMinions(std::int64_t nowMs) const
{
    std::vector<SlowUnit> units;
    for (const auto &[unit, assignment] : m_assignments) {
        if (assignment->stopping || assignment->outcome || !tellsSpeed(assignment->step) || !assignment->allStarted()) {
            continue;
        }
        SlowUnit slow;
        slow.unit = unit;
        bool known = true;
        bool onSlow = false;
        for (const Member &member : assignment->members) {
            if (member.state != MemberState::Running) {
                continue;
            }
            const MinionLink &link = m_links.at(member.minion);
            known = known && member.beganMs && member.lastReportMs && link.clock.known() && link.pollFailures == 0;
            onSlow = onSlow || m_speeds.level(member.minion) >= MinionSpeeds::VERY_SLOW;
            if (known) {
                slow.members.push_back({member.minion, member.percent, *member.lastReportMs - *member.beganMs,
                                        link.clock.at(nowMs) - *member.lastReportMs});
            }
        }
        if (known && onSlow) {
            const QueueName &queue = m_context.jobTable.find(unit.job)->job.queue;
            const auto moves = m_moves.find(unit);
            slow.expectedMs =
                m_speeds.typicalMs(queue, m_context.times.expectedMs(queue, assignment->step.estimate.count()));
            slow.moves = moves == m_moves.end() ? 0 : moves->second;
            units.push_back(std::move(slow));
        }
    }
    std::stable_sort(units.begin(), units.end(), [this](const SlowUnit &a, const SlowUnit &b) {
        return m_assignments.at(a.unit)->priority < m_assignments.at(b.unit)->priority;
    });
    return units;
}

void StepPlanner::rerunStragglers(std::int64_t nowMs)
{
    // Units whose stop lasts will take room that is still free, so that the next ones are chosen after them.
    std::erase_if(m_rerunning, [this](const UnitKey &unit) {
        const UnitStatus *status = m_context.jobTable.find(unit);
        const auto placed = m_assignments.find(unit);
        const bool stops = placed != m_assignments.end() && placed->second->stopping;
        return status == nullptr || (!stops && status->state != UnitState::Waiting);
    });
    if (!m_rerunning.empty() || !mayRenew() || !viewIsCurrent(Millis(0)) || m_context.config() == nullptr) {
        return;
    }
    const std::vector<SlowUnit> units = runsOnSlowMinions(nowMs);
    if (units.empty()) {
        return;
    }
    std::vector<MinionId> ids;
    for (const Rerun &move : unitsToRerun(planInput(ids), units, m_speeds)) {
        const SlowMember &slowest = move.slowest;
        logEvent(LogLevel::Info, "run-moved",
                 {{"unit", move.unit.toString()},
                  {"minion", slowest.minion.value()},
                  {"percent", slowest.percent},
                  {"elapsed_ms", slowest.elapsedMs},
                  {"report_age_ms", slowest.ageMs},
                  {"slowness", std::int64_t(m_speeds.level(slowest.minion))},
                  {"slowness_age_ms", nowMs - m_speeds.observedMs(slowest.minion)},
                  {"remaining_ms", move.remainingMs},
                  {"elsewhere_ms", move.elsewhereMs}});
        std::vector<MinionId> &avoid = m_avoid[move.unit];
        avoid.insert(avoid.end(), move.avoid.begin(), move.avoid.end());
        ++m_moves[move.unit];
        m_rerunning.insert(move.unit);
        stopAssignment(m_assignments.at(move.unit), "straggler");
    }
}

} // namespace Papaya
