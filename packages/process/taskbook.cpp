#include "process/taskbook.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis SHORT_RENEWAL_INTERVAL {400};
constexpr Millis MIN_RENEWAL_INTERVAL {3'000};
constexpr Millis MIN_REPORT_INTERVAL {500};
constexpr Millis INTERVAL_PER_WORKER {20}; // limits the rate to 50 renewals and 50 reports per second
constexpr Millis MAX_REPORT_LAG {5'000};
constexpr Millis CALL_TIMEOUT {1'000};
constexpr Millis CONTACT_TIMEOUT_MARGIN {2'500}; // added to the interval between two contacts

} // namespace

ContactIntervals ContactIntervals::forFleet(std::size_t workers)
{
    const Millis interval = INTERVAL_PER_WORKER * static_cast<std::int64_t>(workers);
    ContactIntervals intervals;
    intervals.renewal = std::max(MIN_RENEWAL_INTERVAL, interval);
    intervals.report = std::max(MIN_REPORT_INTERVAL, interval);
    return intervals;
}

TaskTracker::TaskTracker(Asio::any_io_executor strand, WorkerClient &client, Metrics &metrics)
    : m_strand(std::move(strand))
    , m_client(client)
    , m_metrics(metrics)
{
}

void TaskTracker::add(const TaskId &id, const WorkerId &worker, const Endpoint &address, LeaseMode mode, TimePoint sent,
                      bool repeated)
{
    remove(id);
    TrackedTask &task = m_tasks[id];
    task.worker = worker;
    task.address = address;
    task.leaseUntil = sent + leaseDuration(mode);
    task.trackedSince = Clock::now();
    task.lastContact = task.trackedSince;
    task.ignoreEndsUntil = repeated ? earlierReportsUntil(id, worker) : TimePoint {};
    WorkerState &state = m_workers[worker];
    if (state.tasks.empty()) {
        state.contactedAt = task.trackedSince;
    }
    state.address = address;
    state.tasks.insert(id);
    assignLeaseMode(task, mode);
}

void TaskTracker::assumeRenewedUntil(const TaskId &id, TimePoint until, LeaseMode mode)
{
    TrackedTask &task = m_tasks.at(id);
    task.leaseUntil = std::max(task.leaseUntil, until + leaseDuration(mode));
}

Millis TaskTracker::leaseDuration(LeaseMode mode) const
{
    return mode == LeaseMode::Long ? m_intervals.longLease() : SHORT_LEASE;
}

void TaskTracker::assignLeaseMode(TrackedTask &task, LeaseMode mode)
{
    WorkerState &state = m_workers[task.worker];
    state.shortTasks -= task.mode == LeaseMode::Short ? 1U : 0U;
    state.shortTasks += mode == LeaseMode::Short ? 1U : 0U;
    task.mode = mode;
}

TimePoint TaskTracker::earlierReportsUntil(const TaskId &id, const WorkerId &worker) const
{
    const auto removed = m_removedAt.find({id, worker});
    return MAX_REPORT_LAG + (removed == m_removedAt.end() ? m_clearedAt : removed->second);
}

void TaskTracker::setLeaseMode(const TaskId &id, LeaseMode mode)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    assignLeaseMode(found->second, mode);
    if (mode == LeaseMode::Long) {
        m_workers[found->second.worker].longRenewedAt = {};
    }
}

void TaskTracker::remove(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    std::erase_if(m_removedAt, [&](const auto &entry) { return now - entry.second > MAX_REPORT_LAG; });
    m_removedAt[{id, found->second.worker}] = now;
    const auto worker = m_workers.find(found->second.worker);
    if (worker != m_workers.end()) {
        assignLeaseMode(found->second, LeaseMode::None);
        worker->second.tasks.erase(id);
        if (worker->second.tasks.empty()) {
            m_workers.erase(worker);
        }
    }
    m_tasks.erase(found);
    const auto next = m_tasks.lower_bound({id.job, PartIndex(0)});
    if (next == m_tasks.end() || next->first.job != id.job) {
        m_updates.erase(id.job);
    }
}

void TaskTracker::clear()
{
    m_tasks.clear();
    m_workers.clear();
    m_reportingWorkers.clear();
    m_removedAt.clear();
    m_clearedAt = Clock::now();
    m_superseded = false;
    notifyAll();
}

void TaskTracker::setFleetSize(std::size_t workers)
{
    m_intervals = ContactIntervals::forFleet(workers);
}

void TaskTracker::notifyAll()
{
    for (auto &[job, broadcast] : m_updates) {
        broadcast.notifyAll();
    }
}

const TrackedTask *TaskTracker::find(const TaskId &id) const
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

std::set<TaskId> TaskTracker::tasksOn(const WorkerId &worker) const
{
    const auto state = m_workers.find(worker);
    return state == m_workers.end() ? std::set<TaskId>() : state->second.tasks;
}

void TaskTracker::epochRaised(const WorkerId &worker)
{
    const TimePoint latest = Clock::now() + m_intervals.longLease();
    for (auto &[id, task] : m_tasks) {
        if (task.worker == worker) {
            task.leaseUntil = std::min(task.leaseUntil, latest);
        }
    }
}

void TaskTracker::setCheckpoint(const TaskId &id, const std::string &checkpoint)
{
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end()) {
        found->second.checkpoint = checkpoint;
    }
}

void TaskTracker::markThrottled(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end()) {
        found->second.throttledAt = Clock::now();
    }
}

