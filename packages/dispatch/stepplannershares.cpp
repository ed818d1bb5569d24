#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// Throttling of best-effort tasks (StepSpec::fills) beside services, and the planner's part in machine upkeep, which
// must not make more tasks of a service unavailable than its disruption budget allows.

namespace Papaya
{

namespace
{

constexpr Millis PACE_TIMEOUT {700};
constexpr Millis STORE_TIMEOUT {1'000}; // an order to a machine must follow its record promptly
constexpr std::int64_t AVAILABLE_PERCENT = 100;

} // namespace

void StepPlanner::paceFills(MinionLink &link, std::int64_t nowMs)
{
    std::vector<TailLatency> tails;
    std::vector<std::string> serving; // images of the tasks in tails
    std::vector<PlacedMember> fills;
    for (const PlacedMember &placed : link.placed) {
        const StepSpec &step = placed.assignment->step;
        if (placed.member().state != MemberState::Running) {
            continue;
        }
        if (step.serves()) {
            tails.push_back({placed.member().tailMs, step.tailTarget.count(), {}});
            serving.push_back(step.image);
        } else if (step.fills) {
            fills.push_back(placed);
        }
    }
    link.shared = !tails.empty() && !fills.empty();
    if (tails.empty() || !fills.empty()) {
        const ImageInterference::Loads loads = fillLoads(fills);
        std::set<std::string> images;
        for (const auto &item : loads) {
            images.insert(item.first);
        }
        for (std::size_t i = 0; i < tails.size(); ++i) {
            tails[i].causes = m_interference.causes(serving[i], loads, nowMs);
        }
        // Without best-effort tasks, tails show nothing of the share's effect.
        link.fillPace.observe(tails, nowMs, images);
    }
    for (const auto &[assignment, index] : fills) {
        Member &member = assignment->members[index];
        const int percent = link.fillPace.percent(assignment->step.image);
        const PacedTask task {member.pacePercent, member.paceConfirmedMs, member.works(), assignment->step.image};
        if (!member.paceInFlight && link.fillPace.needsOrder(task, nowMs)) {
            member.paceInFlight = true;
            Asio::co_spawn(m_context.io, paceMember(shared_from_this(), assignment, index, percent), Asio::detached);
        }
    }
}

Asio::awaitable<void> StepPlanner::paceMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                              std::size_t index, int percent)
{
    Member &member = assignment->members[index];
    const MinionLink &link = self->m_links.at(member.minion);
    PaceOrder order {assignment->unit.taskName(static_cast<std::uint32_t>(index)), assignment->run, percent,
                     link.fence};
    const MinionEntry entry = link.entry;
    const OrderAnswer answer = co_await self->m_context.minionControl.pace(entry, order, PACE_TIMEOUT);
    member.paceInFlight = false;
    if (!self->m_leading) {
        co_return;
    }
    if (answer.outcome == OrderOutcome::Fenced && self->hasFence(member.minion, order.fence)) {
        self->stepDown("fenced-by-minion");
        co_return;
    }
    if (answer.outcome == OrderOutcome::Done) {
        member.pacePercent = percent;
        member.paceConfirmedMs = bootMillis();
    } else {
        member.pacePercent.reset(); // repeated after the next report
    }
    logEvent(LogLevel::Info, "run-paced",
             {{"task", order.task},
              {"minion", member.minion.value()},
              {"percent", std::int64_t(percent)},
              {"outcome", toString(answer.outcome)}});
}

std::uint32_t StepPlanner::unavailableTasks(const StepKey &step, const StepSpec &spec) const
{
    std::uint32_t availableTasks = 0;
    auto place = m_assignments.lower_bound({step.job, step.occurrence, step.step, UnitKey::GANG});
    for (; place != m_assignments.end() && place->first.stepKey() == step; ++place) {
        const Assignment &assignment = *place->second;
        for (const Member &member : assignment.members) {
            const bool answers = m_links.at(member.minion).pollFailures == 0;
            const bool available =
                answers && member.state == MemberState::Running && member.percent >= AVAILABLE_PERCENT;
            availableTasks += available && !assignment.stopping && !m_goingDown.contains(member.minion) ? 1 : 0;
        }
    }
    return spec.count - std::min(spec.count, availableTasks);
}

std::uint32_t StepPlanner::tasksToLose(const Assignment &assignment) const
{
    return static_cast<std::uint32_t>(
        std::count_if(assignment.members.begin(), assignment.members.end(), [&](const Member &member) {
            const bool answers = m_links.at(member.minion).pollFailures == 0;
            const bool knownUnavailable = answers && member.lastReportMs && member.percent < AVAILABLE_PERCENT;
            return member.state == MemberState::Running && !knownUnavailable;
        }));
}

MinionWorkload StepPlanner::workloadOn(const MinionId &minion) const
{
    MinionWorkload work;
    std::map<StepKey, std::uint32_t> tasksHere; // available tasks of services with a disruption budget
    const std::int64_t now = bootMillis();
    const auto link = m_links.find(minion);
    if (link == m_links.end()) {
        return work;
    }
    for (const PlacedMember &placed : link->second.placed) {
        const Assignment &assignment = *placed.assignment;
        ++work.running;
        work.lossMs += assignment.lossMs(now);
        const bool available =
            placed.member().percent >= AVAILABLE_PERCENT && !assignment.stopping && !m_goingDown.contains(minion);
        if (assignment.step.maxUnavailable > 0 && available) {
            ++tasksHere[assignment.unit.stepKey()];
        }
    }
    for (const auto &[step, count] : tasksHere) {
        const StepSpec &spec = m_context.jobTable.find(step.job)->job.spec.steps[step.step];
        work.overBudget = work.overBudget || exceedsBudget(spec.maxUnavailable, unavailableTasks(step, spec), count);
    }
    return work;
}

void StepPlanner::reserve(std::set<MinionId> minions)
{
    const bool released = !std::includes(minions.begin(), minions.end(), m_reserved.begin(), m_reserved.end());
    m_reserved = std::move(minions);
    if (released) {
        requestPass();
    }
}

void StepPlanner::setGoingDown(const MinionId &minion, bool goingDown)
{
    if (goingDown) {
        m_goingDown.insert(minion);
    } else {
        m_goingDown.erase(minion);
    }
}

void StepPlanner::vacate(const MinionId &minion)
{
    const auto link = m_links.find(minion);
    if (link == m_links.end()) {
        return;
    }
    m_vacated.insert(minion);
    for (const PlacedMember &placed : link->second.placed) {
        stopAssignment(placed.assignment, "upkeep");
    }
}

Asio::awaitable<bool> StepPlanner::store(WaveProgress progress)
{
    std::vector<StoredRecord> records;
    records.push_back(encodeRecord(progress));
    m_context.jobTable.apply(std::move(progress));
    const AppendOutcome outcome = co_await m_writer->append(std::move(records), Clock::now() + STORE_TIMEOUT);
    co_return outcome == AppendOutcome::Stored &&m_leading;
}

} // namespace Papaya
