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

bool isThrottlePending(const TrackedTask &task)
{
    return task.throttledAt && Clock::now() - *task.throttledAt < THROTTLE_SETTLE_TIME;
}

PartUsage partUsage(const TaskId &id, const TrackedTask &task, const GangRunner &runner, WorkerIndex worker)
{
    PartUsage use;
    use.task = id;
    use.worker = worker;
    use.declared = runner.attempt().spec.shape.part;
    use.used = *task.used;
    use.rule = stopRuleOf(runner.attempt());
    use.throttled = task.throttledAt.has_value();
    use.throttlePending = isThrottlePending(task);
    use.stopping = runner.stopping();
    return use;
}

} // namespace

void Planner::handleReports()
{
    const auto hosts = m_hosts.hosts();
    if (!hosts) {
        return;
    }
    // 1. Collects the use of all parts on the workers that have reported.
    FleetModel reporting;
    std::vector<PartUsage> usages;
    std::set<JobId> jobs;
    for (const WorkerId &worker : m_tasks.takeReportingWorkers()) {
        const Host *host = hosts->findWorker(worker);
        if (host == nullptr) {
            continue;
        }
        const WorkerIndex index = reporting.add(worker, host->place, host->rack, host->resources);
        for (const TaskId &id : m_tasks.tasksOn(worker)) {
            const TrackedTask &task = *m_tasks.find(id);
            const auto runner = m_runners.find(id.job);
            if (runner != m_runners.end() && task.used) {
                usages.push_back(partUsage(id, task, *runner->second, index));
                jobs.insert(id.job);
            }
        }
    }
    // 2. Records it before gangs are stopped, so that they are placed by what they have used.
    for (const JobId &job : jobs) {
        recordUsage(*m_runners.at(job));
    }
    handleOverruns(decideOverruns(reporting, usages));
}

void Planner::recordUsage(const GangRunner &runner)
{
    // The use of a gang is the largest use of any of its parts, for each resource.
    const GangAttempt &attempt = runner.attempt();
    Resources peak;
    bool throttled = false;
    for (std::size_t part = 0; part < attempt.parts.size(); ++part) {
        const TrackedTask *task = m_tasks.find({attempt.spec.job, PartIndex(static_cast<std::uint32_t>(part))});
        if (task == nullptr || !task->used) {
            continue;
        }
        peak.cores = std::max(peak.cores, task->used->cores);
        peak.memoryMb = std::max(peak.memoryMb, task->used->memoryMb);
        throttled |= task->throttledAt && !isThrottlePending(*task);
    }
    m_sizeEstimator.recordUsage(attempt.spec.job, peak, throttled);
}

void Planner::handleOverruns(const OverrunDecision &decision)
{
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
