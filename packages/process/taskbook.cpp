#include "process/taskbook.h"

#include "process/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis SHORT_RENEWAL {400};
constexpr Millis MIN_RENEWAL {3'000};
constexpr Millis MIN_REPORT_INTERVAL {500};
constexpr Millis INTERVAL_PER_WORKER {20}; // at most 50 renewals and 50 reports a second, whatever the fleet
constexpr Millis REPORT_LAG_ALLOWED {5'000};
constexpr Millis CALL_LIMIT {1'000};
constexpr Millis SILENCE_ALLOWED {2'500}; // beyond the interval between two contacts

} // namespace

LeaseTimes LeaseTimes::forFleet(std::size_t workers)
{
    const Millis interval = INTERVAL_PER_WORKER * static_cast<std::int64_t>(workers);
    LeaseTimes times;
    times.renewal = std::max(MIN_RENEWAL, interval);
    times.report = std::max(MIN_REPORT_INTERVAL, interval);
    return times;
}

TaskBook::TaskBook(Asio::any_io_executor strand, WorkerClient &client, Metrics &metrics)
    : m_strand(std::move(strand))
    , m_client(client)
    , m_metrics(metrics)
{
}

void TaskBook::hold(const TaskId &id, const WorkerId &worker, const Endpoint &address, LeaseMode mode, TimePoint sent,
                    bool repeated)
{
    forget(id);
    HeldTask &task = m_tasks[id];
    task.worker = worker;
    task.address = address;
    task.leaseUntil = sent + leaseIn(mode);
    task.heldSince = Clock::now();
    task.lastContact = task.heldSince;
    task.endsDoubtfulUntil = repeated ? doubtfulUntil(id, worker) : TimePoint {};
    WorkerState &state = m_workers[worker];
    if (state.tasks.empty()) {
        state.heardAt = task.heldSince;
    }
    state.address = address;
    state.tasks.insert(id);
    changeMode(task, mode);
}

void TaskBook::assumeRenewedUntil(const TaskId &id, TimePoint until, LeaseMode mode)
{
    HeldTask &task = m_tasks.at(id);
    task.leaseUntil = std::max(task.leaseUntil, until + leaseIn(mode));
}

Millis TaskBook::leaseIn(LeaseMode mode) const
{
    return mode == LeaseMode::Long ? m_times.longLease() : SHORT_LEASE;
}

void TaskBook::changeMode(HeldTask &task, LeaseMode mode)
{
    WorkerState &state = m_workers[task.worker];
    state.shortTasks -= task.mode == LeaseMode::Short ? 1U : 0U;
    state.shortTasks += mode == LeaseMode::Short ? 1U : 0U;
    task.mode = mode;
}

TimePoint TaskBook::doubtfulUntil(const TaskId &id, const WorkerId &worker) const
{
    const auto forgotten = m_forgottenAt.find({id, worker});
    return REPORT_LAG_ALLOWED + (forgotten == m_forgottenAt.end() ? m_clearedAt : forgotten->second);
}

void TaskBook::setMode(const TaskId &id, LeaseMode mode)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    changeMode(found->second, mode);
    if (mode == LeaseMode::Long) {
        m_workers[found->second.worker].longRenewedAt = {};
    }
}

void TaskBook::forget(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const TimePoint now = Clock::now();
    std::erase_if(m_forgottenAt, [&](const auto &entry) { return now - entry.second > REPORT_LAG_ALLOWED; });
    m_forgottenAt[{id, found->second.worker}] = now;
    const auto worker = m_workers.find(found->second.worker);
    if (worker != m_workers.end()) {
        changeMode(found->second, LeaseMode::None);
        worker->second.tasks.erase(id);
        if (worker->second.tasks.empty()) {
            m_workers.erase(worker);
        }
    }
    m_tasks.erase(found);
    const auto next = m_tasks.lower_bound({id.job, PartIndex(0)});
    if (next == m_tasks.end() || next->first.job != id.job) {
        m_changed.erase(id.job);
    }
}

void TaskBook::clear()
{
    m_tasks.clear();
    m_workers.clear();
    m_forgottenAt.clear();
    m_clearedAt = Clock::now();
    m_superseded = false;
    notifyAll();
}

void TaskBook::setFleetSize(std::size_t workers)
{
    m_times = LeaseTimes::forFleet(workers);
}

void TaskBook::notifyAll()
{
    for (auto &[job, changed] : m_changed) {
        changed.notifyAll();
    }
}

const HeldTask *TaskBook::find(const TaskId &id) const
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

void TaskBook::epochRaised(const WorkerId &worker)
{
    const TimePoint latest = Clock::now() + m_times.longLease();
    for (auto &[id, task] : m_tasks) {
        if (task.worker == worker) {
            task.leaseUntil = std::min(task.leaseUntil, latest);
        }
    }
}

void TaskBook::noteCheckpoint(const TaskId &id, const std::string &checkpoint)
{
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end()) {
        found->second.checkpoint = checkpoint;
    }
}

void TaskBook::noteThrottled(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end()) {
        found->second.throttledAt = Clock::now();
    }
}

