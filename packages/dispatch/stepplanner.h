#pragma once

#include "dispatch/admissionoracle.h"
#include "dispatch/assignment.h"
#include "dispatch/deploymentview.h"
#include "dispatch/journalwriter.h"
#include "dispatch/minionlink.h"
#include "dispatch/stepmetrics.h"
#include "dispatch/upkeepcontroller.h"
#include "steps/stepscheduler.h"
#include "steps/waitreason.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// The planner: carries out the scheduler's decisions and keeps the leases of what runs.
//
// 1. A start is journaled before it is ordered, so that a successor knows of everything that may run.
// 2. An end is journaled before the minion is told to forget it.
// 3. A member counts as running until its end is listed, a later look does not find it, its minion's life is over or
// its
//    lease has surely lapsed. Until then its unit starts nowhere else.
// 4. A planner that has not reached the store for a while renews no leases; a successor that cannot reach a minion
// waits
//    for that span and a lease.

namespace Papaya
{

/** Runs while this node leads. */
class StepPlanner : public std::enable_shared_from_this<StepPlanner>, private FleetAccess
{
public:
    /** What the planner is built from; all outlive it. */
    struct Context {
        Asio::io_context &io;
        RecordStore &store;
        MinionControl &minionControl;
        AdmissionOracle *oracle;  ///< null where the deployment has none
        MachineControl *machines; ///< null where the deployment has none
        const DeploymentCodec &codec;
        JobBook &book;
        RunTimes &times;
        StepMetrics &metrics;
        std::function<const DeploymentConfig *()> config;
        std::function<const ConfigDocument &()> configDocument;
        std::function<const std::map<WaveNumber, UpkeepWave> &()> waves;
        std::string node;
        std::uint32_t milliCores;                                 ///< processor that this node may use
        Millis endedJobRetention;                                 ///< how long an ended job stays known
        std::function<void(const char *reason)> onLeadershipLost; ///< called once when leadership has been lost
    };

    /** Takes over with @p writer and @p status, of @p epoch, which has been claimed. */
    static std::shared_ptr<StepPlanner> begin(Context context, std::shared_ptr<JournalWriter> writer,
                                              std::shared_ptr<JournalWriter> status, Epoch epoch,
                                              const std::map<MinionId, MinionEntry> &minions);

    /** A minion's entry has changed. */
    void minionListed(const MinionEntry &entry);
    void minionUnlisted(const MinionId &id);
    /** A job was submitted or cancelled; the book holds it already. */
    void jobChanged(const JobId &id);
    /** Called about every 100 ms: signs of life, lapsed leases, what has become due. */
    void tick();
    /** Gives leadership up; @p done is called once the successor may take over. */
    void resign(std::function<void()> done);
    /** Ends without a word. */
    void stop();

    /** @return why each unit of @p job that has not ended does not run, or where it does. */
    [[nodiscard]] std::map<UnitKey, WaitExplanation> explain(const JobId &job) const;
    [[nodiscard]] std::size_t minionCount() const
    {
        return m_links.size();
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

    // Orders
    static Asio::awaitable<void> startMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                             std::size_t index);
    static Asio::awaitable<void> stopMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                            std::size_t index);
    static Asio::awaitable<void> stopUnknownRun(std::shared_ptr<StepPlanner> self, MinionId minion, std::string task,
                                                std::uint32_t run);
    static Asio::awaitable<void> pollLoop(std::shared_ptr<StepPlanner> self, MinionId id);
    Asio::awaitable<bool> pollOnce(MinionId id);
    void ensurePolling(MinionLink &link);
    [[nodiscard]] bool mayRenew() const;

    // Admission oracle
    /** Asks about the first step that wants it, one call at a time. */
    void requestAdvice(const std::vector<AdviceWanted> &wanted);
    static Asio::awaitable<void> queryOracle(std::shared_ptr<StepPlanner> self, AdviceWanted wanted, AdviceTerms terms);

