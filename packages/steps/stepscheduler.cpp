#include "steps/stepscheduler.h"

#include "steps/rackchoice.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <tuple>

namespace Papaya
{

namespace
{

constexpr std::int64_t CLOCK_SKEW_MARGIN_MS = 20; // clocks of nodes differ; no run may start before it is due
constexpr double MAX_LOSS_RATIO = 1;              // work that preemption may lose per unit of urgent work
constexpr double NO_LIMIT = std::numeric_limits<double>::max();
constexpr std::int64_t STOP_MS = 900; // longest time that a minion of a known deployment takes to stop a run
constexpr std::int64_t MAX_CHOSEN_WAIT_MS = 1'500; // of a job of which nothing runs; a start takes time as well
constexpr std::size_t MIN_QUERIED_MINIONS = 30;    // in one oracle call, whose latency grows with their number
constexpr std::size_t MAX_QUERIED_MINIONS = 100;

/** A step with waiting units, and its rank in the scheduling order. */
struct Candidate {
    const JobEntry *entry = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    bool guaranteed = false;
    Timeliness timeliness = Timeliness::InTime;

    [[nodiscard]] auto rank() const
    {
        return std::make_tuple(!guaranteed, timeliness, entry->job.priority, entry->job.submittedMs, step);
    }
    [[nodiscard]] const StepSpec &spec() const
    {
        return entry->job.spec.steps[step];
    }
    [[nodiscard]] StepKey stepKey() const
    {
        return {entry->job.id, occurrence, step};
    }
    [[nodiscard]] UnitKey unit(std::size_t index) const
    {
        return {entry->job.id, occurrence, step, spec().gang ? UnitKey::GANG : static_cast<std::int32_t>(index)};
    }
};

/** State of one scheduling pass. */
class SchedulingPass
{
public:
    explicit SchedulingPass(PlanInput &input)
        : m_input(input)
        , m_fleet(input.minions)
        , m_search(m_fleet, input.preferences)
        , m_urgentGpus(urgentGpus(input))
        , m_preemption(m_fleet, input.active, borrowers())
        , m_reclaim(std::move(input.budgets), borrowedGpus(input))
    {
    }

    PlanDecisions run()
    {
        for (const Candidate &candidate : candidates()) {
            scheduleStep(candidate);
        }
        return std::move(m_decisions);
    }

private:
    std::vector<Candidate> candidates()
    {
        std::vector<Candidate> all;
        for (const auto &[key, entry] : m_input.jobs.live()) {
            for (std::uint32_t k = 0; k < entry->occurrences.size(); ++k) {
                if (entry->dueMs(k) + CLOCK_SKEW_MARGIN_MS <= m_input.nowMs) {
                    addSteps(*entry, k, all);
                }
            }
        }
        std::sort(all.begin(), all.end(), [](const Candidate &a, const Candidate &b) { return a.rank() < b.rank(); });
        return all;
    }

    void addSteps(const JobEntry &entry, std::uint32_t occurrence, std::vector<Candidate> &all)
    {
        const OccurrenceProgress &progress = entry.occurrences[occurrence];
        for (std::uint32_t s = 0; s < progress.steps.size(); ++s) {
            const StepProgress &step = progress.steps[s];
            const bool waits = std::any_of(step.units.begin(), step.units.end(),
                                           [](const UnitStatus &unit) { return unit.state == UnitState::Waiting; });
            if (!waits || !entry.dependenciesDone(occurrence, s)) {
                continue;
            }
            Candidate candidate {&entry, occurrence, s};
            candidate.timeliness = timelinessOf(entry, occurrence, m_input.times, {m_input.nowMs, m_input.steadyMs});
            candidate.guaranteed = entry.job.priority == 0 && withinGuarantee(entry, candidate.spec(), step);
            all.push_back(candidate);
        }
    }

