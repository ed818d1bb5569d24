#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"
#include "steps/evacuation.h"
#include "steps/progresswatch.h"

#include <algorithm>

// Handling of expired leases, draining minions, stuck runs and minions on which runs keep failing.

namespace Papaya
{

namespace
{

constexpr std::int64_t RUN_FAILURE_BACKOFF_MS = 8'000;
constexpr std::uint32_t MAX_RUN_FAILURES = 2; // a minion with as many in a row gets no new work for a while
constexpr double MAX_BACKED_OFF_SHARE = 0.25; // of all minions

} // namespace

void StepPlanner::countRunFailure(MinionLink &link, std::int64_t nowMs)
{
    const auto backedOff = std::count_if(m_links.begin(), m_links.end(), [nowMs](const auto &item) {
        return item.second.runFailures >= MAX_RUN_FAILURES && item.second.backOffUntilMs > nowMs;
    });
    // A job that fails on every minion must not make the whole fleet unusable.
    if (++link.runFailures >= MAX_RUN_FAILURES && double(backedOff) < MAX_BACKED_OFF_SHARE * double(m_links.size())) {
        link.backOffUntilMs = nowMs + RUN_FAILURE_BACKOFF_MS;
        logEvent(LogLevel::Warning, "minion-on-probation",
                 {{"minion", link.entry.id.value()}, {"strikes", std::uint64_t(link.runFailures)}});
    }
}

void StepPlanner::expireLeases()
{
    const std::int64_t now = bootMillis();
    std::vector<PlacedMember> lost;
    for (const auto &[id, link] : m_links) {
        const bool lapsed =
            link.clock.known() ? link.pollFailures > 0 && link.clock.lapsed(now) : now > link.priorLeaseUntilMs;
        if (lapsed) {
            lost.insert(lost.end(), link.placed.begin(), link.placed.end());
        }
    }
    for (const auto &[assignment, index] : lost) {
        m_context.metrics.count(StepEvent::RunLost, "lease-lapsed");
        logEvent(LogLevel::Warning, "lease-lapsed",
                 {{"unit", assignment->unit.toString()},
                  {"run", std::uint64_t(assignment->run)},
                  {"minion", assignment->members[index].minion.value()}});
        memberEnded(assignment, index, EndKind::Lapsed);
    }
}

void StepPlanner::evacuate()
{
    const std::int64_t now = bootMillis();
    for (const auto &[id, link] : m_links) {
        if (!link.entry.draining) {
            continue;
        }
        for (const PlacedMember &placed : link.placed) {
            const AssignmentPtr &assignment = placed.assignment;
            if (placed.member().state != MemberState::Running || assignment->outcome) {
                continue;
            }
            const LeavingRun run {now - assignment->startedMs, assignment->percent, assignment->step.estimate.count(),
                                  link.leavesAtMs - now, assignment->step.checkpointing};
            if (shouldEvacuate(run)) {
                stopAssignment(assignment, "minion-leaves");
            }
        }
    }
}

void StepPlanner::moveStuckRuns()
{
    const std::int64_t now = bootMillis();
    for (const auto &[unit, assignment] : m_assignments) {
        if (assignment->stopping || assignment->outcome || assignment->step.longRunning) {
            continue;
        }
        const QueueName &queue = m_context.jobTable.find(unit.job)->job.queue;
        const std::int64_t plausible = m_context.times.plausibleMs(queue, assignment->step.estimate.count());
        for (const Member &member : assignment->members) {
            const bool paced = member.pacePercent != FillPace::FULL;
            const RunProgress run {member.percent, member.lastReportMs - member.lastProgressMs, plausible,
                                   assignment->step.fills, assignment->step.fills && paced};
            if (member.state != MemberState::Running || member.lastReportMs == 0 || !isStuck(run)) {
                continue;
            }
            logEvent(LogLevel::Info, "run-stuck",
                     {{"unit", unit.toString()},
                      {"minion", member.minion.value()},
                      {"percent", run.percent},
                      {"still_ms", run.stalledMs},
                      {"plausible_ms", plausible}});
            m_avoid[unit].push_back(member.minion);
            countRunFailure(m_links.at(member.minion), now);
            stopAssignment(assignment, "stuck");
            break;
        }
    }
}

} // namespace Papaya
