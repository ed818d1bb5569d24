#pragma once

#include "connection/waiter.h"
#include "connection/workerclient.h"
#include "process/metrics.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

// Tracks the planner's tasks on workers: renews their leases and reads the workers' reports of them. Everything here
// runs on the planner's strand.

namespace Papaya
{

/** How a task's lease is renewed. */
enum class LeaseMode {
    None,  ///< not renewed, so that it lapses
    Short, ///< from the preparation until the parts are told to run
    Long,  ///< while the gang runs
};

/** Duration of first and short leases, within which the parts of an interrupted start end by themselves. */
constexpr Millis SHORT_LEASE {1'500};

/** Intervals between contacts with a worker. They grow with the fleet to bound the planner's rate of calls. */
struct ContactIntervals {
    Millis renewal {3'000}; ///< between two renewals of long leases on one worker
    Millis report {500};    ///< between two reads of one worker's report
    /** @return the duration of long leases, which outlive a change of the planner and some lost renewals. */
    [[nodiscard]] Millis longLease() const
    {
        return renewal * 4;
    }

    /** @return the intervals for a fleet of @p workers workers. */
    static ContactIntervals forFleet(std::size_t workers);
};

/** A task on a worker, as far as the planner knows it. */
struct TrackedTask {
    WorkerId worker;
    Endpoint address;
    LeaseMode mode = LeaseMode::None;
    TimePoint leaseUntil;   ///< end of the lease, counted from the sending of the last call that may have extended it
    TimePoint trackedSince; ///< replies to renewals sent earlier refer to an earlier task
    TimePoint lastContact;  ///< last successful call to the worker
    bool lost = false;      ///< the worker has reported that it no longer has the task
    TaskState state = TaskState::Prepared;
    std::string checkpoint;
    std::optional<Resources> used;        ///< use in the last report of the running task
    std::optional<TimePoint> throttledAt; ///< when the worker was told to limit the task to its declared cores
    /** Reports of the task's end before this time are ignored, as they may refer to an earlier attempt. */
    TimePoint ignoreEndsUntil;
};

/** The tasks of all gangs that this planner drives. */
class TaskTracker
{
public:
    TaskTracker(Asio::any_io_executor strand, WorkerClient &client, Metrics &metrics);

    /**
     * Adds a task, or replaces it.
     * @param sent when the call that grants the first lease is sent
     * @param repeated true if an earlier attempt may have had this part on the same worker, so that lagging reports may
     * still refer to it
     */
    void add(const TaskId &id, const WorkerId &worker, const Endpoint &address, LeaseMode mode, TimePoint sent,
             bool repeated);
    /** Extends the latest end of a task's lease, as another planner may renew it in mode @p mode until @p until. */
    void assumeRenewedUntil(const TaskId &id, TimePoint until, LeaseMode mode);
    /** Changes how a task's lease is renewed. */
    void setLeaseMode(const TaskId &id, LeaseMode mode);
    /** Adapts the intervals to the number of listed workers. */
    void setFleetSize(std::size_t workers);
    /** Stops tracking a task; unknown ones are ignored. */
    void remove(const TaskId &id);
    /** Stops tracking all tasks, and notifies all subscribers. */
    void clear();

    /** @return the task, or null if it is not tracked. */
    [[nodiscard]] const TrackedTask *find(const TaskId &id) const;
    /** @return the number of tracked tasks. */
    [[nodiscard]] std::size_t size() const
    {
        return m_tasks.size();
    }

    /** Records that @p worker has accepted the current epoch, so that no earlier planner can renew leases there. */
    void epochRaised(const WorkerId &worker);

    /** Records that the worker is being told to throttle a task. */
    void markThrottled(const TaskId &id);
    /** Records a checkpoint that a worker named in its reply to a command. */
    void setCheckpoint(const TaskId &id, const std::string &checkpoint);
    /** Applies a worker's report of a task, and notifies the subscribers of its job if something has changed. */
    void applyReport(const TaskReport &report);

    /** @return the workers from which a report of running tasks was read since the last call of this function. */
    std::set<WorkerId> takeReportingWorkers()
    {
        return std::exchange(m_reportingWorkers, {});
    }
    /** @return the tasks tracked on @p worker. */
    [[nodiscard]] std::set<TaskId> tasksOn(const WorkerId &worker) const;

    /** Starts the renewals and report reads that are due, without waiting for them. Notifies the subscribers of the
     * jobs on workers whose contact time-out has passed. */
    void refresh(Epoch epoch);

    /** @return true if no call to the worker of @p task has succeeded for longer than the contact time-out, which
     * allows for the interval between two contacts. */
    [[nodiscard]] bool contactTimedOut(const TrackedTask &task, TimePoint now) const;

    /** @return true if a worker has rejected a renewal because it has seen a higher epoch. */
    [[nodiscard]] bool superseded() const
    {
        return m_superseded;
    }

    /** @return the broadcast that is notified when the known state of a task of @p job changes. */
    Broadcast &updates(const JobId &job)
    {
        return m_updates[job];
    }

private:
    struct WorkerState {
        Endpoint address;
        std::set<TaskId> tasks;
        std::size_t shortTasks = 0; ///< number of these in short mode
        TimePoint contactedAt;      ///< last successful call
        TimePoint shortRenewedAt;
        TimePoint longRenewedAt;
        TimePoint reportReadAt;
        bool exchangeInProgress = false;
    };

    static Asio::awaitable<void> refreshWorker(TaskTracker &tracker, WorkerId worker, Epoch epoch);
    Asio::awaitable<void> renew(WorkerId worker, Endpoint address, Epoch epoch, LeaseMode mode);
    Asio::awaitable<void> readReport(WorkerId worker, Endpoint address);
    [[nodiscard]] std::vector<TaskId> tasksInMode(const WorkerId &worker, LeaseMode mode) const;
    void assignLeaseMode(TrackedTask &task, LeaseMode mode);
    void notifyJobsOf(const WorkerState &worker);
    [[nodiscard]] Duration contactTimeout() const;
    [[nodiscard]] Millis leaseDuration(LeaseMode mode) const;
    void notifyAll();
    void recordContact(const WorkerId &worker, TimePoint when);
    [[nodiscard]] TimePoint earlierReportsUntil(const TaskId &id, const WorkerId &worker) const;

    Asio::any_io_executor m_strand;
    WorkerClient &m_client;
    Metrics &m_metrics;
    std::map<TaskId, TrackedTask> m_tasks;
    std::map<WorkerId, WorkerState> m_workers;
    std::set<WorkerId> m_reportingWorkers;
    bool m_superseded = false;
    ContactIntervals m_intervals;
    std::map<JobId, Broadcast> m_updates;
    std::map<std::pair<TaskId, WorkerId>, TimePoint> m_removedAt; ///< kept while reports may still show the tasks
    TimePoint m_clearedAt; ///< last call of clear(), which forgets earlier removals
};

} // namespace Papaya
