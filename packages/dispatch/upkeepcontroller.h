#pragma once

#include "dispatch/deploymentcodec.h"
#include "dispatch/journalwriter.h"
#include "dispatch/machinecontrol.h"
#include "steps/jobbook.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

// Carries out maintenance waves while this node leads.
//
// 1. That a machine goes down is journaled before it is ordered, so that a successor counts it as down, and no order is
//    given unless the journal was reached just before: a planner that has been replaced gives none.
// 2. An order without an answer is repeated until it is answered; the platform carries it out once.
// 3. A successor waits before its first order, so that two nodes never take turns at a machine.

namespace Papaya
{

/** What runs on a minion, as far as its machine's upkeep is concerned. */
struct MinionWorkload {
    std::size_t running = 0; ///< members of units that are placed there
    std::int64_t lossMs = 0; ///< work that a stop would lose, summed over them
    bool overBudget = false; ///< stopping it would exceed what a service may miss
};

/** The keeper's view of the planner. */
class FleetAccess
{
public:
    virtual ~FleetAccess() = default;
    [[nodiscard]] virtual bool leading() const = 0;
    [[nodiscard]] virtual MinionWorkload workloadOn(const MinionId &minion) const = 0;
    /** The minions of @p minions take nothing new; all others may. */
    virtual void reserve(std::set<MinionId> minions) = 0;
    /** Stops what runs on @p minion. */
    virtual void vacate(const MinionId &minion) = 0;
    /** What runs on @p minion counts as ended from now on, or no longer does. */
    virtual void setGoingDown(const MinionId &minion, bool goingDown) = 0;
    /** Applies and journals @p progress. @return true if it was stored in time for an order */
    virtual Asio::awaitable<bool> store(WaveProgress progress) = 0;
};

/** The waves of a deployment. */
class UpkeepController
{
public:
    /** What the keeper is built from; the references outlive it. */
    struct Context {
        Asio::io_context &io;
        MachineControl &machines;
        std::shared_ptr<FleetAccess> fleet;
        const JobBook &book;
        std::function<const std::map<WaveNumber, UpkeepWave> &()> waves;
        const DeploymentCodec &codec;
        std::shared_ptr<JournalWriter> status; ///< what the operator reads
        std::string node;
        Epoch epoch;
    };

    /** Runs until the planner does not lead any more. */
    static void begin(Context context);

private:
    /** An order that this keeper has given. */
    struct Order {
        bool confirmed = false; ///< it was answered as done
        std::int64_t confirmedMs = 0;
        bool inDoubt = false; ///< one without an answer may have been carried out
        MinionId minion;      ///< that ran there
    };

    explicit UpkeepController(Context context);
    static Asio::awaitable<void> run(std::shared_ptr<UpkeepController> self);
    [[nodiscard]] bool hasWork() const;
    Asio::awaitable<void> runPass();
    Asio::awaitable<void> advance(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                  std::int64_t listedMs);
    /** @return the wave's progress as the list of machines shows it. */
    WaveProgress updatedProgress(const UpkeepWave &wave, const std::map<MachineId, MachineEntry> &listed,
                                 std::int64_t listedMs);
    UpkeepDecisions decide(const UpkeepWave &wave, const WaveProgress &progress,
                           const std::map<MachineId, MachineEntry> &listed);
    Asio::awaitable<void> order(WaveNumber wave, MachineEntry machine);
    void publish(WaveNumber wave, WaveStatus status);

    Context m_context;
    std::map<MachineId, Order> m_orders;
    std::map<MachineId, std::int64_t> m_reservedMs; ///< since when each has taken nothing new
    std::map<MachineId, std::int64_t> m_vacatedMs;  ///< since when what ran there is being stopped
    std::set<MinionId> m_reserved;
    std::map<WaveNumber, WaveStatus> m_published;
    bool m_listFailing = false;
};

} // namespace Papaya