    // Work that fills beside work that serves
    void paceFills(MinionLink &link, std::int64_t nowMs);
    static Asio::awaitable<void> paceMember(std::shared_ptr<StepPlanner> self, AssignmentPtr assignment,
                                            std::size_t index, int percent);

    // Upkeep
    [[nodiscard]] bool leading() const override
    {
        return m_leading;
    }
    [[nodiscard]] MinionWorkload workloadOn(const MinionId &minion) const override;
    void reserve(std::set<MinionId> minions) override;
    void vacate(const MinionId &minion) override;
    void setGoingDown(const MinionId &minion, bool goingDown) override;
    Asio::awaitable<bool> store(WaveProgress progress) override;
    /** @return how many tasks of @p step are not at work. */
    [[nodiscard]] std::uint32_t unavailableTasks(const StepKey &step, const StepSpec &spec) const;

    // Reports
    void handleReport(MinionLink &link, const MinionReport &report, std::int64_t sentMs);
    void handleEnd(MinionLink &link, const EndedTask &end);
    void handleRunning(MinionLink &link, const MinionReport &report, std::int64_t sentMs);
    void handleMinionRestart(MinionLink &link);
    /** Counts a failed or stuck run against its minion; after a few in a row it takes nothing new for a while. */
    void countRunFailure(MinionLink &link, std::int64_t nowMs);
    AssignmentPtr findTask(const std::string &task, std::uint32_t run, std::size_t &index);
    void memberEnded(const AssignmentPtr &assignment, std::size_t index, EndKind kind);
    void applyOutcome(const AssignmentPtr &assignment);
    void finish(const AssignmentPtr &assignment);
    /** Counts a run that failed once, however often its end is listed. */
    static void countFailure(const Assignment &assignment, UnitStatus &status);
    void countFailure(const AssignmentPtr &assignment);
    void expireLeases();
    /** Moves what would be lost with minions that leave. */
    void evacuate();
    /** Moves runs that make no progress where they are. */
    void moveStuckRuns();

    // Journal
    void record(const UnitKey &unit, UnitStatus status);
    /** Journals the configuration in force if it is a new one. */
    void journalConfig(std::int64_t nowMs);
    /** Drops jobs that ended long ago from the book and the journal. */
    void forgetEnded(std::int64_t nowMs);
    void flushSoon();
    void flush();
    void stepDown(const char *reason);

    Context m_context;
    std::shared_ptr<JournalWriter> m_writer;
    Epoch m_epoch;
    bool m_leading = true;
    std::map<MinionId, MinionLink> m_links;
    std::map<UnitKey, AssignmentPtr> m_assignments;
    std::map<UnitKey, std::vector<MinionId>> m_avoid; ///< where units have failed
    std::map<UnitKey, std::int64_t> m_notBefore;      ///< units that are held back after a start that failed
    std::vector<StoredRecord> m_pendingRecords;       ///< to be journaled together
    std::vector<std::pair<MinionId, std::uint64_t>> m_pendingEnds;
    std::vector<AssignmentPtr> m_pendingStarts;
    bool m_flushPosted = false;
    bool m_passPosted = false;
    Asio::steady_timer m_passTimer;
    TimePoint m_nextPass; ///< not before
    std::int64_t m_lastStuckCheckMs = 0;
    std::set<JobId> m_startedJobs;           ///< whose first task has been seen to start
    std::map<JobId, std::int64_t> m_endedMs; ///< when each job was first seen to have ended
    std::int64_t m_lastForgetMs = 0;
    ConfigVersion m_journaledConfigVersion;
    std::int64_t m_lastConfigJournalMs = 0;
    std::int64_t m_lastHeartbeatMs = 0;
    std::int64_t m_takeoverMs = 0;
    std::map<std::string, std::int64_t> m_unknownRunStopMs; ///< when each was last ordered
    TicketBook m_tickets;
    bool m_adviceInFlight = false;
    std::int64_t m_nextAdviceMs = 0;
    std::set<MinionId> m_reserved;  ///< take nothing new before their upkeep
    std::set<MinionId> m_goingDown; ///< ordered to; what is known to run there may have ended
};

} // namespace Papaya
