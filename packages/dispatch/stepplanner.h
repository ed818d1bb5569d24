#pragma once

#include "dispatch/admissionoracle.h"
#include "dispatch/assignment.h"
#include "dispatch/deploymentview.h"
#include "dispatch/freshness.h"
#include "dispatch/journalwriter.h"
#include "dispatch/minionlink.h"
#include "dispatch/plannerload.h"
#include "dispatch/stepmetrics.h"
#include "dispatch/upkeepcontroller.h"
#include "evacuation/coldminions.h"
#include "evacuation/placeevacuations.h"
#include "evacuation/servicemoves.h"
#include "interference/interference.h"
#include "speeds/fastminions.h"
#include "speeds/stragglers.h"
#include "steps/admissionturns.h"
#include "steps/idlejobs.h"
#include "steps/stepscheduler.h"
#include "steps/succession.h"
#include "steps/waitreason.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Carries out the scheduler's decisions on the minions and renews the leases of running tasks.
//
// 1. A start is journaled before it is ordered, so that a successor knows of every run that may exist.
// 2. The end of a unit is journaled before it is acknowledged to the minion, which then forgets it. Which members of a
//    unit have ended is journaled only if the others take long to end; see recordMemberEnds(). A long poll that
//    acknowledges ends and reaches the next instance of the minion could make that one forget its own ends, so a
//    restarted minion gets no work while such a poll may be in progress.
// 3. A member counts as running until one of these holds: the minion refuses the first order to start it, the minion
//    lists its end, a later poll does not list the run, another minion answers at its address, or the lease has expired
//    even on the slowest permitted clock. Until then its unit is not started elsewhere. This holds also if the minion
//    has restarted, since its new instance may have accepted the start before the restart was noticed. Orders to the
//    new instance have a higher fence, so that it refuses those that were sent to the former one and are carried out
//    late.
// 4. A start leaves this node only while its minion may get work and the view of minions and jobs is not older than
//    Context::maxViewAge. Both are checked when the order is written, as it may have waited for the journal, for its
//    turn or for a connection. While the view is too old, nothing is placed or started.
// 5. A planner that has stored nothing for RENEWAL_WINDOW_MS renews no leases. A successor that cannot reach a minion
//    waits for PRIOR_LEASE_SPAN_MS, which covers that window and one lease, before it restarts the minion's work. It
//    records the minion as silent and withdraws the record before it grants it a lease, so that the wait does not begin
//    anew with the next successor.
// 6. If another minion refuses a poll, the instance that had its address has ended. The minion may have come back at
//    another address, so this counts only for its newest entry, and once every entry has been read that a predecessor
//    may have used. One that has not noticed the take-over sends starts for up to Context::maxViewAge, so for its
//    starts only a poll counts that was sent after that.
// 7. A planner also records a minion as silent that has stopped to answer and whose lease ends within LEASE_MS. It has
//    raised the minion's fence, so that no earlier planner grants a lease either, and grants none itself before the
//    withdrawal is stored. So a successor that finds the record waits only for LAST_LEASE_SPAN_MS from when it read it.
//    No record is made while another instance may carry out a start late, as its lease has only the minion's limit.
// 8. The wait for PRIOR_LEASE_SPAN_MS ends LAST_LEASE_SPAN_MS after the last possible renewal by any earlier planner. A
//    planner can have renewed for RENEWAL_WINDOW_MS after the first record of its successor was read, unless an earlier
//    end is proven: it has journaled its resignation, or its node says that this planner has ended or runs a new
//    process. Planners from the one that has recorded the minion as silent on count only if they have reached it. A
//    lease that was granted by the clock of a former instance may last longer, so the minion must have been up before
//    all of its jobs were submitted, by its entry or by the record of its silence.

