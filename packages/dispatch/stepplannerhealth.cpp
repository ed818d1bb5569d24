#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "dispatch/leaseterms.h"
#include "process/logging.h"
#include "steps/departure.h"
#include "steps/progresswatch.h"

#include <algorithm>
#include <iterator>

// Handling of expired leases, draining minions, stuck runs and minions on which runs keep failing.

namespace Papaya
{

namespace
{

constexpr std::int64_t RUN_FAILURE_BACKOFF_MS = 8'000;
constexpr std::uint32_t MAX_RUN_FAILURES = 2; // a minion with as many in a row gets no new work for a while
constexpr std::int64_t MIN_HANG_MS = 400;     // without progress of any run, until a minion seems to hang
constexpr double MAX_BACKED_OFF_SHARE = 0.25; // of all minions

} // namespace

void StepPlanner::countRunFailure(MinionLink &link, std::int64_t nowMs, std::uint32_t strikes)
{
    // A minion on probation still finishes what it runs, which resets its failures but not its probation.
    const auto backedOff = std::count_if(m_links.begin(), m_links.end(),
                                         [nowMs](const auto &item) { return item.second.probationUntilMs > nowMs; });
    // A job that fails on every minion must not make the whole fleet unusable.
    link.runFailures += strikes;
    if (link.runFailures >= MAX_RUN_FAILURES && double(backedOff) < MAX_BACKED_OFF_SHARE * double(m_links.size())) {
        link.probationUntilMs = nowMs + RUN_FAILURE_BACKOFF_MS;
        logEvent(LogLevel::Warning, "minion-on-probation",
                 {{"minion", link.entry.id.value()}, {"strikes", std::uint64_t(link.runFailures)}});
    }
}

bool StepPlanner::nothingProgresses(const MinionLink &link)
{
    return std::none_of(link.placed.begin(), link.placed.end(), [](const PlacedMember &placed) {
        const Member &member = placed.member();
        return member.state == MemberState::Running && !placed.assignment->step.longRunning && member.lastReportMs
               && member.stalledMs() < MIN_HANG_MS;
    });
}

bool StepPlanner::hasQuietRun(const MinionLink &link)
{
    return std::any_of(link.placed.begin(), link.placed.end(), [](const PlacedMember &placed) {
        const Assignment &assignment = *placed.assignment;
        const Member &member = placed.member();
        return member.state == MemberState::Running && member.percent < 100 && !assignment.step.longRunning
               && !assignment.step.fills && !assignment.stopping && assignment.allStarted()
               && (!member.lastReportMs || member.stalledMs() > 0);
    });
}

void StepPlanner::expireLeases()
{
    const std::int64_t now = bootMillis();
    std::vector<PlacedMember> lost;
    for (const auto &[id, link] : m_links) {
        const bool lapsed =
            link.clock.known() ? link.pollFailures > 0 && link.clock.lapsed(now) : now > provenPriorLeaseEndMs(link);
        if (lapsed) {
            std::copy_if(link.placed.begin(), link.placed.end(), std::back_inserter(lost),
                         [now](const PlacedMember &placed) { return now > placed.member().unverifiedUntilMs; });
        }
    }
    for (const auto &[assignment, index] : lost) {
        m_context.metrics.count(StepEvent::RunLost, "lease-lapsed");
        logEvent(LogLevel::Warning, "lease-lapsed",
                 {{"unit", assignment->unit.toString()},
                  {"run", std::uint64_t(assignment->run)},
                  {"minion", assignment->members[index].minion.value()}});
        assignment->mayHaveBegun = true;
        memberEnded(assignment, index, EndKind::Lapsed);
    }
}

void StepPlanner::checkAddress(MinionLink &link) const
{
    // A predecessor that has not noticed the take-over starts what it had placed, at addresses that it reads meanwhile.
    const std::int64_t lastStartMs = m_takeoverMs + m_context.maxViewAge.count();
    link.addressCovered = link.addressCovered || (link.listed && m_context.freshness().minionsAsOfMs >= lastStartMs);
}

void StepPlanner::endReplaced(MinionLink &link, std::int64_t sentMs)
{
    const std::int64_t lastStartMs = m_takeoverMs + m_context.maxViewAge.count(); // of earlier planners
    std::vector<PlacedMember> ended;
    for (const PlacedMember &placed : link.placed) {
        const Member &member = placed.member();
        const bool adopted = placed.assignment->decidedMs == 0;
        const std::int64_t orderedMs = member.state == MemberState::Running ? member.confirmedMs : member.orderedMs;
        if (orderedMs > 0 && (adopted ? lastStartMs : orderedMs) < sentMs) {
            ended.push_back(placed);
        }
    }
    if (ended.empty()) {
        return;
    }
    // Starts that are carried out late are refused by the other minion. They could only take effect if this one came
    // back to the address, so it is polled, which raises its fence.
    link.lateStartsUntilMs = std::max(link.lateStartsUntilMs, lastStartMs + LATE_START_SPAN_MS);
    for (const auto &[assignment, index] : ended) {
        m_context.metrics.count(StepEvent::RunLost, "minion-replaced");
        logEvent(LogLevel::Warning, "minion-replaced",
                 {{"unit", assignment->unit.toString()},
                  {"run", std::uint64_t(assignment->run)},
                  {"minion", assignment->members[index].minion.value()}});
        assignment->mayHaveBegun = true;
        memberEnded(assignment, index, EndKind::Unknown);
    }
}

void StepPlanner::leaveDrainingMinions()
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
            if (shouldLeave(run)) {
                stopAssignment(assignment, "minion-leaves");
            }
        }
    }
}

void StepPlanner::watchProgress(Assignment &assignment, std::int64_t nowMs)
{
    for (Member &member : assignment.members) {
        const MinionClock &clock = m_links.at(member.minion).clock;
        if (clock.known()) {
            member.lastProgressMs = clock.at(nowMs);
            if (assignment.checkpoint.empty()) {
                member.beganMs = member.lastProgressMs;
            }
        }
    }
}

void StepPlanner::moveStuckRuns()
{
    const std::int64_t now = bootMillis();
    for (const auto &[unit, assignment] : m_assignments) {
        if (assignment->stopping || assignment->outcome || assignment->step.longRunning || !assignment->allStarted()) {
            continue; // members of a gang that is not complete wait for the others
        }
        const QueueName &queue = m_context.jobTable.find(unit.job)->job.queue;
        const auto moves = m_moves.find(unit);
        const std::int64_t plausible = m_context.times.plausibleMs(queue, assignment->step.estimate.count());
        for (const Member &member : assignment->members) {
            const bool paced = member.pacePercent != FillPace::FULL;
            const bool fills = assignment->step.fills;
            const RunProgress run {member.percent,
                                   member.stalledMs(),
                                   plausible,
                                   fills,
                                   fills && paced,
                                   member.percent > 0,
                                   !assignment->checkpoint.empty(),
                                   moves == m_moves.end() ? 0 : moves->second};
            if (member.state != MemberState::Running || !isStuck(run)) {
                continue;
            }
            logEvent(LogLevel::Info, "run-stuck",
                     {{"unit", unit.toString()},
                      {"minion", member.minion.value()},
                      {"percent", run.percent},
                      {"still_ms", run.stalledMs},
                      {"plausible_ms", plausible}});
            m_avoid[unit].push_back(member.minion);
            ++m_moves[unit];
            MinionLink &link = m_links.at(member.minion);
            countRunFailure(link, now, nothingProgresses(link) ? MAX_RUN_FAILURES : 1);
            stopAssignment(assignment, "stuck");
            break;
        }
    }
}

} // namespace Papaya
