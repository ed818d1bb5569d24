#pragma once

#include "process/configservice.h"
#include "process/gangrunner.h"
#include "process/guaranteescheduling.h"
#include "process/hostdirectory.h"
#include "process/journal.h"
#include "process/overrun.h"
#include "process/planningview.h"
#include "process/tasktracker.h"
#include "process/workerhealth.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

// The planner's role: claims it when the planner is gone, plans while it is held, and gives it up. Of all instances at
// most one has its decisions counted, by the order of claims in the journal.

namespace Papaya
{

/** What operators see of the planner at this instance. */
struct PlannerStatus {
    bool active = false; ///< this instance plans
    Epoch epoch;
    InstanceId holder;
    std::size_t gangs = 0;
    std::size_t tasks = 0;
    std::size_t workersAtEpoch = 0;
    std::vector<std::string> brokenGuarantees; ///< teams whose guarantee the fleet cannot give now
};

/** The planner of one instance. */
class Planner : public GangOwner
{
public:
    /** @param isolated tells whether another planner may exist that this instance cannot hear of */
    Planner(Asio::io_context &io, Journal &journal, ConfigService &config, HostDirectory &hosts, WorkerClient &client,
            std::function<bool()> isolated, std::string peerAddress, Millis retention, Metrics &metrics);

    void start();
    /** Hands the role over and stops planning; gangs run on. */
    Asio::awaitable<void> resign(TimePoint deadline);
    void stop();

    [[nodiscard]] PlannerStatus status() const;
    /** @return why @p job waits or what it does, in words for an operator. */
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
    [[nodiscard]] std::vector<PartUsage> collectPartUsage(const FleetModel &fleet) const;
    void recordUsage(const std::vector<PartUsage> &usages);
    void handleOverruns(const FleetModel &fleet, const std::vector<PartUsage> &usages);
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
    TimePoint m_mustVerifySince; ///< decisions wait for a read of the journal that began after this
    TimePoint m_lastHeartbeat;
    TimePoint m_lastEpochRaise;
    TimePoint m_lastMaintenance;
    bool m_heartbeatPending = false;
    bool m_maintenancePending = false;
    std::set<WorkerId> m_workersAtEpoch; ///< workers that know this epoch
    std::map<JobId, std::unique_ptr<GangRunner>> m_runners;

    std::vector<std::string> m_brokenGuarantees;
    std::uint64_t m_plannedRevision = 0;   ///< of the ledger, when the last pass was made
    std::uint64_t m_cancelledRevision = 0; ///< of the ledger, when cancellations were last looked for
    TimePoint m_lastPlan;
    Duration m_planInterval {0};

    mutable std::mutex m_statusMutex;
    PlannerStatus m_status;
    std::map<JobId, WaitReason> m_waits; ///< of the last pass
};

} // namespace Papaya