namespace Papaya
{

/** Runs on the leading node, from its claim until it resigns or loses leadership. */
class StepPlanner : public std::enable_shared_from_this<StepPlanner>, private FleetAccess
{
public:
    /** Dependencies of the planner; all of them must outlive it. */
    struct Context {
        Asio::io_context &io;
        RecordStore &store;
        MinionControl &minionControl;
        AdmissionOracle *oracle;  ///< null if the deployment has none
        MachineControl *machines; ///< null if the deployment has none
        const DeploymentCodec &codec;
        JobTable &jobTable;
        RunTimes &times;
        StepMetrics &metrics;
        std::function<const DeploymentConfig *()> config;
        std::function<const ConfigDocument &()> configDocument;
        std::function<const std::map<WaveNumber, UpkeepWave> &()> waves;
        std::function<const PlaceEvacuations &()> evacuations;
        std::function<std::int64_t()> wallNow; ///< time of day in milliseconds since 1970, without its jumps
        std::function<Freshness()> freshness;  ///< of the minion entries and the job table
        std::string node;
        std::string peers;        ///< where this node takes records of other nodes; empty if it does not
        std::uint32_t milliCores; ///< CPU limit of this node, in thousandths of a core
        Millis endedJobRetention; ///< how long an ended job is kept in the job table
        Millis maxLease;          ///< minions shorten longer leases to this
        SpeedUse speedUse;        ///< of the learned speeds of minions
        Millis maxViewAge;        ///< of the view on which a start rests when it is sent
        std::function<void(const char *reason)> onLeadershipLost; ///< called once, when leadership is lost
        std::optional<std::vector<PriorPlanner>> priors;          ///< the earlier planners; empty if they are unknown
    };

    /**
     * Takes over the units that the journal shows as placed and starts planning.
     * @param writer appends to the journal
     * @param status appends to the operator's status topic
     * @param epoch the epoch that this node has claimed
     * @param minions the minions listed at present
     */
    static std::shared_ptr<StepPlanner> begin(Context context, std::shared_ptr<JournalWriter> writer,
                                              std::shared_ptr<JournalWriter> status, Epoch epoch,
                                              const std::map<MinionId, MinionEntry> &minions);

    /** Handles a new or changed entry of a minion. */
    void minionListed(const MinionEntry &entry);
    void minionUnlisted(const MinionId &id);
    /**
     * Takes note of evidence that the earlier planner of @p epoch has renewed no lease after @p atMs, in bootMillis().
     * What counts is that its node has said so, or runs another process.
     */
    void priorRenewalsEnded(Epoch epoch, std::int64_t atMs);
    /** @return true if evidence of when the planner of @p epoch ceased to renew leases can still shorten a wait. */
    [[nodiscard]] bool seeksPriorRenewalsEnd(Epoch epoch) const;
    /** Reacts to a change of Context::evacuations. */
    void evacuationsChanged();
    /** Reacts to a submission or cancellation that has already been applied to the job table. */
    void jobChanged(const JobId &id);
    /** Does periodic work: heartbeats, expired leases, moves off leaving minions and clean-up. To be called about every
     * 100 ms. */
    void tick();
    /** Gives up leadership; @p done is called once the resignation is journaled, or can no longer be. */
    void resign(std::function<void()> done);
    /** Stops planning without journaling a resignation. */
    void stop();

    /** @return for each unit of @p job that is not done, why it waits or where it runs. */
    [[nodiscard]] std::map<UnitKey, WaitExplanation> explain(const JobId &job) const;
    [[nodiscard]] std::size_t minionCount() const
    {
        return m_links.size();
    }
    /** @return how many pairs of images are known to interfere. */
    [[nodiscard]] std::size_t interferingPairs() const
    {
        return m_interference.pairs().size();
    }
    /** @return how many minions are known to be very slow. */
    [[nodiscard]] std::size_t slowMinionCount() const
    {
        return m_speeds.verySlow();
    }
    [[nodiscard]] Epoch epoch() const
    {
        return m_epoch;
    }

private:
    using AssignmentPtr = std::shared_ptr<Assignment>;

    StepPlanner(Context context, std::shared_ptr<JournalWriter> writer, Epoch epoch);
    void adopt();
    void adoptUnit(const JobEntry &entry, const UnitKey &unit, const UnitStatus &status);
    AssignmentPtr track(const JobEntry &entry, const UnitKey &unit, const UnitStatus &status);