void TaskTracker::applyReport(const TaskReport &report)
{
    const auto found = m_tasks.find(report.id);
    if (found == m_tasks.end()) {
        return;
    }
    TrackedTask &task = found->second;
    const bool ended =
        report.state == TaskState::Succeeded || report.state == TaskState::Failed || report.state == TaskState::Stopped;
    if (ended && Clock::now() < task.ignoreEndsUntil) {
        return;
    }
    const bool newCheckpoint = !report.checkpoint.empty() && report.checkpoint != task.checkpoint;
    const bool updated = report.state != task.state || newCheckpoint;
    task.state = report.state;
    if (report.state == TaskState::Running) {
        task.used = report.used;
        m_reportingWorkers.insert(task.worker);
    }
    if (newCheckpoint) {
        task.checkpoint = report.checkpoint;
    }
    if (updated) {
        m_updates[report.id.job].notifyAll();
    }
}

bool TaskTracker::contactTimedOut(const TrackedTask &task, TimePoint now) const
{
    return now - task.lastContact > contactTimeout();
}

Duration TaskTracker::contactTimeout() const
{
    return std::min<Duration>(m_intervals.renewal, m_intervals.report) + CONTACT_TIMEOUT_MARGIN;
}

void TaskTracker::notifyJobsOf(const WorkerState &worker)
{
    for (const TaskId &id : worker.tasks) {
        m_updates[id.job].notifyAll();
    }
}

std::vector<TaskId> TaskTracker::tasksInMode(const WorkerId &worker, LeaseMode mode) const
{
    std::vector<TaskId> ids;
    const auto state = m_workers.find(worker);
    if (state == m_workers.end()) {
        return ids;
    }
    for (const TaskId &id : state->second.tasks) {
        if (m_tasks.at(id).mode == mode) {
            ids.push_back(id);
        }
    }
    return ids;
}

void TaskTracker::recordContact(const WorkerId &worker, TimePoint when)
{
    const auto state = m_workers.find(worker);
    if (state == m_workers.end()) {
        return;
    }
    state->second.contactedAt = when;
    for (const TaskId &id : state->second.tasks) {
        m_tasks.at(id).lastContact = when;
    }
}

void TaskTracker::refresh(Epoch epoch)
{
    const TimePoint now = Clock::now();
    for (auto &[id, state] : m_workers) {
        if (now - state.contactedAt > contactTimeout()) {
            notifyJobsOf(state);
        }
        const bool shortDue = state.shortTasks > 0 && now - state.shortRenewedAt >= SHORT_RENEWAL_INTERVAL;
        const bool due = shortDue || now - state.longRenewedAt >= m_intervals.renewal
                         || now - state.reportReadAt >= m_intervals.report;
        if (!state.exchangeInProgress && due) {
            state.exchangeInProgress = true;
            Asio::co_spawn(m_strand, refreshWorker(*this, id, epoch), Asio::detached);
        }
    }
}

