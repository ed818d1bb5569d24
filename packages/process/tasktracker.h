#pragma once

#include "connection/waiter.h"
#include "connection/workerclient.h"
#include "process/metrics.h"

#include <map>
#include <memory>
#include <set>

// The tasks that the planner holds on workers: their leases, and what the workers report of them. Everything here runs
// on the planner's strand.

namespace Papaya
{

/** How a task's lease is renewed. */
enum class LeaseMode {
    None,  ///< left to lapse
    Short, ///< while the gang is not known to run as a whole
    Long,  ///< while it runs
};

/** First and short leases; a start that is cut in the middle ends itself within this. */
constexpr Millis SHORT_LEASE {1'500};

/** Times that grow with the fleet, so that the planner's cost does not. */
struct ContactIntervals {
    Millis renewal {3'000}; ///< between two renewals for one worker
    Millis report {500};    ///< between two reports of one worker
    /** Leases of running gangs outlive a change of planners and some lost renewals. */
    [[nodiscard]] Millis longLease() const
    {
        return renewal * 4;
    }

    /** @return the times for a fleet of @p workers. */
    static ContactIntervals forFleet(std::size_t workers);
};

/** A task held on a worker. */
struct TrackedTask {
    WorkerId worker;
    Endpoint address;
    LeaseMode mode = LeaseMode::None;
    TimePoint leaseUntil;   ///< counted from when the last renewal was sent
    TimePoint trackedSince; ///< answers to calls sent earlier are not of this holding
    TimePoint lastContact;  ///< last successful exchange about this task
    bool lost = false;      ///< the worker no longer has it
    TaskState state = TaskState::Prepared;
    std::string checkpoint;
    std::optional<Resources> used;        ///< by the last report of the running task
    std::optional<TimePoint> throttledAt; ///< when the worker was told to hold the task to its declared cores
    /** Until then a report of the task's end may be of an earlier attempt. */
    TimePoint ignoreEndsUntil;
};

/** Book of the tasks of all gangs. */
class TaskTracker
{
public:
    TaskTracker(Asio::any_io_executor strand, WorkerClient &client, Metrics &metrics);

    /**
     * Enters a task under a lease that was sent at @p sent.
     * @param repeated an earlier attempt may have been on the same worker, and reports lag
     */
    void add(const TaskId &id, const WorkerId &worker, const Endpoint &address, LeaseMode mode, TimePoint sent,
             bool repeated);
    /** Takes it that another planner may have renewed a task's lease in mode @p mode until @p until. */
    void assumeRenewedUntil(const TaskId &id, TimePoint until, LeaseMode mode);
    /** Changes how the lease is renewed. */
    void setLeaseMode(const TaskId &id, LeaseMode mode);
    /** Adapts the times to the number of listed workers. */
    void setFleetSize(std::size_t workers);
    void remove(const TaskId &id);
    void clear();

    [[nodiscard]] const TrackedTask *find(const TaskId &id) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_tasks.size();
    }

    /** The worker knows the current epoch, so that no earlier planner can renew leases there any longer. */
    void epochRaised(const WorkerId &worker);

    /** Notes that the worker is told to throttle a task. */
    void markThrottled(const TaskId &id);
    /** Notes a checkpoint that a worker named at once. */
    void setCheckpoint(const TaskId &id, const std::string &checkpoint);
    /** Notes what a worker said of a task, and notifies its job if that is news. */
    void applyReport(const TaskReport &report);

    /** Renews the leases that are due and reads the reports that are due, without waiting for the workers. Notifies the
     *  jobs of workers that have gone silent. */
    void refresh(Epoch epoch);

    /** @return true if the worker of @p task has not been heard from for longer than a healthy one ever is. */
    [[nodiscard]] bool contactTimedOut(const TrackedTask &task, TimePoint now) const;

    /** @return true if a worker has seen a higher epoch than the one it was sent. */
    [[nodiscard]] bool superseded() const
    {
        return m_superseded;
    }

    /** @return the broadcast that is notified when something is learned of a task of @p job. */
    Broadcast &updates(const JobId &job)
    {
        return m_updates[job];
    }

private:
    struct WorkerState {
        Endpoint address;
        std::set<TaskId> tasks;
        std::size_t shortTasks = 0; ///< of these, those in short mode
        TimePoint contactedAt;      ///< last successful exchange
        TimePoint shortRenewedAt;
        TimePoint longRenewedAt;
        TimePoint reportReadAt;
        bool exchangeInProgress = false; ///< an exchange is under way
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
    bool m_superseded = false;
    ContactIntervals m_intervals;
    std::map<JobId, Broadcast> m_updates;
    std::map<std::pair<TaskId, WorkerId>, TimePoint> m_removedAt; ///< as long as reports may still show them
    TimePoint m_clearedAt;                                        ///< holdings before this are not known
};

} // namespace Papaya