    // Decisions
    void requestPass();
    void pass();
    PlanInput planInput(std::vector<MinionId> &ids) const;
    void startUnit(const UnitStart &decision, const std::vector<MinionId> &ids);
    void stopAssignment(const AssignmentPtr &assignment, const char *reason);
    /** @return true if the minion may get new work. */
    [[nodiscard]] bool isUsable(const MinionLink &link, std::int64_t nowMs) const;
    /** @return true if the minion may not get new work, but for a unit that has waited too long for another. */
    [[nodiscard]] bool isLastResort(const MinionLink &link, std::int64_t nowMs) const;
    /** @return why the minion may not get new work; empty if it may. */
    [[nodiscard]] std::string_view obstacleOn(const MinionLink &link, std::int64_t nowMs) const;
    /** @return true if the view of minions and jobs is recent enough to start work, with @p reserve to spare. */
    [[nodiscard]] bool viewIsCurrent(Millis reserve) const;

    // Starts
    /** Orders the units in m_startQueue to start, as long as few orders wait to be sent and the view is current. */
    void sendQueuedStarts();
    void sendQueuedStartsSoon();
    /** @return why the order to start @p member must not be sent, or null if it may be. */
    [[nodiscard]] const char *obstacleTo(const Assignment &assignment, const Member &member) const;
    /** @return a minion of @p assignment with as many start orders in flight as it may have; null if there is none. */
    MinionLink *saturatedMinion(const Assignment &assignment);
    /** Lets the starts that wait for the minion of @p link go on as far as it may have more orders in flight. */
    void resumeStarts(MinionLink &link);
    /** Called when a start order is about to leave. @return false if it must not */
    bool releaseStart(const AssignmentPtr &assignment, std::size_t index);
    /** Gives up a unit of which no start order has been sent. */
    void withdraw(const AssignmentPtr &assignment, const char *reason);

