#pragma once

#include "process/configservice.h"
#include "process/gangrunner.h"
#include "process/guaranteescheduling.h"
#include "process/hostdirectory.h"
#include "process/journal.h"
#include "process/overrun.h"
#include "process/planningview.h"
#include "process/taskbook.h"
#include "process/workerhealth.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

// The planner role: claims it when there is no live planner, plans while holding it, and hands it over. The order of
// claims in the journal ensures that the decisions of at most one instance are accepted.

namespace Papaya
{

/** The planner's state at this instance, for operators. */
struct PlannerStatus {
    bool active = false; ///< this instance plans
    Epoch epoch;
    InstanceId holder;
    std::size_t gangs = 0;                     ///< attempts that this instance drives
    std::size_t tasks = 0;                     ///< tasks that this instance tracks on workers
    std::size_t workersAtEpoch = 0;            ///< workers that have accepted the current epoch
    std::vector<std::string> brokenGuarantees; ///< teams with a guarantee that the fleet cannot satisfy now
};

/** The planner of one instance. Planning runs on a strand; status() and explain() may be called from any thread. */
class Planner : public GangOwner
{
public:
    /**
     * @param isolated returns true if another planner may exist that this instance cannot learn of
     * @param peerAddress address of this instance's peer listener, published in its claims
     * @param retention how long the log service keeps records
     */
    Planner(Asio::io_context &io, Journal &journal, ConfigService &config, HostDirectory &hosts, WorkerClient &client,
            std::function<bool()> isolated, std::string peerAddress, Millis retention, Metrics &metrics);

    void start();
    /**
     * Hands over the role, stops planning and never claims the role again; running gangs continue.
     * @param deadline limit for recording the resignation in the journal
     */
    Asio::awaitable<void> resign(TimePoint deadline);
    void stop();

    [[nodiscard]] PlannerStatus status() const;
    /** @return the state of @p job and the reason for it, as a text for operators. */
    [[nodiscard]] std::string explain(const JobId &job) const;

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    static Asio::awaitable<void> loop(Planner &self);
    Asio::awaitable<void> tick();
    Asio::awaitable<void> claimRoleIfDue();
    Asio::awaitable<void> takeOver();
    Asio::awaitable<void> raiseEpochs();
    Asio::awaitable<void> raiseEpochOn(Host worker, Epoch epoch);
    void stopOrphanTasks(const Host &worker, const WorkerReport &report);
    void adoptGangs();
    void adoptGang(const Job &job, const HostSnapshot &hosts);
    void leaveRole();
    void runPeriodicWork();
    void plan();
    void startGang(const PlaceDecision &decision, const FleetModel &fleet, const HostSnapshot &hosts);
    void stopGang(const StopDecision &decision);
    void recordWaits(const ScheduleDecision &decision);
    [[nodiscard]] PlanningView planningView(const FleetModel &workers);
    /** Records the resource use in new reports, and throttles or stops work on workers that they show overcommitted. */
    void handleReports();
    void recordUsage(const GangRunner &runner);
    void handleOverruns(const OverrunDecision &decision);
    static Asio::awaitable<void> throttle(Planner &self, TaskId task, Epoch epoch);
    void startRunner(GangAttempt attempt, GangState initialState);
    void stopCancelledGangs();
    void updateStandings();
    [[nodiscard]] std::size_t workerCount() const;
    void updateStatus();
    [[nodiscard]] FleetModel fleet(const Ledger &ledger) const;
    [[nodiscard]] Duration claimDelay(const PlannerRole &role) const;
    [[nodiscard]] bool holdsRole() const;

    [[nodiscard]] bool isActiveEpoch(Epoch epoch) const override;
    void superseded() override;
    void partEnded(const WorkerId &worker, const JobId &job, bool succeeded) override;

    Journal &m_journal;
    ConfigService &m_config;
    HostDirectory &m_hosts;
    WorkerClient &m_client;
    std::function<bool()> m_isolated;
    const std::string m_peerAddress;
    const Millis m_retention;
    Metrics &m_metrics;
    Strand m_strand;
    TaskTracker m_tasks;
    GuaranteeScheduling m_scheduling;
    RunTimeEstimator m_runTimeEstimator;
    SizeEstimator m_sizeEstimator;
    WorkerHealth m_health;

    bool m_stopped = false;
    bool m_resigning = false;
    bool m_active = false;
    Epoch m_epoch;
    TimePoint m_lastTick;
    TimePoint m_mustVerifySince; ///< no decisions until a read of the journal that began at or after this
    TimePoint m_lastHeartbeat;
    TimePoint m_lastEpochRaise;
    TimePoint m_lastMaintenance;
    bool m_heartbeatPending = false;
    bool m_maintenancePending = false;
    std::set<WorkerId> m_workersAtEpoch; ///< workers that have accepted m_epoch
    std::map<JobId, std::unique_ptr<GangRunner>> m_runners;

    std::vector<std::string> m_brokenGuarantees;
    std::uint64_t m_plannedRevision = 0;   ///< ledger revision at the last pass
    std::uint64_t m_cancelledRevision = 0; ///< ledger revision at the last check for cancellations
    TimePoint m_lastPlan;
    Duration m_planInterval {0};

    mutable std::mutex m_statusMutex;
    PlannerStatus m_status;
    std::map<JobId, WaitReason> m_waits; ///< from the last pass
};

} // namespace Papaya
