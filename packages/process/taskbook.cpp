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
constexpr Millis LONG_RENEWAL {3'000};
constexpr Millis MIN_REPORT_INTERVAL {500};
constexpr Millis REPORT_INTERVAL_PER_WORKER {10}; // keeps the planner's cost flat as the fleet grows
constexpr Millis REPORT_LAG_ALLOWED {5'000};
constexpr Millis CALL_LIMIT {1'000};
constexpr Millis SILENCE_ALLOWED {2'500}; // beyond the interval between two contacts

} // namespace

TaskBook::TaskBook(Asio::any_io_executor strand, WorkerClient &client, Metrics &metrics)
    : m_strand(std::move(strand))
    , m_client(client)
    , m_metrics(metrics)
{
}

void TaskBook::hold(const TaskId &id, const WorkerId &worker, const Endpoint &address, LeaseMode mode, TimePoint sent,
                    bool repeated)
{
    HeldTask &task = m_tasks[id];
    task = {};
    task.worker = worker;
    task.address = address;
    task.mode = mode;
    task.leaseUntil = sent + (mode == LeaseMode::Long ? LONG_LEASE : SHORT_LEASE);
    task.lastContact = Clock::now();
    task.endsDoubtfulUntil = repeated ? task.lastContact + REPORT_LAG_ALLOWED : TimePoint {};
    WorkerState &state = m_workers[worker];
    state.address = address;
    state.tasks.insert(id);
}

void TaskBook::setMode(const TaskId &id, LeaseMode mode)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    found->second.mode = mode;
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
    const auto worker = m_workers.find(found->second.worker);
    if (worker != m_workers.end()) {
        worker->second.tasks.erase(id);
        if (worker->second.tasks.empty()) {
            m_workers.erase(worker);
        }
    }
    m_tasks.erase(found);
}

void TaskBook::clear()
{
    m_tasks.clear();
    m_workers.clear();
    m_superseded = false;
    m_changed.notifyAll();
}

const HeldTask *TaskBook::find(const TaskId &id) const
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

void TaskBook::epochRaised(const WorkerId &worker)
{
    const TimePoint latest = Clock::now() + LONG_LEASE;
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

void TaskBook::note(const TaskReport &report)
{
    const auto found = m_tasks.find(report.id);
    if (found == m_tasks.end()) {
        return;
    }
    HeldTask &task = found->second;
    const bool ended =
        report.state == TaskState::Succeeded || report.state == TaskState::Failed || report.state == TaskState::Stopped;
    if (!ended) {
        task.endsDoubtfulUntil = {};
    } else if (Clock::now() < task.endsDoubtfulUntil) {
        return;
    }
    task.state = report.state;
    if (!report.checkpoint.empty()) {
        task.checkpoint = report.checkpoint;
    }
}

Duration TaskBook::reportInterval() const
{
    return std::max<Duration>(MIN_REPORT_INTERVAL, REPORT_INTERVAL_PER_WORKER * m_workers.size());
}

bool TaskBook::silent(const HeldTask &task, TimePoint now) const
{
    const Duration interval = std::min<Duration>(LONG_RENEWAL, reportInterval());
    return now - task.lastContact > interval + SILENCE_ALLOWED;
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
    for (const TaskId &id : state->second.tasks) {
        m_tasks.at(id).lastContact = when;
    }
}

void TaskBook::refresh(Epoch epoch)
{
    for (auto &[id, state] : m_workers) {
        if (!state.busy) {
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
    const bool longDue = now - state->second.longRenewedAt >= LONG_RENEWAL;
    const bool reportDue = now - state->second.reportReadAt >= book.reportInterval();
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
    const Millis lease = mode == LeaseMode::Long ? LONG_LEASE : SHORT_LEASE;
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
        m_changed.notifyAll();
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
        if (found != m_tasks.end() && found->second.state != TaskState::Succeeded) {
            found->second.lost = true;
        }
    }
    if (!lapsed->empty()) {
        m_changed.notifyAll();
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
    m_changed.notifyAll();
}

} // namespace Papaya