    /**
     * Counts the waiting units of a step against the guarantee of its team, beside the active units of all steps. Steps
     * are counted in order of submission, so that the set of guaranteed steps is stable from pass to pass.
     */
    bool withinGuarantee(const JobEntry &entry, const StepSpec &step, const StepProgress &progress)
    {
        const auto waiting = std::count_if(progress.units.begin(), progress.units.end(),
                                           [](const UnitStatus &unit) { return unit.state == UnitState::Waiting; });
        const std::int64_t gpus = step.need.gpus * (step.gang ? step.count : waiting);
        std::int64_t &demand = m_guaranteedDemand[entry.job.team];
        const std::int64_t limit = m_input.config.guaranteedGpus(entry.job.team);
        if (m_urgentGpus[entry.job.team] + demand + gpus > limit) {
            return false;
        }
        demand += gpus;
        return true;
    }

    /** @return the GPUs allocated to active urgent work, by team. */
    static std::map<TeamName, std::int64_t> urgentGpus(const PlanInput &input)
    {
        std::map<TeamName, std::int64_t> gpus;
        for (const ActiveUnit &unit : input.active) {
            if (unit.priority == 0) {
                gpus[unit.team] += unit.need.gpus * static_cast<std::int64_t>(unit.minions.size());
            }
        }
        return gpus;
    }

    /** @return the teams whose active urgent work exceeds their guarantee. */
    [[nodiscard]] std::set<TeamName> borrowers() const
    {
        std::set<TeamName> teams;
        for (const auto &[team, gpus] : m_urgentGpus) {
            if (gpus > m_input.config.guaranteedGpus(team)) {
                teams.insert(team);
            }
        }
        return teams;
    }

    /** @return the GPUs of urgent work beyond the guarantee that are not being released, by team. */
    static std::map<TeamName, std::int64_t> borrowedGpus(const PlanInput &input)
    {
        std::map<TeamName, std::int64_t> gpus;
        for (const ActiveUnit &unit : input.active) {
            if (unit.priority == 0 && !unit.stopping) {
                const auto place = gpus.try_emplace(unit.team, -input.config.guaranteedGpus(unit.team)).first;
                place->second += unit.need.gpus * static_cast<std::int64_t>(unit.minions.size());
            }
        }
        return gpus;
    }

    void scheduleStep(const Candidate &candidate)
    {
        const StepProgress &progress = candidate.entry->occurrences[candidate.occurrence].steps[candidate.step];
        const StepSpec &step = candidate.spec();
        std::map<std::size_t, std::uint32_t> placed = placedPerMinion(candidate, progress);
        PlacementRequest request;
        request.group = requiresAdmission(candidate) ? &admittedMinions(candidate) : &eligibleMinions(candidate);
        request.need = countedNeed(step);
        request.members = step.gang ? step.count : 1;
        request.maxPerMinion = step.maxPerMinion;
        request.placed = &placed;
        request.job = &candidate.entry->job;
        request.step = &step;
        const std::vector<std::size_t> feasible = feasibleRacks(m_fleet, *request.group, step, request.need);
        for (std::size_t i = 0; i < progress.units.size(); ++i) {
            const UnitKey unit = candidate.unit(i);
            if (progress.units[i].state != UnitState::Waiting || m_input.heldBack.contains(unit)) {
                continue;
            }
            const auto avoided = m_input.avoid.find(unit);
            request.avoid = avoided == m_input.avoid.end() ? nullptr : &avoided->second;
            if (!m_input.startWindow.admits(candidate.stepKey())) {
                m_decisions.windowFull = true;
                return;
            }
            const bool advanced = scheduleUnit(candidate, unit, request, feasible, placed);
            if (!advanced && !step.longRunning) { // units of a long-running step may be overdue by themselves
                return;                           // the other units of the step have the same needs
            }
            if (advanced) {
                m_input.startWindow.add(candidate.stepKey(), request.members);
            }
        }
    }

