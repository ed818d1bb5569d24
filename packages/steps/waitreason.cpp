#include "steps/waitreason.h"

#include "steps/rackchoice.h"

#include <algorithm>
#include <array>
#include <map>

namespace Papaya
{

namespace
{

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

/** @return the minion of the first member that is not known to have ended. */
MinionId minionOf(const UnitStatus &status)
{
    const auto found = std::find_if(status.minions.begin(), status.minions.end(),
                                    [](const MinionId &minion) { return !minion.value().empty(); });
    return found == status.minions.end() ? MinionId() : *found;
}

std::string describe(const Resources &amount)
{
    return number(amount.cores) + " millicores, " + number(amount.memoryMb) + " MB and " + number(amount.gpus)
           + " GPUs";
}

WaitExplanation explainDependencies(const JobEntry &entry, const UnitKey &unit)
{
    const OccurrenceProgress &progress = entry.occurrences[unit.occurrence];
    std::string detail;
    for (const std::uint32_t earlier : entry.job.spec.steps[unit.step].dependencies) {
        const StepProgress &step = progress.steps[earlier];
        if (step.done < step.units.size()) {
            detail += (detail.empty() ? "" : "; ") + ("step " + number(earlier)) + " has " + number(step.done) + " of "
                      + number(static_cast<std::int64_t>(step.units.size())) + " units done";
        }
    }
    return {WaitReason::Dependencies, detail};
}

/** Minions and capacity that the fleet has for a unit. */
struct FleetSupply {
    std::size_t eligible = 0;                    ///< usable minions of its service with the required label
    std::size_t largeEnough = 0;                 ///< eligible minions whose total capacity holds a task
    std::size_t ticketed = 0;                    ///< of these, minions with a valid ticket if one is needed
    std::uint32_t members = 0;                   ///< tasks that fit into the free capacity of these
    std::uint32_t membersWithoutSpread = 0;      ///< the same without the limit of tasks on one minion
    std::uint32_t membersOnProbation = 0;        ///< tasks that fit on minions on probation
    std::uint32_t membersReserved = 0;           ///< tasks that fit on minions that are reserved for their upkeep
    std::uint32_t membersEvacuated = 0;          ///< tasks that fit on minions of evacuated failure domains
    MinionGroup group;                           ///< the ticketed minions
    std::map<std::string_view, std::size_t> out; ///< minions that could hold a task, but are not usable, by obstacle
};

/** @return how many tasks of the step of @p unit are placed on each minion. */
std::map<MinionId, std::uint32_t> placedOnMinions(const JobEntry &entry, const UnitKey &unit)
{
    std::map<MinionId, std::uint32_t> placed;
    for (const UnitStatus &status : entry.occurrences[unit.occurrence].steps[unit.step].units) {
        for (const MinionId &minion : status.minions) {
            placed[minion] += status.state == UnitState::Placed ? 1 : 0;
        }
    }
    return placed;
}

FleetSupply supplyFor(const PlanInput &input, const MinionFleet &fleet, const JobEntry &entry, const UnitKey &unit)
{
    const StepSpec &step = entry.job.spec.steps[unit.step];
    const Resources need = countedNeed(step);
    const QueueConfig *queue = input.config.queue(entry.job.queue);
    const bool requiresAdmission = queue != nullptr && queue->oracle.has_value();
    const std::map<MinionId, std::uint32_t> placed = placedOnMinions(entry, unit);
    FleetSupply supply;
    for (std::size_t m = 0; m < input.minions.size(); ++m) {
        const MinionView &minion = input.minions[m];
        if (!matches(minion, serviceOf(input.config, entry.job), step)) {
            continue;
        }
        const auto here = placed.find(minion.id);
        const std::uint32_t taken = here == placed.end() ? 0 : here->second;
        const std::uint32_t anywhere = membersThatFit(minion.free, need, 0);
        const std::uint32_t within = step.maxPerMinion == 0
                                         ? anywhere
                                         : std::min(anywhere, step.maxPerMinion - std::min(step.maxPerMinion, taken));
        if (!minion.usable) {
            supply.out[minion.obstacle] += within > 0 ? 1 : 0;
            supply.membersOnProbation += minion.obstacle == ON_PROBATION ? within : 0;
            supply.membersReserved += minion.obstacle == RESERVED_FOR_UPKEEP ? within : 0;
            supply.membersEvacuated += minion.obstacle == EVACUATED ? within : 0;
            continue;
        }
        ++supply.eligible;
        if (!minion.capacity.covers(need)) {
            continue;
        }
        ++supply.largeEnough;
        if (requiresAdmission && input.tickets.ticket(unit.stepKey(), minion.id, input.steadyMs).empty()) {
            continue;
        }
        ++supply.ticketed;
        supply.members += within;
        supply.membersWithoutSpread += anywhere;
        supply.group.add(m, fleet.rackOf(m));
    }
    return supply;
}

/** @return a phrase on minions with room that are not usable; empty if there are none. */
std::string describeOut(const FleetSupply &supply)
{
    std::string text;
    for (const auto &[obstacle, minions] : supply.out) {
        if (minions > 0) {
            text += (text.empty() ? "; not usable with room: " : ", ") + number(static_cast<std::int64_t>(minions))
                    + " " + std::string(obstacle.empty() ? "unknown" : obstacle);
        }
    }
    return text;
}

/** @return true if none of the racks that the unit is tried on has room for it. */
bool waitsForRack(const MinionFleet &fleet, const FleetSupply &supply, const StepSpec &step)
{
    const Resources need = countedNeed(step);
    const auto racks = racksToTry(fleet, step, feasibleRacks(fleet, supply.group, step, need));
    const std::uint32_t wanted = step.gang ? step.count : 1;
    return std::all_of(racks.begin(), racks.end(), [&](std::size_t rack) {
        std::uint32_t members = 0;
        for (const std::size_t m : supply.group.on(rack)) {
            members += membersThatFit(fleet[m].free, need, step.maxPerMinion);
        }
        return rack != MinionGroup::ANY_RACK && members < wanted;
    });
}

/** Explains that a unit of @p members tasks would fit on minions that are kept from new work; WaitReason::None if not.
 */
WaitExplanation explainHeldBack(const FleetSupply &supply, std::uint32_t members)
{
    const std::string fitting =
        "there is room for " + number(supply.members) + " of " + number(members) + " tasks, and for ";
    if (supply.members + supply.membersOnProbation >= members) {
        return {WaitReason::Probation,
                fitting + number(supply.membersOnProbation) + " on minions where runs have just failed"};
    }
    if (supply.members + supply.membersOnProbation + supply.membersReserved >= members) {
        return {WaitReason::Upkeep,
                fitting + number(supply.membersReserved) + " on minions that are reserved for their upkeep"};
    }
    if (supply.members + supply.membersOnProbation + supply.membersReserved + supply.membersEvacuated >= members) {
        return {WaitReason::Evacuated,
                fitting + number(supply.membersEvacuated) + " on minions of evacuated failure domains"};
    }
    return {};
}

/** Explains why too little capacity is free for @p unit; WaitReason::None if enough is. */
WaitExplanation explainSupply(const PlanInput &input, const FleetSupply &supply, const StepSpec &step)
{
    const std::uint32_t members = step.gang ? step.count : 1;
    WaitExplanation heldBack = explainHeldBack(supply, members);
    if (supply.eligible == 0 && heldBack.reason != WaitReason::None) {
        return heldBack;
    }
    if (supply.eligible == 0) {
        return {WaitReason::NoMinion, "none of " + number(static_cast<std::int64_t>(input.minions.size()))
                                          + " minions is usable and serves the queue"
                                          + (step.requiredLabel.empty() ? "" : " and has label " + step.requiredLabel)
                                          + describeOut(supply)};
    }
    if (supply.largeEnough == 0) {
        return {WaitReason::TooLarge, "a task needs " + describe(step.need) + ", more than the capacity of any of "
                                          + number(static_cast<std::int64_t>(supply.eligible)) + " minions"
                                          + describeOut(supply)};
    }
    if (supply.ticketed == 0) {
        return {WaitReason::NoTicket, "none of " + number(static_cast<std::int64_t>(supply.largeEnough))
                                          + " minions has a valid ticket of the admission oracle"};
    }
    if (supply.members >= members) {
        return {};
    }
    if (supply.membersWithoutSpread >= members) {
        return {WaitReason::SpreadLimit, "there is room for " + number(supply.membersWithoutSpread) + " of "
                                             + number(members) + " tasks, but with at most " + number(step.maxPerMinion)
                                             + " on one minion for " + number(supply.members) + describeOut(supply)};
    }
    if (heldBack.reason != WaitReason::None) {
        return heldBack;
    }
    return {WaitReason::NoCapacity, "there is room for " + number(supply.members) + " of " + number(members)
                                        + " tasks of " + describe(step.need) + " on "
                                        + number(static_cast<std::int64_t>(supply.ticketed)) + " minions"
                                        + describeOut(supply)};
}

} // namespace

std::string_view toString(WaitReason reason)
{
    constexpr std::array<std::string_view, 16> NAMES {
        "none",    "job-ended",    "not-due",   "dependencies", "held-back", "no-minion", "too-large", "no-ticket",
        "no-room", "spread-limit", "probation", "upkeep",       "evacuated", "headroom",  "rack-wait", "next-pass"};
    return NAMES[static_cast<std::size_t>(reason)];
}

WaitExplainer::WaitExplainer(const PlanInput &input)
    : m_input(input)
    , m_minions(input.minions)
    , m_fleet(m_minions)
{
}

WaitExplanation WaitExplainer::explainCapacity(const JobEntry &entry, const UnitKey &unit) const
{
    const StepSpec &step = entry.job.spec.steps[unit.step];
    const FleetSupply supply = supplyFor(m_input, m_fleet, entry, unit);
    if (WaitExplanation shortage = explainSupply(m_input, supply, step); shortage.reason != WaitReason::None) {
        return shortage;
    }
    const std::int64_t gpus = step.need.gpus * (step.gang ? step.count : 1);
    const std::int64_t headroom = m_input.headroom.gpus(entry.job.priority, m_fleet.capacity().gpus, m_input.steadyMs);
    if (!leavesHeadroom(gpus, m_fleet.free().gpus, headroom)) {
        return {WaitReason::Headroom,
                number(headroom) + " of " + number(m_fleet.free().gpus)
                    + " free GPUs stay free, as urgent work has just taken as many by preemption"};
    }
    if (waitsForRack(m_fleet, supply, step)) {
        return {WaitReason::RackWait, "there is room for " + number(supply.members)
                                          + " tasks, but not on a rack that it is bound to, and the fleet is busy"};
    }
    return {WaitReason::NextPass,
            "enough capacity is free in total; it goes to work that is scheduled first or is kept for work that waits "
            "for others to stop, or the next pass decides"};
}

WaitExplanation WaitExplainer::explain(const UnitKey &unit) const
{
    const JobEntry &entry = *m_input.jobs.find(unit.job);
    const UnitStatus &status = *m_input.jobs.find(unit);
    switch (status.state) {
    case UnitState::Placed:
        return {WaitReason::None, "run " + number(status.run) + " is placed on " + minionOf(status).value()};
    case UnitState::Done:
        return {WaitReason::None, "done in run " + number(status.run)};
    case UnitState::Failed:
        return {WaitReason::None, "given up after " + number(status.failures) + " failed runs"};
    case UnitState::Waiting:
        break;
    }
    if (!entry.live()) {
        return {WaitReason::JobEnded, "the job is " + std::string(toString(entry.state()))};
    }
    if (const std::int64_t due = entry.dueMs(unit.occurrence); due > m_input.nowMs) {
        return {WaitReason::NotDue, "due in " + number(due - m_input.nowMs) + " ms"};
    }
    if (!entry.dependenciesDone(unit.occurrence, unit.step)) {
        return explainDependencies(entry, unit);
    }
    if (m_input.heldBack.contains(unit)) {
        return {WaitReason::HeldBack, "in back-off after a failed start"};
    }
    return explainCapacity(entry, unit);
}

WaitExplanation explainWait(const PlanInput &input, const UnitKey &unit)
{
    return WaitExplainer(input).explain(unit);
}

} // namespace Papaya
