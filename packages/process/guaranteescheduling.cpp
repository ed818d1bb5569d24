#include "process/schedulingpass.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace Papaya
{

namespace
{

constexpr std::int64_t MS_PER_HOUR = 3'600'000;

} // namespace

GuaranteeScheduling::GuaranteeScheduling(GuaranteeSchedulingLimits limits)
    : m_limits(limits)
    , m_moveTokens(static_cast<double>(limits.movesPerHour))
{
}

ScheduleDecision GuaranteeScheduling::plan(const PlanningView &view)
{
    Pass pass(view);
    const double hours = static_cast<double>(view.nowMs - m_lastPassMs) / static_cast<double>(MS_PER_HOUR);
    const double budget = static_cast<double>(m_limits.movesPerHour);
    m_moveTokens = std::min(budget, m_moveTokens + std::max(0.0, hours * budget));
    m_lastPassMs = view.nowMs;
    refreshHolds(pass);
    placeGuaranteedGangs(pass);
    placeBorrowers(pass);
    pass.decision.brokenGuarantees = assignGuarantees(pass.reclaimable, pass.unusedGuarantees).broken;
    return std::move(pass.decision);
}

void GuaranteeScheduling::recordPlacement(Pass &pass, const WaitingGang &gang, PartWorkers workers, bool guaranteed)
{
    pass.free.allocateAll(workers, gang.shape.part);
    if (guaranteed || gang.restart == RestartRule::Never) {
        pass.reclaimable.allocateAll(workers, gang.shape.part);
    }
    pass.countUse(gang.urgency, gang.team, gang.caller, gang.shape.totalGpus());
    m_holds.erase(gang.job);
    pass.decision.placements.push_back({gang.job, std::move(workers), guaranteed});
}

void GuaranteeScheduling::recordWait(Pass &pass, const WaitingGang &gang, WaitCause cause, std::int64_t startMs)
{
    pass.decision.waits.push_back({gang.job, cause, startMs});
}

void GuaranteeScheduling::refreshHolds(Pass &pass)
{
    std::map<JobId, const WaitingGang *> waiting;
    for (const WaitingGang &gang : pass.view.waiting) {
        waiting[gang.job] = &gang;
    }
    for (auto entry = m_holds.begin(); entry != m_holds.end();) {
        Hold &hold = entry->second;
        const auto gang = waiting.find(entry->first);
        hold.workers.clear();
        for (const WorkerId &id : hold.workerIds) {
            const auto index = pass.view.fleet.find(id);
            if (index && pass.view.fleet.usable(*index)) {
                hold.workers.push_back(*index);
            }
        }
        const bool workerUnusable = hold.workers.size() != hold.workerIds.size();
        const bool expired = pass.view.nowMs - hold.sinceMs > m_limits.holdTimeoutMs;
        if (gang == waiting.end() || workerUnusable || expired) {
            entry = m_holds.erase(entry);
            continue;
        }
        // Held capacity counts as used; the gang is placed once the other gangs have left the workers.
        pass.free.allocateAll(hold.workers, gang->second->shape.part);
        if (hold.guaranteed) {
            pass.reclaimable.allocateAll(hold.workers, gang->second->shape.part);
        }
        ++entry;
    }
}

void GuaranteeScheduling::hold(Pass &pass, const WaitingGang &gang, PartWorkers workers, bool guaranteed)
{
    pass.free.allocateAll(workers, gang.shape.part);
    if (guaranteed) {
        pass.reclaimable.allocateAll(workers, gang.shape.part);
    }
    Hold held;
    for (const WorkerIndex worker : workers) {
        held.workerIds.push_back(pass.view.fleet.id(worker));
    }
    held.workers = std::move(workers);
    held.part = gang.shape.part;
    held.sinceMs = pass.view.nowMs;
    held.guaranteed = guaranteed;
    m_holds[gang.job] = std::move(held);
}

bool GuaranteeScheduling::placeFromHold(Pass &pass, const WaitingGang &gang, bool guaranteed)
{
    const Hold &held = m_holds.at(gang.job);
    const PartWorkers workers = held.workers;
    // The hold is already deducted from the free capacity, so the gang fits if no worker is overcommitted.
    const bool ready = std::none_of(workers.begin(), workers.end(),
                                    [&](WorkerIndex worker) { return pass.free.overcommitted(worker); });
    if (!ready) {
        recordWait(pass, gang, WaitCause::Reclaiming);
        return false;
    }
    pass.free.releaseAll(workers, gang.shape.part);
    if (held.guaranteed) {
        pass.reclaimable.releaseAll(workers, gang.shape.part);
    }
    recordPlacement(pass, gang, workers, guaranteed);
    return true;
}

void GuaranteeScheduling::placeGuaranteedGangs(Pass &pass)
{
    // 1. Running guaranteed gangs use up their guarantees.
    std::vector<TeamGuarantee> remaining = pass.view.guarantees;
    const auto consume = [&](const TeamName &team, const Shape &shape) -> const TeamGuarantee * {
        for (TeamGuarantee &guarantee : remaining) {
            if (guarantee.team == team && guarantee.count > 0 && usesGuarantee(shape, guarantee.shape)) {
                --guarantee.count;
                return &guarantee;
            }
        }
        return nullptr;
    };
    for (const RunningGang &gang : pass.view.running) {
        if (gang.guaranteed) {
            consume(gang.team, gang.shape);
        }
    }
    // 2. Waiting gangs claim the remaining guarantees, the most urgent first; the others borrow.
    std::vector<const WaitingGang *> order;
    order.reserve(pass.view.waiting.size());
    for (const WaitingGang &gang : pass.view.waiting) {
        order.push_back(&gang);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const WaitingGang *a, const WaitingGang *b) { return a->urgency < b->urgency; });
    std::vector<std::pair<const WaitingGang *, Shape>> demand;
    for (const WaitingGang *gang : order) {
        if (const TeamGuarantee *guarantee = consume(gang->team, gang->shape)) {
            demand.emplace_back(gang, guarantee->shape);
        } else {
            pass.borrowers.push_back(gang);
        }
    }
    // 3. A guarantee counts as unused until a gang that claims it has or holds its workers.
    for (const TeamGuarantee &guarantee : remaining) {
        pass.unusedGuarantees.insert(pass.unusedGuarantees.end(), guarantee.count, {guarantee.team, guarantee.shape});
    }
    for (const auto &[gang, shape] : demand) {
        if (!m_holds.contains(gang->job) || !m_holds.at(gang->job).guaranteed) {
            pass.unusedGuarantees.push_back({gang->team, shape});
        }
    }
    for (const auto &[gang, shape] : demand) {
        placeGuaranteed(pass, *gang, shape);
    }
}