    /** @return true if @p unit starts, or if other units are preempted for it. */
    bool scheduleUnit(const Candidate &candidate, const UnitKey &unit, const PlacementRequest &request,
                      const std::vector<std::size_t> &feasible, std::map<std::size_t, std::uint32_t> &placed)
    {
        const bool overdue = isOverdue(candidate, unit);
        const std::int64_t headroom =
            m_input.headroom.gpus(candidate.entry->job.priority, m_fleet.capacity().gpus, m_input.steadyMs);
        const std::int64_t gpus = request.need.gpus * static_cast<std::int64_t>(request.members);
        const bool isHeldBack = !leavesHeadroom(gpus, m_fleet.free().gpus, headroom);
        if (isHeldBack && !overdue) {
            return false;
        }
        const std::vector<std::size_t> racks = racksToTry(m_fleet, candidate.spec(), feasible);
        std::vector<std::size_t> chosen = isHeldBack ? std::vector<std::size_t>() : findOn(racks, request);
        if (chosen.empty() && overdue) {
            chosen = findAnywhere(candidate, request, feasible);
        }
        if (!chosen.empty()) {
            allocate(chosen, request.need, placed);
            m_decisions.starts.push_back({unit, std::move(chosen)});
            m_started.insert(unit.job);
            return true;
        }
        addAdmissionQuery(candidate, request, overdue, isHeldBack);
        if (isHeldBack || !mayPreempt(candidate)) {
            return false;
        }
        const PreemptionRights rights {candidate.entry->job.priority, candidate.entry->job.team, candidate.guaranteed,
                                       maxPreemptionCost(candidate)};
        auto plan = m_preemption.find(request, racks, rights);
        if (!plan && candidate.guaranteed) {
            plan = m_preemption.findReclaiming(request, racks, rights, m_reclaim, awaitedMs(*candidate.entry));
        }
        if (!plan) {
            return false;
        }
        m_preemption.stop(*plan);
        for (const std::size_t v : plan->victims) {
            if (!plan->awaited.contains(v)) {
                m_reclaim.stop(m_input.active[v]);
                m_decisions.stops.push_back({m_input.active[v].key, unit, !m_input.active[v].preemptible});
            }
        }
        // Reserves the capacity, so that no later unit in this pass is placed there.
        allocate(plan->chosen, request.need, placed);
        return true;
    }

    /**
     * @return true if @p unit must not wait by choice any longer: nothing of its job has run for a while, or of the
     * unit if it is long-running.
     */
    [[nodiscard]] bool isOverdue(const Candidate &candidate, const UnitKey &unit) const
    {
        if (m_input.idleJobs == nullptr) {
            return false;
        }
        if (candidate.spec().longRunning) {
            return m_input.idleJobs->unitIdleMs(unit, m_input.steadyMs) >= MAX_CHOSEN_WAIT_MS;
        }
        return m_input.idleJobs->jobIdleMs(unit.job, m_input.steadyMs) >= MAX_CHOSEN_WAIT_MS
               && !m_started.contains(unit.job);
    }

    std::vector<std::size_t> findOn(const std::vector<std::size_t> &racks, const PlacementRequest &request)
    {
        for (const std::size_t rack : racks) {
            std::vector<std::size_t> chosen = m_search.find(request, rack);
            if (!chosen.empty()) {
                return chosen;
            }
        }
        return {};
    }

    /**
     * Finds a place for an overdue unit, on its @p feasible racks if possible, and on minions of last resort only if it
     * fits nowhere else.
     * @return the minion of each member; empty if it does not fit, or if the free capacity does not hold it twice
     */
    std::vector<std::size_t> findAnywhere(const Candidate &candidate, const PlacementRequest &request,
                                          const std::vector<std::size_t> &feasible)
    {
        PlacementRequest widest = request;
        widest.group =
            requiresAdmission(candidate) ? &admittedMinions(candidate, true) : &eligibleMinions(candidate, true);
        std::size_t members = 0;
        for (const std::size_t m : widest.group->all) {
            members += membersThatFit(m_fleet[m].free, request.need, 0);
        }
        if (members < 2 * request.members) {
            return {};
        }
        std::vector<std::size_t> racks = feasible;
        racks.push_back(MinionGroup::ANY_RACK);
        std::vector<std::size_t> chosen = findOn(racks, request);
        return chosen.empty() ? m_search.find(widest, MinionGroup::ANY_RACK) : chosen;
    }

