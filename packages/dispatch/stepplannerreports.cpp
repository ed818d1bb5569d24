#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"
#include "steps/epochs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

// Processing of minion reports: ended, running and missing tasks, and the outcome of their units.

namespace Papaya
{

namespace
{

constexpr std::int64_t UNKNOWN_RUN_STOP_INTERVAL_MS = 500;

} // namespace

StepPlanner::AssignmentPtr StepPlanner::findTask(const std::string &task, std::uint32_t run, std::size_t &index)
{
    UnitKey key;
    if (!UnitKey::parse(task, key)) {
        return nullptr;
    }
    index = 0;
    auto found = m_assignments.find(key);
    if (found == m_assignments.end()) {
        index = static_cast<std::size_t>(key.index);
        key.index = UnitKey::GANG;
        found = m_assignments.find(key);
    }
    const bool known =
        found != m_assignments.end() && found->second->run == run && index < found->second->members.size();
    return known ? found->second : nullptr;
}

void StepPlanner::handleReport(MinionLink &link, const MinionReport &report, std::int64_t sentMs)
{
    for (const EndedTask &end : report.ended) {
        if (end.number > link.endsHandled) {
            link.endsHandled = end.number;
            handleEnd(link, end);
        }
    }
    if (link.endsHandled > link.endsStored) {
        m_pendingEnds.push_back({link.entry.id, link.restarts, link.endsHandled});
        flushSoon();
    }
    handleRunning(link, report, sentMs);
    observeInterference(link, bootMillis());
    paceFills(link, bootMillis());
}

void StepPlanner::handleEnd(MinionLink &link, const EndedTask &end)
{
    std::size_t index = 0;
    const AssignmentPtr assignment = findTask(end.task, end.run, index);
    m_context.metrics.count(StepEvent::RunEnd, toString(end.kind));
    logEvent(LogLevel::Info, "run-ended",
             {{"task", end.task},
              {"run", std::uint64_t(end.run)},
              {"minion", link.entry.id.value()},
              {"how", toString(end.kind)},
              {"known", assignment ? "yes" : "no"}});
    if (end.kind == EndKind::Done) {
        link.runFailures = 0;
    } else if (end.kind == EndKind::Failed) {
        countRunFailure(link, bootMillis(), 1);
    }
    if (!assignment || assignment->members[index].minion != link.entry.id) {
        if (end.kind == EndKind::Done) {
            acceptDoneOfOtherRun(end);
        }
        return;
    }
    assignment->mayHaveBegun = true;
    if (!end.checkpoint.empty()) {
        assignment->checkpoint = end.checkpoint;
    }
    if (end.kind == EndKind::Done && link.clock.known()) {
        observeSpeed(*assignment, assignment->members[index], 100, link.clock.at(bootMillis()));
    }
    if (end.kind == EndKind::Failed) {
        m_avoid[assignment->unit].push_back(link.entry.id);
    }
    memberEnded(assignment, index, end.kind);
}

void StepPlanner::acceptDoneOfOtherRun(const EndedTask &end)
{
    UnitKey unit;
    if (!UnitKey::parse(end.task, unit)) {
        return;
    }
    if (m_context.jobTable.find(unit) == nullptr) {
        unit.index = UnitKey::GANG; // one end stands for all members of a gang
    }
    const UnitStatus *known = m_context.jobTable.find(unit);
    const bool isOpen = known != nullptr && (known->state == UnitState::Waiting || known->state == UnitState::Placed);
    if (!isOpen || end.run == 0 || end.run > known->run || m_context.jobTable.stepOf(unit).longRunning) {
        return;
    }
    logEvent(LogLevel::Warning, "earlier-run-done", {{"task", end.task}, {"run", std::uint64_t(end.run)}});
    const auto placed = m_assignments.find(unit);
    if (placed != m_assignments.end()) {
        const AssignmentPtr assignment = placed->second;
        assignment->outcome = EndKind::Done;
        applyOutcome(assignment);
        stopAssignment(assignment, "earlier-run-done");
        return;
    }
    UnitStatus status = *known;
    status.state = UnitState::Done;
    status.minions.clear();
    record(unit, std::move(status));
    jobChanged(unit.job);
}

void StepPlanner::handleRunning(MinionLink &link, const MinionReport &report, std::int64_t sentMs)
{
    const std::int64_t now = bootMillis();
    std::map<std::string, std::uint32_t> listed;
    link.strays.clear();
    for (const RunningTask &running : report.running) {
        std::size_t index = 0;
        const AssignmentPtr assignment = findTask(running.task, running.run, index);
        if (!assignment || assignment->members[index].minion != link.entry.id) {
            if (UnitKey stray; UnitKey::parse(running.task, stray)) {
                link.strays.push_back(stray);
            }
            std::int64_t &last = m_unknownRunStopMs[running.task];
            if (now - last >= UNKNOWN_RUN_STOP_INTERVAL_MS) {
                last = now;
                Asio::co_spawn(m_context.io,
                               stopUnknownRun(shared_from_this(), link.entry.id, running.task, running.run),
                               Asio::detached);
            }
            continue;
        }
        listed[running.task] = running.run;
        assignment->mayHaveBegun = true;
        assignment->members[index].unverifiedUntilMs = 0;
        assignment->percent = std::max(assignment->percent, running.percent);
        Member &member = assignment->members[index];
        if (running.percent > member.percent || !member.lastProgressMs) {
            member.percent = running.percent;
            member.lastProgressMs = report.clockMs;
        }
        member.lastReportMs = report.clockMs;
        (assignment->step.serves() ? member.tailMs : member.coresInUse) = running.load;
        observeSpeed(*assignment, member, running.percent, report.clockMs);
        if (!running.checkpoint.empty() && running.checkpoint != assignment->checkpoint) {
            assignment->checkpoint = running.checkpoint;
            assignment->checkpointMs = now;
        }
    }
    if (report.mayHaveMoreEnds) {
        return; // a member that is not listed may have ended; the next pages show its end once these are acknowledged
    }
    // A member that is missing from a poll sent after its start or stop was answered does not run.
    std::vector<PlacedMember> missing;
    for (const auto &[assignment, index] : link.placed) {
        const Member &member = assignment->members[index];
        const bool conclusive =
            (member.state == MemberState::Running && member.confirmedMs < sentMs)
            || (member.state == MemberState::Ordered && member.stopAnsweredMs > 0 && member.stopAnsweredMs < sentMs);
        if (conclusive && !listed.contains(assignment->unit.taskName(static_cast<std::uint32_t>(index)))) {
            missing.push_back({assignment, index});
        }
    }
    for (const auto &[assignment, index] : missing) {
        m_context.metrics.count(StepEvent::RunLost, "missing");
        memberEnded(assignment, index, EndKind::Unknown);
    }
}

void StepPlanner::handleMinionRestart(MinionLink &link, std::int64_t startTimeMs)
{
    logEvent(LogLevel::Warning, "minion-reborn",
             {{"minion", link.entry.id.value()},
              {"members", std::uint64_t(link.placed.size())},
              {"former", link.entry.startTimeMs},
              {"present", startTimeMs}});
    ++link.restarts;
    link.formerStartTimeMs = link.entry.startTimeMs;
    link.entry.startTimeMs = startTimeMs;
    link.newestStartTimeMs = std::max(link.newestStartTimeMs, startTimeMs);
    link.entryOutdated = true;
    link.clock = MinionClock();
    m_fence = raisedFence(m_fence);
    link.fence = m_fence;
    link.fenceRaised = false;
    link.endsHandled = link.endsStored = link.endsAcked = 0;
    link.formerPollUntilMs = std::max(link.formerPollUntilMs, std::exchange(link.ackPollUntilMs, 0));
    link.runFailures = 0;
    link.strays.clear();
    link.fillPace = FillPace();
    m_speeds.forget(link.entry.id);
    link.priorLeaseUntilMs = leaseBoundMs();
    // Which of the members the new instance runs is shown by its first report.
    for (const PlacedMember &placed : link.placed) {
        Member &member = placed.member();
        member.stopAnsweredMs = 0;
        member.percent = 0;
        member.lastProgressMs.reset();
        member.beganMs.reset();
        member.lastReportMs.reset();
        member.pacePercent.reset();
    }
    m_tickets.expireAll(link.entry.id);
    std::erase_if(m_pendingEnds, [&](const PendingEnds &ends) { return ends.minion == link.entry.id; });
}

void StepPlanner::memberEnded(const AssignmentPtr &assignment, std::size_t index, EndKind kind)
{
    Member &member = assignment->members[index];
    if (member.state == MemberState::Ended) {
        return;
    }
    member.state = MemberState::Ended;
    assignment->firstEndMs = assignment->firstEndMs == 0 ? bootMillis() : assignment->firstEndMs;
    MinionLink &link = m_links.at(member.minion);
    link.remove(*assignment, index);
    link.used -= assignment->need;
    if (assignment->stopping) {
        link.stopping -= assignment->need;
    }
    const bool overrides = kind == EndKind::Done || kind == EndKind::Failed;
    if (!assignment->outcome || (overrides && *assignment->outcome != EndKind::Done)) {
        assignment->outcome = kind;
    }
    applyOutcome(assignment);
    requestPass();
}

void StepPlanner::applyOutcome(const AssignmentPtr &assignment)
{
    if (assignment->outcome == EndKind::Done) {
        if (!assignment->doneJournaled) {
            assignment->doneJournaled = true;
            UnitStatus status = *m_context.jobTable.find(assignment->unit);
            status.state = assignment->step.longRunning ? UnitState::Placed : UnitState::Done;
            record(assignment->unit, std::move(status));
        }
    } else if (!assignment->ended()) {
        if (assignment->outcome == EndKind::Failed) {
            countFailure(assignment); // journaled now: the end may be acknowledged long before the other members end
        }
        stopAssignment(assignment, "member-lost");
    }
    if (assignment->ended()) {
        finish(assignment);
    }
}

void StepPlanner::countFailure(const Assignment &assignment, UnitStatus &status)
{
    if (assignment.outcome == EndKind::Failed && !assignment.step.longRunning && status.failedRun != assignment.run) {
        ++status.failures;
        status.failedRun = assignment.run;
    }
}

void StepPlanner::countFailure(const AssignmentPtr &assignment)
{
    const UnitStatus &known = *m_context.jobTable.find(assignment->unit);
    UnitStatus status = known;
    countFailure(*assignment, status);
    if (!(status == known)) {
        record(assignment->unit, std::move(status));
    }
}

void StepPlanner::finish(const AssignmentPtr &assignment)
{
    const UnitKey unit = assignment->unit;
    m_assignments.erase(unit);
    const bool done = assignment->outcome == EndKind::Done && !assignment->step.longRunning;
    const JobEntry *entry = m_context.jobTable.find(unit.job);
    if (done || entry == nullptr) {
        m_avoid.erase(unit);
        m_moves.erase(unit);
        jobChanged(unit.job);
        return;
    }
    UnitStatus status = *m_context.jobTable.find(unit);
    status.state = UnitState::Waiting;
    status.minions.clear();
    status.checkpoint = assignment->checkpoint;
    status.neverBegan = status.neverBegan && !assignment->mayHaveBegun;
    countFailure(*assignment, status);
    if (status.failures >= entry->job.attempts && !assignment->step.longRunning) {
        status.state = UnitState::Failed;
        logEvent(LogLevel::Info, "unit-given-up",
                 {{"unit", unit.toString()}, {"failures", std::uint64_t(status.failures)}});
    }
    record(unit, std::move(status));
    jobChanged(unit.job);
}

} // namespace Papaya