bool GuaranteeScheduling::placeGuaranteed(Pass &pass, const WaitingGang &gang, const Shape &guaranteed)
{
    const auto held = m_holds.find(gang.job);
    if (held != m_holds.end() && held->second.guaranteed) {
        return placeFromHold(pass, gang, true);
    }
    // 1. From here on this gang uses the guarantee, on whichever workers. Its workers must be as close together as
    //    guaranteed, so that the guaranteed shape can be satisfied again when it ends.
    const auto own =
        std::find_if(pass.unusedGuarantees.begin(), pass.unusedGuarantees.end(), [&](const GuaranteedGang &unused) {
            return unused.team == gang.team && unused.shape == guaranteed;
        });
    // If the fleet cannot satisfy all guarantees, claimed ones take precedence over unclaimed ones.
    const GuaranteeMap map = assignGuarantees(pass.reclaimable, pass.unusedGuarantees);
    const std::size_t allowedBroken = map.broken.size();
    const GuaranteedGang entry = *own;
    const auto assigned =
        std::find_if(map.assignments.begin(), map.assignments.end(), [&](const GuaranteeAssignment &assignment) {
            return assignment.gang.team == gang.team && assignment.gang.shape == guaranteed;
        });
    pass.unusedGuarantees.erase(own);
    WaitingGang constrained = gang;
    constrained.shape.adjacency = guaranteed.adjacency;
    // 2. Uses free workers if that breaks no further guarantee; else workers of borrowers, at last those that the
    //    guarantee is assigned to, and finally workers that are held for borrowers.
    bool reclaimed = false;
    do {
        const auto workers = m_placement.place(pass.free, constrained.shape, gang.avoid);
        if (workers && pass.keepsGuarantees(*workers, gang.shape.part, allowedBroken)) {
            recordPlacement(pass, gang, *workers, true);
            return true;
        }
        reclaimed = reclaim(pass, constrained, true, allowedBroken,
                            assigned == map.assignments.end() ? PartWorkers() : assigned->workers);
    } while (!reclaimed && dropBorrowerHolds(pass));
    if (!reclaimed) {
        pass.unusedGuarantees.push_back(entry);
    }
    recordWait(pass, gang, reclaimed ? WaitCause::Reclaiming : WaitCause::NoCapacity);
    return false;
}

void GuaranteeScheduling::placeBorrowers(Pass &pass)
{
    // 1. Gangs that have waited longer than the aging threshold go first, in submission order.
    std::vector<const WaitingGang *> aged;
    std::map<QueueKey, std::vector<const WaitingGang *>> queues;
    for (const WaitingGang *gang : pass.borrowers) {
        if (pass.view.nowMs - gang->submittedMs > m_limits.agingThresholdMs) {
            aged.push_back(gang);
        } else {
            queues[{gang->urgency, gang->team, gang->caller}].push_back(gang);
        }
    }
    std::stable_sort(aged.begin(), aged.end(),
                     [](const WaitingGang *a, const WaitingGang *b) { return a->submittedMs < b->submittedMs; });
    for (const WaitingGang *gang : aged) {
        placeBorrower(pass, *gang);
    }
    // 2. The others are served one by one, each time from the queue that comes first by floors and fair shares.
    std::map<QueueKey, std::size_t> served;
    while (!queues.empty()) {
        auto next = queues.begin();
        for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
            if (pass.servedBefore(queue->first, next->first)) {
                next = queue;
            }
        }
        std::size_t &position = served[next->first];
        placeBorrower(pass, *next->second[position]);
        if (++position == next->second.size()) {
            queues.erase(next);
        }
    }
}