    [[nodiscard]] static bool mayPreempt(const Candidate &candidate)
    {
        return candidate.guaranteed
               || (candidate.timeliness == Timeliness::InTime && candidate.entry->job.priority == 0);
    }

    /** @return how many tasks of the step each minion holds, if their number is limited. */
    std::map<std::size_t, std::uint32_t> placedPerMinion(const Candidate &candidate, const StepProgress &progress)
    {
        std::map<std::size_t, std::uint32_t> placed;
        if (candidate.spec().maxPerMinion == 0) {
            return placed;
        }
        if (const auto strays = m_input.strays.find(candidate.stepKey()); strays != m_input.strays.end()) {
            for (const auto &[minion, tasks] : strays->second) {
                if (const std::size_t m = m_fleet.indexOf(minion); m != SIZE_MAX) {
                    placed[m] += tasks;
                }
            }
        }
        for (const UnitStatus &unit : progress.units) {
            if (unit.state != UnitState::Placed) {
                continue; // the status of a finished unit still names its minions
            }
            for (const MinionId &minion : unit.minions) {
                if (const std::size_t m = m_fleet.indexOf(minion); m != SIZE_MAX) {
                    ++placed[m];
                }
            }
        }
        return placed;
    }

    const MinionGroup &eligibleMinions(const Candidate &candidate, bool withLastResort = false)
    {
        return m_fleet.eligible(serviceOf(m_input.config, candidate.entry->job), candidate.spec(), withLastResort);
    }

    /** @return the eligible minions for which there is a valid ticket, as a new group on each call. */
    const MinionGroup &admittedMinions(const Candidate &candidate, bool withLastResort = false)
    {
        MinionGroup &admitted = m_admittedGroups.emplace_back();
        for (const std::size_t m : eligibleMinions(candidate, withLastResort).all) {
            if (!m_input.tickets.ticket(candidate.stepKey(), m_fleet[m].id, m_input.steadyMs).empty()) {
                admitted.add(m, m_fleet.rackOf(m));
            }
        }
        return admitted;
    }

    [[nodiscard]] bool requiresAdmission(const Candidate &candidate) const
    {
        const QueueConfig *queue = m_input.config.queue(candidate.entry->job.queue);
        return queue != nullptr && queue->oracle.has_value();
    }

    /**
     * Adds a query about eligible minions without a valid ticket: first those with free capacity, and among them first
     * those whose ticket has expired. Left out are minions that are too small for a task and those that the oracle has
     * refused. A ticket that has expired is renewed only if the step could start with it.
     * @param request of the unit, which has found no place
     * @param overdue true to include minions of last resort
     * @param isHeldBack true if it would start only because it is overdue
     */
    void addAdmissionQuery(const Candidate &candidate, const PlacementRequest &request, bool overdue, bool isHeldBack)
    {
        if (!requiresAdmission(candidate)) {
            return;
        }
        const StepKey key = candidate.stepKey();
        std::vector<std::tuple<bool, bool, std::size_t>> order;
        bool expired = false;
        for (const std::size_t m : eligibleMinions(candidate, overdue).all) {
            const MinionView &minion = m_fleet[m];
            const bool admittedBefore = m_input.tickets.admitted(key, minion.id);
            const bool fitsNow = minion.free.covers(request.need);
            const bool shouldQuery = minion.capacity.covers(request.need) && !m_input.tickets.refused(key, minion.id)
                                     && m_input.tickets.ticket(key, minion.id, m_input.steadyMs).empty();
            if (shouldQuery && (fitsNow || !admittedBefore)) {
                order.emplace_back(!fitsNow, !admittedBefore, m);
                expired = expired || admittedBefore;
            }
        }
        if (order.empty()) {
            return;
        }
        const bool couldStart = couldStartOnceAdmitted(candidate, request, overdue, isHeldBack);
        if (expired && !couldStart) {
            std::erase_if(order, [](const auto &item) { return !std::get<1>(item); });
        }
        std::sort(order.begin(), order.end());
        const std::size_t maxMinions =
            std::min(MAX_QUERIED_MINIONS, std::max(MIN_QUERIED_MINIONS, 2 * request.members));
        const Resources &need = request.need;
        const AdmissionKind kind {candidate.entry->job.queue, request.members, need.cores, need.memoryMb, need.gpus};
        AdmissionQuery query {{key, kind, couldStart}, {}};
        for (std::size_t i = 0; i < std::min(maxMinions, order.size()); ++i) {
            query.minions.push_back(m_fleet[std::get<2>(order[i])].id);
        }
        if (!query.minions.empty()) {
            m_decisions.admissionQueries.push_back(std::move(query));
        }
    }