void TaskBook::note(const TaskReport &report)
{
    const auto found = m_tasks.find(report.id);
    if (found == m_tasks.end()) {
        return;
    }
    HeldTask &task = found->second;
    const bool ended =
        report.state == TaskState::Succeeded || report.state == TaskState::Failed || report.state == TaskState::Stopped;
    if (ended && Clock::now() < task.endsDoubtfulUntil) {
        return;
    }
    const bool newCheckpoint = !report.checkpoint.empty() && report.checkpoint != task.checkpoint;
    const bool news = report.state != task.state || newCheckpoint;
    task.state = report.state;
    if (report.state == TaskState::Running) {
        task.used = report.used;
    }
    if (newCheckpoint) {
        task.checkpoint = report.checkpoint;
    }
    if (news) {
        m_changed[report.id.job].notifyAll();
    }
}

bool TaskBook::silent(const HeldTask &task, TimePoint now) const
{
    return now - task.lastContact > silenceLimit();
}

Duration TaskBook::silenceLimit() const
{
    return std::min<Duration>(m_times.renewal, m_times.report) + SILENCE_ALLOWED;
}

void TaskBook::notifyJobsOf(const WorkerState &worker)
{
    for (const TaskId &id : worker.tasks) {
        m_changed[id.job].notifyAll();
    }
}

std::vector<TaskId> TaskBook::tasksIn(const WorkerId &worker, LeaseMode mode) const
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

void TaskBook::heardFrom(const WorkerId &worker, TimePoint when)
{
    const auto state = m_workers.find(worker);
    if (state == m_workers.end()) {
        return;
    }
    state->second.heardAt = when;
    for (const TaskId &id : state->second.tasks) {
        m_tasks.at(id).lastContact = when;
    }
}

void TaskBook::refresh(Epoch epoch)
{
    const TimePoint now = Clock::now();
    for (auto &[id, state] : m_workers) {
        if (now - state.heardAt > silenceLimit()) {
            notifyJobsOf(state);
        }
        const bool shortDue = state.shortTasks > 0 && now - state.shortRenewedAt >= SHORT_RENEWAL;
        const bool due =
            shortDue || now - state.longRenewedAt >= m_times.renewal || now - state.reportReadAt >= m_times.report;
        if (!state.busy && due) {
            state.busy = true;
            Asio::co_spawn(m_strand, refreshWorker(*this, id, epoch), Asio::detached);
        }
    }
}

Asio::awaitable<void> TaskBook::refreshWorker(TaskBook &book, WorkerId worker, Epoch epoch)
{
    const auto state = book.m_workers.find(worker);
    if (state == book.m_workers.end()) {
        co_return;
    }
    const Endpoint address = state->second.address;
    const TimePoint now = Clock::now();
    const bool shortDue = now - state->second.shortRenewedAt >= SHORT_RENEWAL;
    const bool longDue = now - state->second.longRenewedAt >= book.m_times.renewal;
    const bool reportDue = now - state->second.reportReadAt >= book.m_times.report;
    if (shortDue) {
        co_await book.renew(worker, address, epoch, LeaseMode::Short);
    }
    if (longDue) {
        co_await book.renew(worker, address, epoch, LeaseMode::Long);
    }
    if (reportDue) {
        co_await book.readReport(worker, address);
    }
    const auto after = book.m_workers.find(worker);
    if (after != book.m_workers.end()) {
        after->second.busy = false;
    }
}

Asio::awaitable<void> TaskBook::renew(WorkerId worker, Endpoint address, Epoch epoch, LeaseMode mode)
{
    const std::vector<TaskId> ids = tasksIn(worker, mode);
    if (ids.empty()) {
        co_return;
    }
    const TimePoint sent = Clock::now();
    const Millis lease = leaseIn(mode);
    std::optional<std::vector<TaskId>> lapsed;
    // Whether or not the worker answers, it may have renewed the leases, so they count from this sending.
    for (const TaskId &id : ids) {
        m_tasks.at(id).leaseUntil = std::max(m_tasks.at(id).leaseUntil, sent + lease);
    }
    try {
        lapsed = co_await m_client.renew(address, epoch, lease, ids, sent + CALL_LIMIT);
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "renewal-failed", {{"worker", worker.value()}, {"error", error.what()}});
        co_return;
    }
    if (!lapsed) {
        m_superseded = true;
        notifyAll();
        co_return;
    }
    heardFrom(worker, Clock::now());
    const auto state = m_workers.find(worker);
    if (state != m_workers.end()) {
        (mode == LeaseMode::Long ? state->second.longRenewedAt : state->second.shortRenewedAt) = sent;
    }
    for (const TaskId &id : *lapsed) {
        const auto found = m_tasks.find(id);
        // A task that has ended is not running under a lease either.
        const bool known = found != m_tasks.end() && found->second.heldSince <= sent;
        if (known && found->second.state != TaskState::Succeeded) {
            found->second.lost = true;
            m_changed[id.job].notifyAll();
        }
    }
}

Asio::awaitable<void> TaskBook::readReport(WorkerId worker, Endpoint address)
{
    const TimePoint sent = Clock::now();
    WorkerReport report;
    try {
        report = co_await m_client.report(address, sent + CALL_LIMIT);
    } catch (const HttpError &error) {
        logEvent(LogLevel::Debug, "report-failed", {{"worker", worker.value()}, {"error", error.what()}});
        co_return;
    }
    heardFrom(worker, Clock::now());
    const auto state = m_workers.find(worker);
    if (state != m_workers.end()) {
        state->second.reportReadAt = sent;
    }
    for (const TaskReport &task : report.tasks) {
        const auto found = m_tasks.find(task.id);
        if (found != m_tasks.end() && found->second.worker == worker) {
            note(task);
        }
    }
}

} // namespace Papaya