void GuaranteeScheduling::placeBorrower(Pass &pass, const WaitingGang &gang)
{
    // 1. A gang with a hold gets its workers as soon as they are free.
    if (m_holds.contains(gang.job)) {
        placeFromHold(pass, gang, false);
        return;
    }
    if (gang.avoid.empty() && pass.knownNotToFit(gang)) {
        recordWait(pass, gang, WaitCause::NoCapacity);
        return;
    }
    // 2. Workers reserved for another gang may be used only by gangs that are expected to end before it starts.
    std::set<WorkerIndex> avoid = gang.avoid;
    for (const Reservation &reservation : pass.reservations) {
        if (pass.view.nowMs + gang.runMs > reservation.startMs) {
            avoid.insert(reservation.workers.begin(), reservation.workers.end());
        }
    }
    auto workers = m_placement.place(pass.free, gang.shape, avoid);
    const bool nonRestartable = gang.restart == RestartRule::Never;
    if (workers && nonRestartable && !pass.keepsGuarantees(*workers, gang.shape.part, pass.brokenCount())) {
        recordWait(pass, gang, WaitCause::WouldBreakGuarantee);
        return;
    }
    if (workers) {
        recordPlacement(pass, gang, std::move(*workers), false);
        return;
    }
    if (!fitsEmptyFleet(pass.view.fleet, gang.shape)) {
        recordWait(pass, gang, WaitCause::NeverFits);
        return;
    }
    if (gang.avoid.empty()) {
        pass.failed.push_back({gang.shape, gang.runMs});
    }
    // 3. An urgent gang that may be restarted preempts less urgent borrowers. If it cannot, or for any other gang,
    //    workers are reserved, unless the gang waits only because of the reservations of others.
    if (gang.urgency == Urgency::Urgent && !nonRestartable && reclaim(pass, gang, false, 0)) {
        recordWait(pass, gang, WaitCause::Reclaiming);
        return;
    }
    const bool fitsIfUnreserved =
        avoid.size() > gang.avoid.size() && m_placement.place(pass.free, gang.shape, gang.avoid);
    if (fitsIfUnreserved) {
        recordWait(pass, gang, WaitCause::ReservedForOthers);
    } else if (!reserve(pass, gang)) {
        recordWait(pass, gang, WaitCause::NoCapacity);
    }
}

bool GuaranteeScheduling::reserve(Pass &pass, const WaitingGang &gang)
{
    if (pass.reservations.size() >= m_limits.reservations) {
        return false;
    }
    // 1. Finds how many running gangs have to end, in order of their expected end, until the gang fits. With more of
    //    them ended the gang still fits, so a binary search finds the smallest number.
    std::vector<const RunningGang *> byExpectedEnd;
    byExpectedEnd.reserve(pass.view.running.size());
    for (const RunningGang &running : pass.view.running) {
        byExpectedEnd.push_back(&running);
    }
    std::stable_sort(byExpectedEnd.begin(), byExpectedEnd.end(), [&](const RunningGang *a, const RunningGang *b) {
        return a->expectedEndMs(pass.view.nowMs) < b->expectedEndMs(pass.view.nowMs);
    });
    std::set<WorkerIndex> avoid = gang.avoid;
    for (const Reservation &reservation : pass.reservations) {
        avoid.insert(reservation.workers.begin(), reservation.workers.end());
    }
    const auto placeAfter = [&](std::size_t count) {
        FleetModel trial = pass.free;
        for (std::size_t i = 0; i < count; ++i) {
            trial.releaseAll(byExpectedEnd[i]->workers, byExpectedEnd[i]->shape.part);
        }
        return m_placement.place(trial, gang.shape, avoid);
    };
    std::size_t low = 0;
    std::size_t high = byExpectedEnd.size();
    auto workers = placeAfter(high);
    if (!workers) {
        return false;
    }
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        auto found = placeAfter(middle);
        if (found) {
            workers = std::move(found);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    // 2. Moves small gangs away if that frees enough capacity; else reserves the workers.
    if (consolidate(pass, gang)) {
        recordWait(pass, gang, WaitCause::Reclaiming);
        return true;
    }
    Reservation reservation;
    reservation.job = gang.job;
    reservation.workers.insert(workers->begin(), workers->end());
    reservation.startMs = low == 0 ? pass.view.nowMs : byExpectedEnd[low - 1]->expectedEndMs(pass.view.nowMs);
    recordWait(pass, gang, WaitCause::Reserved, reservation.startMs);
    pass.reservations.push_back(std::move(reservation));
    return true;
}

} // namespace Papaya