    /** @return true if a unit would find a place if every minion that the oracle has not refused were admitted. */
    bool couldStartOnceAdmitted(const Candidate &candidate, const PlacementRequest &request, bool overdue,
                                bool isHeldBack)
    {
        const StepSpec &step = candidate.spec();
        const StepKey key = candidate.stepKey();
        MinionGroup &group = m_admittedGroups.emplace_back();
        std::size_t members = 0; // with those on minions of last resort, where an overdue unit must fit twice
        for (const std::size_t m : eligibleMinions(candidate, overdue).all) {
            if (!m_input.tickets.refused(key, m_fleet[m].id)) {
                group.add(m, m_fleet.rackOf(m));
                members += membersThatFit(m_fleet[m].free, request.need, 0);
            }
        }
        PlacementRequest admitted = request;
        admitted.group = &group;
        if (overdue && members >= 2 * request.members && !m_search.find(admitted, MinionGroup::ANY_RACK).empty()) {
            return true;
        }
        const std::vector<std::size_t> racks =
            racksToTry(m_fleet, step, feasibleRacks(m_fleet, group, step, request.need));
        return !isHeldBack && members >= request.members && !findOn(racks, admitted).empty();
    }

    void allocate(const std::vector<std::size_t> &chosen, const Resources &need,
                  std::map<std::size_t, std::uint32_t> &placed)
    {
        for (const std::size_t m : chosen) {
            m_fleet.allocate(m, need);
            ++placed[m];
        }
    }

    /** @return the longest remaining time of a nearly done unit for whose end guaranteed work of @p entry waits. */
    [[nodiscard]] std::int64_t awaitedMs(const JobEntry &entry) const
    {
        const std::int64_t waitedMs =
            entry.acceptedMs ? m_input.steadyMs - *entry.acceptedMs : m_input.nowMs - entry.job.submittedMs;
        return longestAwaitedMs(std::max<std::int64_t>(0, waitedMs), STOP_MS);
    }

    /** @return the limit of PreemptionRights for one unit of @p candidate, in core-seconds. */
    [[nodiscard]] double maxPreemptionCost(const Candidate &candidate) const
    {
        if (candidate.guaranteed) {
            return NO_LIMIT;
        }
        const StepSpec &step = candidate.spec();
        const double members = step.gang ? step.count : 1;
        const std::int64_t expected = m_input.times.expectedMs(candidate.entry->job.queue, step.estimate.count());
        const double work = equivalentCores(step.need) * members * double(expected) / 1000;
        return work * MAX_LOSS_RATIO;
    }

    PlanInput &m_input;
    MinionFleet m_fleet;
    PlacementSearch m_search;
    std::deque<MinionGroup>
        m_admittedGroups; ///< a deque, since m_search and m_preemption key their results by group address
    std::map<TeamName, std::int64_t> m_urgentGpus;
    Preemption m_preemption;
    ReclaimLedger m_reclaim;
    PlanDecisions m_decisions;
    std::map<TeamName, std::int64_t> m_guaranteedDemand;
    std::set<JobId> m_started; ///< jobs of which this pass starts a unit
};

} // namespace

Resources countedNeed(const StepSpec &step)
{
    Resources need = step.need;
    if (step.fills) {
        need.cores = 0;
    }
    return need;
}

const ServiceName &serviceOf(const DeploymentConfig &config, const StepJob &job)
{
    const QueueConfig *queue = config.queue(job.queue);
    return queue == nullptr ? job.service : queue->service;
}

PlanDecisions planSteps(PlanInput input)
{
    return SchedulingPass(input).run();
}

} // namespace Papaya
