#pragma once

#include "dispatch/deploymentcodec.h"
#include "dispatch/journalwriter.h"
#include "dispatch/machinecontrol.h"
#include "steps/jobtable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

// Carries out maintenance waves while this node leads.
//
// 1. The start of a machine's upkeep is journaled before it is ordered, so that a successor counts the machine as down.
//    An order follows only a record that was stored just before, so that a planner that has been replaced gives none.
// 2. An unanswered order is repeated until it is answered; the platform carries it out only once. A machine may be in
//    several waves, so what is known of its orders is kept for each wave.
// 3. A wave is published as completed only once its progress is stored.
// 4. A successor waits before its first order, since the platform requires a minimum time between the orders of
//    two holders to a machine.

namespace Papaya
{

/** The load of a minion that matters for its machine's upkeep. */
struct MinionWorkload {
    std::size_t running = 0; ///< unit members placed on the minion
    std::int64_t lossMs = 0; ///< work that stopping them would lose, in total
    bool overBudget = false; ///< stopping them would exceed the disruption budget of a service
};

/** The part of the planner that upkeep uses. */
class FleetAccess
{
public:
    virtual ~FleetAccess() = default;
    [[nodiscard]] virtual bool leading() const = 0;
    [[nodiscard]] virtual MinionWorkload workloadOn(const MinionId &minion) const = 0;
    /** Places no new work on @p minions, and allows it again on all others. */
    virtual void reserve(std::set<MinionId> minions) = 0;
    /** Stops all units with a member on @p minion. */
    virtual void vacate(const MinionId &minion) = 0;
    /** Sets whether the tasks on @p minion count as unavailable because its machine goes down. */
    virtual void setGoingDown(const MinionId &minion, bool goingDown) = 0;
    /** Applies and journals @p progress. @return true if it was stored soon enough for an order to follow */
    virtual Asio::awaitable<bool> store(WaveProgress progress) = 0;
};

/** Controls the maintenance waves of a deployment. */
class UpkeepController
{
public:
    /** Dependencies of the controller; the references must outlive it. */
    struct Context {
        Asio::io_context &io;
        MachineControl &machines;
        std::shared_ptr<FleetAccess> fleet;
        const JobTable &jobTable;
        std::function<const std::map<WaveNumber, UpkeepWave> &()> waves;
        const DeploymentCodec &codec;
        std::shared_ptr<JournalWriter> status; ///< appends to the operator's status topic
        std::string node;
        Epoch epoch;
        std::function<std::int64_t()> wallNow; ///< time of day in milliseconds since 1970, without its jumps
    };

    /** Starts a controller, which runs until its planner no longer leads. */
    static void begin(Context context);

private:
    /** A machine's part in a wave. */
    using WaveMachine = std::pair<WaveNumber, MachineId>;

    /** The last order of this controller to a machine for a wave. */
    struct Order {
        bool confirmed = false; ///< answered as done
        std::int64_t confirmedMs = 0;
        bool inDoubt = false; ///< an unanswered order may have been carried out
        MinionId minion;      ///< minion of the machine when the order was sent
    };

    explicit UpkeepController(Context context);
    static Asio::awaitable<void> run(std::shared_ptr<UpkeepController> self);
    [[nodiscard]] bool hasWork() const;
    Asio::awaitable<void> runPass();
    /** Lets the reserved machines get new work, which then has its full time again before it is stopped. */
    void releaseReservations();
    Asio::awaitable<void> advance(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                  std::int64_t listedMs);
    /** @return the progress of @p wave, updated from the list of machines. */
    WaveProgress updatedProgress(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                 std::int64_t listedMs);
    UpkeepDecisions decide(const UpkeepWave &wave, const WaveProgress &progress,
                           const std::map<MachineId, MachineEntry> &listed);
    Asio::awaitable<void> order(WaveNumber wave, MachineEntry machine);
    /** @return true if @p machine is down for another wave than @p wave. */
    [[nodiscard]] bool isDownForOther(WaveNumber wave, const MachineId &machine) const;
    void publish(WaveNumber wave, WaveStatus status);

    Context m_context;
    std::map<WaveMachine, Order> m_orders;
    std::map<WaveMachine, std::int64_t> m_reservedMs; ///< since when each has been reserved
    std::map<WaveMachine, std::int64_t> m_vacatedMs;  ///< when the work on each was first ordered to stop
    std::set<WaveNumber> m_unstored;                  ///< waves whose progress has not been stored
    std::set<MinionId> m_reserved;
    std::map<WaveNumber, WaveStatus> m_published;
    bool m_listFailing = false;
    std::int64_t m_lastListedMs = 0; ///< when the last list of machines that was answered was requested
};

} // namespace Papaya