Asio::awaitable<void> TaskTracker::refreshWorker(TaskTracker &tracker, WorkerId worker, Epoch epoch)
{
    const auto state = tracker.m_workers.find(worker);
    if (state == tracker.m_workers.end()) {
        co_return;
    }
    const Endpoint address = state->second.address;
    const TimePoint now = Clock::now();
    const bool shortDue = now - state->second.shortRenewedAt >= SHORT_RENEWAL_INTERVAL;
    const bool longDue = now - state->second.longRenewedAt >= tracker.m_intervals.renewal;
    const bool reportDue = now - state->second.reportReadAt >= tracker.m_intervals.report;
    if (shortDue) {
        co_await tracker.renew(worker, address, epoch, LeaseMode::Short);
    }
    if (longDue) {
        co_await tracker.renew(worker, address, epoch, LeaseMode::Long);
    }
    if (reportDue) {
        co_await tracker.readReport(worker, address);
    }
    const auto after = tracker.m_workers.find(worker);
    if (after != tracker.m_workers.end()) {
        after->second.exchangeInProgress = false;
    }
}

Asio::awaitable<void> TaskTracker::renew(WorkerId worker, Endpoint address, Epoch epoch, LeaseMode mode)
{
    const std::vector<TaskId> ids = tasksInMode(worker, mode);
    if (ids.empty()) {
        co_return;
    }
    const TimePoint sent = Clock::now();
    const Millis lease = leaseDuration(mode);
    std::optional<std::vector<TaskId>> lapsed;
    // The worker may renew the leases even if its reply is lost, so their end is recorded before the call.
    for (const TaskId &id : ids) {
        m_tasks.at(id).leaseUntil = std::max(m_tasks.at(id).leaseUntil, sent + lease);
    }
    try {
        lapsed = co_await m_client.renew(address, epoch, lease, ids, sent + CALL_TIMEOUT);
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "renewal-failed", {{"worker", worker.value()}, {"error", error.what()}});
        co_return;
    }
    if (!lapsed) {
        m_superseded = true;
        notifyAll();
        co_return;
    }
    recordContact(worker, Clock::now());
    // A task that has meanwhile entered the mode was not renewed, so the next renewal stays due.
    const std::vector<TaskId> current = tasksInMode(worker, mode);
    const auto state = m_workers.find(worker);
    if (state != m_workers.end() && std::includes(ids.begin(), ids.end(), current.begin(), current.end())) {
        (mode == LeaseMode::Long ? state->second.longRenewedAt : state->second.shortRenewedAt) = sent;
    }
    for (const TaskId &id : *lapsed) {
        const auto found = m_tasks.find(id);
        // A task that has succeeded is not lost: it no longer has a lease.
        const bool known = found != m_tasks.end() && found->second.trackedSince <= sent;
        if (known && found->second.state != TaskState::Succeeded) {
            found->second.lost = true;
            m_updates[id.job].notifyAll();
        }
    }
}

Asio::awaitable<void> TaskTracker::readReport(WorkerId worker, Endpoint address)
{
    const TimePoint sent = Clock::now();
    WorkerReport report;
    try {
        report = co_await m_client.report(address, sent + CALL_TIMEOUT);
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "report-failed", {{"worker", worker.value()}, {"error", error.what()}});
        co_return;
    }
    recordContact(worker, Clock::now());
    const auto state = m_workers.find(worker);
    if (state != m_workers.end()) {
        state->second.reportReadAt = sent;
    }
    for (const TaskReport &task : report.tasks) {
        const auto found = m_tasks.find(task.id);
        if (found != m_tasks.end() && found->second.worker == worker) {
            applyReport(task);
        }
    }
}

} // namespace Papaya
