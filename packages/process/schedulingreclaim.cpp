#include "process/schedulingpass.h"

#include <algorithm>
#include <optional>

// Frees capacity for a gang at the cost of running borrowers: by preempting them, or by moving them elsewhere.

namespace Papaya
{

namespace
{

constexpr std::array<std::int64_t, URGENCY_COUNT> VICTIM_WEIGHT {64, 8, 1};
constexpr std::int64_t VICTIM_BASE_MS = 60'000;  // cost of a restart, in addition to the lost run time
constexpr std::int64_t MOVABLE_SIZE_DIVISOR = 4; // a gang is moved only for one at least this many times its size

/** @return the cost of stopping @p gang: a restart and the lost run time, weighted by urgency and accelerators. */
std::int64_t victimCost(const RunningGang &gang, std::int64_t nowMs)
{
    const std::int64_t ranMs = std::max<std::int64_t>(0, nowMs - gang.startedMs);
    const std::int64_t lostMs = gang.restart == RestartRule::Checkpoint ? 0 : ranMs;
    const std::int64_t gpus = std::max<std::int64_t>(1, gang.shape.totalGpus());
    return VICTIM_WEIGHT[static_cast<std::size_t>(gang.urgency)] * (VICTIM_BASE_MS + lostMs) * gpus;
}

} // namespace

/** Workers that could be freed for a gang, and the gangs that would have to be stopped. */
struct GuaranteeScheduling::ReclaimOption {
    PartWorkers workers;
    std::set<std::size_t> victims; ///< indices into the running gangs
    std::int64_t cost = 0;
};

bool GuaranteeScheduling::dropBorrowerHolds(Pass &pass)
{
    const std::size_t dropped = std::erase_if(m_holds, [&](const auto &entry) {
        const Hold &hold = entry.second;
        if (!hold.guaranteed) {
            pass.free.releaseAll(hold.workers, hold.part);
        }
        return !hold.guaranteed;
    });
    return dropped > 0;
}

std::int64_t GuaranteeScheduling::Pass::stopCost(std::size_t index) const
{
    const RunningGang &victim = view.running[index];
    return victim.stopping || stopped.contains(index) ? 0 : victimCost(victim, view.nowMs);
}

bool GuaranteeScheduling::Pass::mayStopFor(std::size_t index, const WaitingGang &gang, bool guaranteed) const
{
    const RunningGang &victim = view.running[index];
    return victim.preemptible() && (guaranteed || victim.urgency > gang.urgency);
}

const std::set<std::size_t> &GuaranteeScheduling::Pass::gangsOn(WorkerIndex worker) const
{
    static const std::set<std::size_t> NONE;
    const auto gangs = gangsByWorker.find(worker);
    return gangs == gangsByWorker.end() ? NONE : gangs->second;
}

bool GuaranteeScheduling::reclaim(Pass &pass, const WaitingGang &gang, bool guaranteed, std::size_t allowedBroken,
                                  const PartWorkers &assigned)
{
    // 1. Finds what each group of workers could provide, and which gangs would be stopped.
    FleetModel base = pass.free;
    for (std::size_t i = 0; i < pass.view.running.size(); ++i) {
        if (pass.mayStopFor(i, gang, guaranteed)) {
            base.releaseAll(pass.view.running[i].workers, pass.view.running[i].shape.part);
        }
    }
    std::vector<ReclaimOption> options;
    for (const WorkerGroup &group : pass.view.fleet.groups(gang.shape.adjacency)) {
        if (auto option = reclaimInGroup(pass, base, group, gang, guaranteed)) {
            options.push_back(std::move(*option));
        }
    }
    // 2. Takes the cheapest option, for a guaranteed gang the cheapest that breaks no further guarantee: holds its
    //    workers and stops its victims.
    std::stable_sort(options.begin(), options.end(),
                     [](const ReclaimOption &a, const ReclaimOption &b) { return a.cost < b.cost; });
    // Each group offers its cheapest workers only, and all of these may be needed for other guarantees.
    if (auto option = reclaimAssigned(pass, base, assigned, gang)) {
        options.push_back(std::move(*option));
    }
    for (ReclaimOption &option : options) {
        if (guaranteed && !pass.keepsGuarantees(option.workers, gang.shape.part, allowedBroken)) {
            continue;
        }
        for (const std::size_t index : option.victims) {
            if (pass.stopped.insert(index).second && !pass.view.running[index].stopping) {
                pass.decision.stops.push_back({pass.view.running[index].job, gang.job, false});
            }
        }
        hold(pass, gang, std::move(option.workers), guaranteed);
        return true;
    }
    return false;
}

std::optional<GuaranteeScheduling::ReclaimOption>
GuaranteeScheduling::reclaimInGroup(const Pass &pass, const FleetModel &base, const WorkerGroup &group,
                                    const WaitingGang &gang, bool guaranteed)
{
    // 1. Orders the workers: first those with free capacity, then by the cost of stopping their gangs.
    std::vector<std::pair<std::int64_t, WorkerIndex>> order;
    order.reserve(group.size());
    for (const WorkerIndex worker : group) {
        std::int64_t cost = 0;
        if (pass.free.partsThatFit(worker, gang.shape.part) == 0) {
            for (const std::size_t index : pass.gangsOn(worker)) {
                cost += pass.mayStopFor(index, gang, guaranteed) ? pass.stopCost(index) : 0;
            }
        }
        order.emplace_back(cost, worker);
    }
    std::stable_sort(order.begin(), order.end());
    // 2. Places the parts as if all gangs that may be stopped had ended.
    ReclaimOption option;
    FleetModel trial = base;
    for (const auto &[cost, worker] : order) {
        while (option.workers.size() < gang.shape.parts && !gang.avoid.contains(worker)
               && trial.partsThatFit(worker, gang.shape.part) > 0) {
            trial.allocate(worker, gang.shape.part);
            option.workers.push_back(worker);
        }
    }
    if (option.workers.size() < gang.shape.parts) {
        return std::nullopt;
    }
    chooseVictims(pass, gang, guaranteed, option);
    return option;
}

std::optional<GuaranteeScheduling::ReclaimOption> GuaranteeScheduling::reclaimAssigned(const Pass &pass,
                                                                                       const FleetModel &base,
                                                                                       const PartWorkers &assigned,
                                                                                       const WaitingGang &gang)
{
    FleetModel trial = base;
    trial.allocateAll(assigned, gang.shape.part);
    const bool fits = std::none_of(assigned.begin(), assigned.end(), [&](WorkerIndex worker) {
        return trial.overcommitted(worker) || gang.avoid.contains(worker);
    });
    if (assigned.empty() || !fits) {
        return std::nullopt;
    }
    ReclaimOption option;
    option.workers = assigned;
    chooseVictims(pass, gang, true, option);
    return option;
}

void GuaranteeScheduling::chooseVictims(const Pass &pass, const WaitingGang &gang, bool guaranteed,
                                        ReclaimOption &option)
{
    // On each worker, stops the cheapest gangs first, until the parts fit.
    FleetModel available = pass.free;
    available.allocateAll(option.workers, gang.shape.part);
    for (const WorkerIndex worker : option.workers) {
        std::vector<std::pair<std::int64_t, std::size_t>> candidates;
        for (const std::size_t index : pass.gangsOn(worker)) {
            if (pass.mayStopFor(index, gang, guaranteed)) {
                candidates.emplace_back(pass.stopCost(index), index);
            }
        }
        std::sort(candidates.begin(), candidates.end());
        for (const auto &[cost, index] : candidates) {
            if (available.overcommitted(worker) && option.victims.insert(index).second) {
                available.releaseAll(pass.view.running[index].workers, pass.view.running[index].shape.part);
                option.cost += cost;
            }
        }
    }
}

bool GuaranteeScheduling::consolidate(Pass &pass, const WaitingGang &gang)
{
    const std::int64_t need = gang.shape.totalGpus();
    if (gang.shape.parts < 2 || gang.restart == RestartRule::Never || pass.free.freeGpus() < need) {
        return false;
    }
    std::optional<ReclaimOption> best;
    for (const WorkerGroup &group : pass.view.fleet.groups(gang.shape.adjacency)) {
        auto option = consolidateInGroup(pass, group, gang);
        if (option && (!best || option->cost < best->cost)) {
            best = std::move(option);
        }
    }
    if (!best || static_cast<double>(best->victims.size()) > m_moveTokens) {
        return false;
    }
    m_moveTokens -= static_cast<double>(best->victims.size());
    for (const std::size_t index : best->victims) {
        pass.stopped.insert(index);
        pass.decision.stops.push_back({pass.view.running[index].job, gang.job, true});
    }
    hold(pass, gang, std::move(best->workers), false);
    return true;
}

std::optional<GuaranteeScheduling::ReclaimOption>
GuaranteeScheduling::consolidateInGroup(const Pass &pass, const WorkerGroup &group, const WaitingGang &gang) const
{
    // 1. Only checkpointed borrowers that are small compared with the gang may be moved.
    const auto isMovable = [&](std::size_t index) {
        const RunningGang &running = pass.view.running[index];
        return running.preemptible() && running.restart == RestartRule::Checkpoint && !running.stopping
               && !pass.stopped.contains(index)
               && running.shape.totalGpus() * MOVABLE_SIZE_DIVISOR <= gang.shape.totalGpus();
    };
    std::set<std::size_t> movable;
    FleetModel available = pass.free;
    for (const WorkerIndex worker : group) {
        for (const std::size_t index : pass.gangsOn(worker)) {
            if (isMovable(index) && movable.insert(index).second) {
                available.releaseAll(pass.view.running[index].workers, pass.view.running[index].shape.part);
            }
        }
    }
    if (movable.empty()) {
        return std::nullopt;
    }
    // 2. Places the gang in this group as if the movable gangs were gone.
    std::set<WorkerIndex> excluded = gang.avoid;
    const std::set<WorkerIndex> members(group.begin(), group.end());
    for (WorkerIndex i = 0; i < pass.view.fleet.size(); ++i) {
        if (!members.contains(i)) {
            excluded.insert(i);
        }
    }
    auto workers = m_placement.place(available, gang.shape, excluded);
    if (!workers) {
        return std::nullopt;
    }
    // 3. Each movable gang on the chosen workers must fit elsewhere.
    ReclaimOption option;
    option.workers = std::move(*workers);
    const std::set<WorkerIndex> chosen(option.workers.begin(), option.workers.end());
    FleetModel elsewhere = pass.free;
    for (const std::size_t index : movable) {
        const RunningGang &running = pass.view.running[index];
        const bool inTheWay = std::any_of(running.workers.begin(), running.workers.end(),
                                          [&](WorkerIndex worker) { return chosen.contains(worker); });
        if (!inTheWay) {
            continue;
        }
        const auto target = m_placement.place(elsewhere, running.shape, chosen);
        if (!target) {
            return std::nullopt;
        }
        elsewhere.allocateAll(*target, running.shape.part);
        option.victims.insert(index);
        option.cost += running.shape.totalGpus();
    }
    return option.victims.empty() ? std::nullopt : std::optional<ReclaimOption>(std::move(option));
}

} // namespace Papaya
