#include "process/planner.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// Resource use of running gangs: the planner records it for estimates, and throttles or stops work on overcommitted
// workers.

namespace Papaya
{

namespace
{

constexpr Millis THROTTLE_SETTLE_TIME {5'000}; // reports lag, so the effect of a throttle may not show earlier
constexpr Millis THROTTLE_TIMEOUT {500};

StopRule stopRuleOf(const GangAttempt &attempt)
{
    if (attempt.spec.restart == RestartRule::Never) {
        return StopRule::Never;
    }
    return attempt.guaranteed ? StopRule::IfOverrunning : StopRule::Freely;
}

} // namespace

std::vector<PartUsage> Planner::collectPartUsage(const FleetModel &fleet) const
{
    std::vector<PartUsage> usages;
    const TimePoint now = Clock::now();
    for (const auto &[job, runner] : m_runners) {
        const GangAttempt &attempt = runner->attempt();
        for (std::size_t part = 0; part < attempt.parts.size(); ++part) {
            const TaskId id {job, PartIndex(static_cast<std::uint32_t>(part))};
            const TrackedTask *task = m_tasks.find(id);
            const auto worker = fleet.find(attempt.parts[part].worker);
            if (task == nullptr || !task->used || !worker) {
                continue;
            }
            PartUsage use;
            use.task = id;
            use.worker = *worker;
            use.declared = attempt.spec.shape.part;
            use.used = *task->used;
            use.rule = stopRuleOf(attempt);
            use.throttled = task->throttledAt.has_value();
            use.throttlePending = use.throttled && now - *task->throttledAt < THROTTLE_SETTLE_TIME;
            use.stopping = runner->stopping();
            usages.push_back(use);
        }
    }
    return usages;
}

void Planner::recordUsage(const std::vector<PartUsage> &usages)
{
    // The parts of a gang are adjacent in the list. The use of a gang is the largest use of any of its parts, for each
    // resource.
    for (auto use = usages.begin(); use != usages.end();) {
        const JobId job = use->task.job;
        Resources peak;
        bool throttled = false;
        for (; use != usages.end() && use->task.job == job; ++use) {
            peak.cores = std::max(peak.cores, use->used.cores);
            peak.memoryMb = std::max(peak.memoryMb, use->used.memoryMb);
            throttled |= use->throttled && !use->throttlePending;
        }
        m_sizeEstimator.recordUsage(job, peak, throttled);
    }
}

void Planner::handleOverruns(const FleetModel &fleet, const std::vector<PartUsage> &usages)
{
    const OverrunDecision decision = decideOverruns(fleet, usages);
    for (const TaskId &task : decision.throttles) {
        m_tasks.markThrottled(task);
        Asio::co_spawn(m_strand, throttle(*this, task, m_epoch), Asio::detached);
    }
    for (const JobId &job : decision.stops) {
        logEvent(LogLevel::Warning, "gang-stopped-overrunning", {{"job", job.value()}});
        m_metrics.count(Counter::GangsStoppedOverrunning);
        m_runners.at(job)->requestStop(StopCause::Preempted);
    }
}

Asio::awaitable<void> Planner::throttle(Planner &self, TaskId task, Epoch epoch)
{
    const TrackedTask *trackedTask = self.m_tasks.find(task);
    if (trackedTask == nullptr) {
        co_return;
    }
    const Endpoint worker = trackedTask->address;
    try {
        const TimePoint deadline = Clock::now() + THROTTLE_TIMEOUT;
        const CommandReply reply = co_await self.m_client.command(worker, epoch, task, TaskCommand::Throttle, deadline);
        if (reply.result == CommandResult::Done) {
            self.m_metrics.count(Counter::TasksThrottled);
            logEvent(LogLevel::Info, "task-throttled",
                     {{"job", task.job.value()}, {"part", std::uint64_t(task.part.value())}});
        }
    } catch (const HttpError &error) {
        // If the throttle has not taken effect, the reports show it and the gang is stopped.
        logEvent(LogLevel::Debug, "throttle-failed", {{"job", task.job.value()}, {"error", error.what()}});
    }
}

} // namespace Papaya