    // Calls to minions
    static Asio::awaitable<void> startMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                             std::size_t index);
    /** Sends the order to start a member, twice if need be. @return the outcome of the last attempt */
    static Asio::awaitable<OrderAnswer> orderStart(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                                   std::size_t index);
    static Asio::awaitable<void> stopMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                            std::size_t index);
    /** Sends the order to stop a member in its turn. @return true if the minion has answered that it does */
    static Asio::awaitable<bool> orderStop(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                           std::size_t index, std::string task);
    static Asio::awaitable<void> stopUnknownRun(std::shared_ptr<StepPlanner> self, MinionId minion, std::string task,
                                                std::uint32_t run);
    /** Has a poll begin that confirms whether runs whose stops were answered are absent; one for all of them. */
    void confirmStop(MinionLink &link);
    static Asio::awaitable<void> confirmStops(std::shared_ptr<StepPlanner> self, MinionId id);
    static Asio::awaitable<void> pollLoop(std::shared_ptr<StepPlanner> self, MinionId id);
    /** Whether a poll may wait for the end of a run. */
    enum class PollKind {
        Waiting,
        Immediate,
    };
    Asio::awaitable<bool> pollOnce(MinionId id, PollKind kind = PollKind::Waiting);
    /** @return a poll of the minion of @p link to be sent at @p nowMs; grants the lease that it carries. */
    PollOrder pollOrder(MinionLink &link, PollKind kind, std::int64_t nowMs);
    /** Handles a poll to @p address that was sent at @p sentMs and has failed. */
    void pollFailed(MinionLink &link, OrderOutcome outcome, const Endpoint &address, std::int64_t sentMs);
    /** Handles the first answered poll with @p fence since the take-over or a restart of the minion. */
    void fenceAnswered(MinionLink &link, Epoch fence, const MinionReport &report);
    /**
     * Handles the answer to a long poll that acknowledged ends.
     * @param knownRestarts restarts of the minion that had been noticed when the poll was sent
     */
    void longPollEnded(MinionLink &link, std::uint64_t knownRestarts);
    /** @return how long the next poll of a minion waits after @p report, which took @p handling. */
    [[nodiscard]] Millis pollPause(const MinionReport &report, Duration handling) const;
    void ensurePolling(MinionLink &link);
    /**
     * @return true if @p fence is that of orders to the present instance of @p minion. If it is refused, another
     * planner has raised the fence; a lower one is refused after a restart of the minion.
     */
    [[nodiscard]] bool hasFence(const MinionId &minion, Epoch fence) const;
    [[nodiscard]] bool mayRenew() const;

    // Admission oracle
    /** Sends the one of @p queries whose turn it is to the oracle, unless a call is in flight. */
    void requestAdmission(const std::vector<AdmissionQuery> &queries);
    static Asio::awaitable<void> queryOracle(std::shared_ptr<StepPlanner> self, AdmissionQuery query,
                                             OracleTerms terms);

    // Throttling of best-effort tasks beside services
    void paceFills(MinionLink &link, std::int64_t nowMs);
    static Asio::awaitable<void> paceMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                            std::size_t index, int percent);

    // Interference between images
    /** Learns from the latest report of a minion. */
    void observeInterference(MinionLink &link, std::int64_t nowMs);
    /** @return the load of each image of filling tasks. */
    static ImageInterference::Loads fillLoads(const std::vector<PlacedMember> &fills);
    /** Fits what is known to the observations, and logs the pairs that have become known. */
    void refitInterference(std::int64_t nowMs);
    /** Brings the preference for minions without interfering images up to date. */
    void updateKeepApart();

    // Evacuation of failure domains
    /** Stops units of long-running steps in evacuated failure domains, so that they restart elsewhere. */
    void moveStrandedServices(std::int64_t nowMs);
    /** @return the running units of long-running steps that are wholly or partly in evacuated failure domains. */
    [[nodiscard]] std::vector<StrandedUnit> strandedUnits() const;
    /** Journals a copy of the requests to evacuate failure domains if the last one is outdated. */
    void journalEvacuations(std::int64_t nowMs);

    // FleetAccess, for machine upkeep
    [[nodiscard]] bool leading() const override
    {
        return m_leading;
    }
    [[nodiscard]] MinionWorkload workloadOn(const MinionId &minion) const override;
    void reserve(std::set<MinionId> minions) override;
    void vacate(const MinionId &minion) override;
    void setGoingDown(const MinionId &minion, bool goingDown) override;
    Asio::awaitable<bool> store(WaveProgress progress) override;
    /** @return how many tasks of @p step are not available. */
    [[nodiscard]] std::uint32_t unavailableTasks(const StepKey &step, const StepSpec &spec) const;
    /**
     * @return how many tasks a stop of @p assignment may make unavailable. A task counts unless its minion has reported
     * that it is not available, since a new planner or a lost link knows nothing of it.
     */
    [[nodiscard]] std::uint32_t tasksToLose(const Assignment &assignment) const;

    // Reports
    void handleReport(MinionLink &link, const MinionReport &report, std::int64_t sentMs);
    void handleEnd(MinionLink &link, const EndedTask &end);
    /**
     * Takes note that a task was done in a run that was taken as lost. Once its end is acknowledged, the task must not
     * run again.
     */
    void acceptDoneOfOtherRun(const EndedTask &end);
    void handleRunning(MinionLink &link, const MinionReport &report, std::int64_t sentMs);
    /** Discards what is known of the former instance of a minion; the present one began at @p startTimeMs. */
    void handleMinionRestart(MinionLink &link, std::int64_t startTimeMs);
    static Asio::awaitable<void> pollRestarted(std::shared_ptr<StepPlanner> self, MinionId id);
    /** Notes that a start was accepted by an instance of the minion that may not be the expected one. */
    void doubtInstance(MinionLink &link, Member &member);
    /** @return the time after which no lease that is granted now can last, on any clock of a minion. */
    [[nodiscard]] std::int64_t leaseBoundMs() const;
    /** @return true if the instance of @p report is so young that orders to a former one may still reach it. */
    [[nodiscard]] bool mayGetFormerOrders(const MinionReport &report) const;
    /**
     * Counts a failed or stuck run against its minion, which gets no new work for a while after several in a row.
     * @param strikes how many failures the run counts as
     */
    void countRunFailure(MinionLink &link, std::int64_t nowMs, std::uint32_t strikes);
    /** @return true if no run on the minion of @p link made progress before its last report. */
    [[nodiscard]] static bool nothingProgresses(const MinionLink &link);
    /** @return true if a run has not progressed since its start or between the last two reports. */
    [[nodiscard]] static bool hasQuietRun(const MinionLink &link);
    AssignmentPtr findTask(const std::string &task, std::uint32_t run, std::size_t &index);
    void memberEnded(const AssignmentPtr &assignment, std::size_t index, EndKind kind);
    void applyOutcome(const AssignmentPtr &assignment);
    void finish(const AssignmentPtr &assignment);
    /** Counts a failed run once, however often its end is listed. */
    static void countFailure(const Assignment &assignment, UnitStatus &status);
    void countFailure(const AssignmentPtr &assignment);
    void expireLeases();
    /**
     * Ends the members on a minion that has ended, since another one refused a poll at its address.
     * @param sentMs when the poll was sent
     */
    void endReplaced(MinionLink &link, std::int64_t sentMs);
    /** Takes note of whether the entry of @p link shows where its minion may have got starts of earlier planners. */
    void checkAddress(MinionLink &link) const;
    /** Stops runs on draining minions that would otherwise be lost, so that they restart elsewhere. */
    void leaveDrainingMinions();
    /** Counts the members of @p assignment, all of which have started, as without progress from @p nowMs. */
    void watchProgress(Assignment &assignment, std::int64_t nowMs);
    /** Stops runs that make no progress, so that they restart on another minion. */
    void moveStuckRuns();

    // Uneven minions
    /** Learns from a run that has done @p percent of its work at @p minionMs on the minion's clock. */
    void observeSpeed(const Assignment &assignment, const Member &member, std::int64_t percent, std::int64_t minionMs);
    /** @return false if the racks of @p assignment slow it down. */
    [[nodiscard]] bool runsAtFullSpeed(const Assignment &assignment) const;
    void refreshSpeeds(std::int64_t nowMs);
    /** @return the running units with a member on a very slow minion, the most urgent first. */
    [[nodiscard]] std::vector<SlowUnit> runsOnSlowMinions(std::int64_t nowMs) const;
    /** Stops units on very slow minions that are expected to end sooner elsewhere. */
    void rerunStragglers(std::int64_t nowMs);

    // Waits
    /** Takes note of work that stands still; logs why and counts it. */
    void noteWaits(std::int64_t nowMs);
    void logWait(const IdleWork &work, const WaitExplanation &why, std::int64_t nowMs);
    /** @return what the placed units do. */
    [[nodiscard]] std::map<UnitKey, RunPhase> runPhases(std::int64_t nowMs) const;
    /** @return why @p unit, which is placed, does not run. */
    [[nodiscard]] std::string explainPlaced(const UnitKey &unit, std::int64_t nowMs) const;

    // Journal
    void record(const UnitKey &unit, UnitStatus status);
    /**
     * Journals which members of a unit have ended if the others take long to end, so that a successor does not wait for
     * the leases of all of them.
     */
    void recordMemberEnds(std::int64_t nowMs);
    /** Journals the configuration in force if its version has not been journaled yet. */
    void journalConfig(std::int64_t nowMs);
    /** Records minions with placed members that this planner does not reach, and withdraws what no longer holds. */
    void recordSilences(std::int64_t nowMs);
    void recordSilence(MinionLink &link, std::uint32_t spell);
    void withdrawSilence(MinionLink &link);
    /** @return the latest end of leases that earlier planners may have granted to @p minion. */
    [[nodiscard]] std::int64_t priorLeaseEndMs(const MinionId &minion) const;
    /**
     * @return the latest end of leases that earlier planners may have granted to the minion of @p link, which has not
     * answered yet, with regard to Context::priors
     */
    [[nodiscard]] std::int64_t provenPriorLeaseEndMs(const MinionLink &link) const;
    /** Removes jobs from the job table and the journal once their retention period is over. */
    void forgetEnded(std::int64_t nowMs);
    /** Removes a job whose deletion has been stored. */
    void forget(const JobId &job);
    /** @return a record that shows that this planner leads, or has @p resigned. */
    [[nodiscard]] StoredRecord announcement(bool resigned) const;
    void flushSoon();
    void flush();
    void stepDown(const char *reason);

    Context m_context;
    std::shared_ptr<JournalWriter> m_writer;
    Epoch m_epoch;
    Epoch m_fence; ///< of the orders to minions that are listed next or restart next
    bool m_leading = true;
    std::map<MinionId, MinionLink> m_links;
    std::map<UnitKey, AssignmentPtr> m_assignments;
    std::map<UnitKey, std::vector<MinionId>> m_avoid; ///< minions on which a unit has failed or got stuck
    std::map<UnitKey, std::uint32_t> m_moves;         ///< how often a unit was moved because it was stuck
    std::map<UnitKey, std::int64_t> m_notBefore;      ///< earliest time of the next start, by unit
    std::vector<StoredRecord> m_pendingRecords;       ///< to be journaled by the next flush
    std::vector<UnitChanged> m_pendingChanges;        ///< the changes among m_pendingRecords
    std::vector<MinionId> m_pendingWithdrawals;       ///< minions whose MinionSilence m_pendingRecords withdraw
    /** Ends of one instance of a minion, up to a number, that the next flush stores. */
    struct PendingEnds {
        MinionId minion;
        std::uint64_t restarts = 0; ///< MinionLink::restarts of the instance
        std::uint64_t upTo = 0;
    };
    std::vector<PendingEnds> m_pendingEnds;
    std::vector<AssignmentPtr> m_pendingStarts;
    std::deque<AssignmentPtr> m_startQueue; ///< journaled units whose start has not been ordered
    std::size_t m_unsentStarts = 0;         ///< start orders that wait for a connection or for their turn
    bool m_sendPosted = false;
    bool m_windowFull = false; ///< the last pass has left units waiting until starts under way are confirmed
    bool m_flushPosted = false;
    bool m_passPosted = false;
    Asio::steady_timer m_passTimer;
    TimePoint m_nextPass; ///< earliest start of the next scheduling pass
    PlannerLoad m_load;
    std::int64_t m_lastStuckCheckMs = 0;
    std::set<JobId> m_stoppedJobs;           ///< ended jobs whose units have been stopped
    std::set<JobId> m_startedJobs;           ///< jobs of which this planner has started a task
    std::map<JobId, std::int64_t> m_endedMs; ///< when each job was first found ended
    std::set<MinionId> m_withdrawn;          ///< minions without a link whose MinionSilence was withdrawn
    std::set<JobId> m_forgetting;            ///< jobs whose deletion has not been stored
    std::int64_t m_lastForgetMs = 0;
    ColdMinions m_coldMinions;
    Interference m_interference;
    std::int64_t m_interferenceLinesFromMs = 0; ///< since when m_interferenceLines are counted
    std::size_t m_interferenceLines = 0;        ///< lines logged on pairs that interfere
    std::int64_t m_lastServiceMoveMs = 0;
    MinionSpeeds m_speeds;
    FastMinions m_fastMinions;
    std::int64_t m_lastSpeedsMs = 0;
    std::set<UnitKey> m_rerunning; ///< units that were stopped as stragglers and do not run anew yet
    std::int64_t m_lastEvacuationsJournalMs = 0;
    ConfigVersion m_journaledConfigVersion;
    std::int64_t m_lastConfigJournalMs = 0;
    std::int64_t m_lastHeartbeatMs = 0;
    std::int64_t m_takeoverMs = 0;
    std::uint32_t m_silenceSpells = 0;                      ///< MinionSilence::spell of the last record
    std::map<std::string, std::int64_t> m_unknownRunStopMs; ///< last stop order of each unknown run, by task
    TicketBook m_tickets;
    AdmissionTurns m_admissionTurns;
    Headroom m_headroom;
    IdleJobs m_idleJobs;
    std::int64_t m_lastPassMs = 0;
    std::int64_t m_lastExplainedMs = 0;
    std::int64_t m_waitLinesFromMs = 0;  ///< since when the lines below are counted
    std::size_t m_waitLines = 0;         ///< lines logged on waits
    std::size_t m_capacityWaitLines = 0; ///< of these, lines on waits for capacity
    std::uint64_t m_waitsUnlogged = 0;   ///< waits that were due for a line since the last one and got none
    bool m_oracleQueryInFlight = false;
    std::int64_t m_nextOracleQueryMs = 0;
    std::set<MinionId> m_reserved;  ///< get no new work until their upkeep
    std::set<MinionId> m_vacated;   ///< had their work ordered to stop for their upkeep
    std::set<MinionId> m_goingDown; ///< ordered to go down; their runs may have ended
};

} // namespace Papaya
