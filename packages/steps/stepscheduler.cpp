#include "steps/stepscheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace Papaya
{

namespace
{

constexpr std::int64_t DUE_MARGIN_MS = 20; // clocks of nodes differ slightly; a start before its time is an error
constexpr double GPU_IN_CORES = 8;         // a GPU weighs as much as this many cores
constexpr double STOP_COST = 1;            // core-seconds; keeps needless stops away
// Scores of a minion for a member, each above all that come after it: where the unit has failed, minions that have
// failed others, GPUs that stay free, the share of memory that does; the share of cores counts 1.
constexpr double AVOIDED_SCORE = 1e8;
constexpr double PENALTY_SCORE = 1e6;
constexpr double GPU_SCORE = 100;
constexpr double MEMORY_SCORE = 10;
constexpr std::uint32_t MAX_MEMBERS_A_MINION = 64;
constexpr double URGENT_LOSS = 1;       // what other work may lose for an urgent unit, in units of its own work
constexpr std::size_t LEAST_ASKED = 30; // minions in one call to the admission oracle, which takes longer for more
constexpr std::size_t MAX_ASKED = 100;
constexpr double NO_ROOM = std::numeric_limits<double>::max();

double weightOf(const Resources &need)
{
    return double(need.cores) / 1000 + GPU_IN_CORES * double(need.gpus);
}

/** A step with units that wait, in the order in which it is served. */
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

/** One pass over the fleet. */
class Pass
{
public:
    explicit Pass(PlanInput &input)
        : m_input(input)
    {
    }

    PlanDecisions run()
    {
        for (const ActiveUnit &unit : m_input.active) {
            if (unit.priority == 0) {
                m_urgentGpus[unit.team] += unit.need.gpus * static_cast<std::int64_t>(unit.minions.size());
            }
        }
        for (const Candidate &candidate : candidates()) {
            serve(candidate);
        }
        return std::move(m_decisions);
    }

private:
    std::vector<Candidate> candidates()
    {
        std::vector<Candidate> all;
        for (const auto &[key, entry] : m_input.book.live()) {
            for (std::uint32_t k = 0; k < entry->occurrences.size(); ++k) {
                if (entry->dueMs(k) + DUE_MARGIN_MS <= m_input.nowMs) {
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
            candidate.timeliness = timelinessOf(entry, occurrence, m_input.times, m_input.nowMs);
            candidate.guaranteed = entry.job.priority == 0 && withinGuarantee(entry, candidate.spec());
            all.push_back(candidate);
        }
    }

    /** Demand is counted in order of submission, so that what fits into the guarantee does not change from pass to
     * pass. */
    bool withinGuarantee(const JobEntry &entry, const StepSpec &step)
    {
        const std::int64_t gpus = step.need.gpus * step.count;
        std::int64_t &demand = m_guaranteedDemand[entry.job.team];
        const std::int64_t limit = m_input.config.guaranteedGpus(entry.job.team);
        if (m_urgentGpus[entry.job.team] + demand + gpus > limit) {
            return false;
        }
        demand += gpus;
        return true;
    }

    void serve(const Candidate &candidate)
    {
        const StepProgress &progress = candidate.entry->occurrences[candidate.occurrence].steps[candidate.step];
        std::map<std::size_t, std::uint32_t> perMinion = placedPerMinion(candidate, progress);
        for (std::size_t i = 0; i < progress.units.size(); ++i) {
            const UnitKey unit = candidate.unit(i);
            if (progress.units[i].state != UnitState::Waiting || m_input.heldBack.contains(unit)) {
                continue;
            }
            if (startIfRoom(candidate, unit, perMinion)) {
                continue;
            }
            wantAdvice(candidate);
            if (mayPreempt(candidate) && makeRoom(candidate, unit, perMinion)) {
                continue;
            }
            return; // its siblings need the same
        }
    }

    [[nodiscard]] static bool mayPreempt(const Candidate &candidate)
    {
        return candidate.guaranteed
               || (candidate.timeliness == Timeliness::InTime && candidate.entry->job.priority == 0);
    }

    std::map<std::size_t, std::uint32_t> placedPerMinion(const Candidate &candidate, const StepProgress &progress)
    {
        std::map<std::size_t, std::uint32_t> placed;
        if (candidate.spec().maxPerMinion == 0) {
            return placed;
        }
        for (const UnitStatus &unit : progress.units) {
            for (const MinionId &minion : unit.minions) {
                for (std::size_t m = 0; m < m_input.minions.size(); ++m) {
                    placed[m] += m_input.minions[m].id == minion ? 1 : 0;
                }
            }
        }
        return placed;
    }

    [[nodiscard]] bool eligible(const Candidate &candidate, const MinionView &minion) const
    {
        return suits(minion, serviceOf(m_input.config, candidate.entry->job), candidate.spec())
               && (!isAdvised(candidate)
                   || !m_input.tickets.ticket(candidate.stepKey(), minion.id, m_input.steadyMs).empty());
    }

    [[nodiscard]] bool isAdvised(const Candidate &candidate) const
    {
        const QueueConfig *queue = m_input.config.queue(candidate.entry->job.queue);
        return queue != nullptr && queue->advice.has_value();
    }

    /**
     * Names the minions to ask the oracle about: those that have room now first, and of them those that it has admitted
     * before, whose tickets have expired.
     */
    void wantAdvice(const Candidate &candidate)
    {
        if (!isAdvised(candidate)) {
            return;
        }
        const StepSpec &step = candidate.spec();
        const Resources need = countedNeed(step);
        const StepKey key = candidate.stepKey();
        std::vector<std::tuple<bool, bool, std::size_t>> order;
        for (std::size_t m = 0; m < m_input.minions.size(); ++m) {
            const MinionView &minion = m_input.minions[m];
            const bool known = m_input.tickets.admitted(key, minion.id);
            const bool room = minion.free.covers(need);
            const bool ask = suits(minion, serviceOf(m_input.config, candidate.entry->job), step)
                             && minion.capacity.covers(need) && !m_input.tickets.refused(key, minion.id)
                             && !eligible(candidate, minion);
            if (ask && (room || !known)) {
                order.emplace_back(!room, !known, m);
            }
        }
        std::sort(order.begin(), order.end());
        const std::size_t members = step.gang ? step.count : 1;
        const std::size_t most = std::min(MAX_ASKED, std::max(LEAST_ASKED, 2 * members));
        AdviceWanted wanted {key, {}};
        for (std::size_t i = 0; i < std::min(most, order.size()); ++i) {
            wanted.minions.push_back(m_input.minions[std::get<2>(order[i])].id);
        }
        if (!wanted.minions.empty()) {
            m_decisions.advice.push_back(std::move(wanted));
        }
    }

    [[nodiscard]] bool avoided(const UnitKey &unit, const MinionView &minion) const
    {
        const auto found = m_input.avoid.find(unit);
        return found != m_input.avoid.end()
               && std::find(found->second.begin(), found->second.end(), minion.id) != found->second.end();
    }

    /** How little a member of @p need on @p minion leaves behind; smaller is better. */
    [[nodiscard]] double leftOver(const UnitKey &unit, const MinionView &minion, const Resources &need) const
    {
        const auto share = [](std::int64_t left, std::int64_t capacity) {
            return double(left) / double(std::max<std::int64_t>(1, capacity));
        };
        double score = avoided(unit, minion) ? AVOIDED_SCORE : 0;
        score += PENALTY_SCORE * minion.penalty;
        score += GPU_SCORE * double(minion.free.gpus - need.gpus);
        score += MEMORY_SCORE * share(minion.free.memoryMb - need.memoryMb, minion.capacity.memoryMb);
        score += share(minion.free.cores - need.cores, minion.capacity.cores);
        return score;
    }

    /** Finds minions for all members in what is free; empty if there is no room. */
    std::vector<std::size_t> findRoom(const Candidate &candidate, const UnitKey &unit,
                                      const std::map<std::size_t, std::uint32_t> &perMinion,
                                      const RackName *onlyRack) const
    {
        const StepSpec &step = candidate.spec();
        const Resources need = countedNeed(step);
        const std::size_t members = step.gang ? step.count : 1;
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t m = 0; m < m_input.minions.size(); ++m) {
            const MinionView &minion = m_input.minions[m];
            if (eligible(candidate, minion) && minion.free.covers(need)
                && (onlyRack == nullptr || minion.rack == *onlyRack)) {
                order.emplace_back(leftOver(unit, minion, need), m);
            }
        }
        std::sort(order.begin(), order.end());
        std::vector<std::size_t> chosen;
        for (const auto &[score, m] : order) {
            Resources room = m_input.minions[m].free;
            const auto found = perMinion.find(m);
            std::uint32_t here = found == perMinion.end() ? 0 : found->second;
            while (chosen.size() < members && room.covers(need)
                   && (step.maxPerMinion == 0 || here < step.maxPerMinion)) {
                room -= need;
                ++here;
                chosen.push_back(m);
            }
        }
        return chosen.size() == members ? chosen : std::vector<std::size_t>();
    }

    bool startIfRoom(const Candidate &candidate, const UnitKey &unit, std::map<std::size_t, std::uint32_t> &perMinion)
    {
        for (const std::optional<RackName> &rack : racksFor(candidate)) {
            std::vector<std::size_t> chosen = findRoom(candidate, unit, perMinion, rack ? &*rack : nullptr);
            if (!chosen.empty()) {
                take(chosen, countedNeed(candidate.spec()), perMinion);
                m_decisions.starts.push_back({unit, std::move(chosen)});
                return true;
            }
        }
        return false;
    }

    /**
     * @return the racks that the step may run on, nothing standing for any; away from its data, or spread over racks,
     * it takes several times as long, so that it waits for a rack as long as one could hold it and the fleet is busy
     */
    std::vector<std::optional<RackName>> racksFor(const Candidate &candidate)
    {
        const StepSpec &step = candidate.spec();
        const bool together = step.gang && step.sameRack;
        if (step.dataRack.value().empty() && !together) {
            return {std::nullopt};
        }
        std::vector<std::optional<RackName>> racks;
        for (const auto &[rack, members] : capacityByRack(candidate)) {
            const bool near = step.dataRack.value().empty() || rack == step.dataRack;
            if (near && members >= (step.gang ? step.count : 1)) {
                racks.emplace_back(rack);
            }
        }
        if (racks.empty() || fleetIsIdle()) {
            racks.emplace_back(std::nullopt);
        }
        return racks;
    }

    /** @return how many members each rack could hold if it were empty. */
    std::map<RackName, std::uint32_t> capacityByRack(const Candidate &candidate) const
    {
        const Resources need = countedNeed(candidate.spec());
        std::map<RackName, std::uint32_t> members;
        for (const MinionView &minion : m_input.minions) {
            const bool good = eligible(candidate, minion);
            const std::uint32_t here = good ? membersThatFit(minion.capacity, need, MAX_MEMBERS_A_MINION) : 0;
            members[minion.rack] += here;
        }
        return members;
    }

    /** @return true if less than half of the fleet's GPUs and memory are in use. */
    [[nodiscard]] bool fleetIsIdle() const
    {
        Resources capacity;
        Resources free;
        for (const MinionView &minion : m_input.minions) {
            if (minion.usable) {
                capacity += minion.capacity;
                free += minion.free;
            }
        }
        return 2 * free.gpus >= capacity.gpus && 2 * free.memoryMb >= capacity.memoryMb
               && 2 * free.cores >= capacity.cores;
    }

    void take(const std::vector<std::size_t> &chosen, const Resources &need,
              std::map<std::size_t, std::uint32_t> &perMinion)
    {
        for (const std::size_t m : chosen) {
            m_input.minions[m].free -= need;
            ++perMinion[m];
        }
    }

    /** Whether @p victim may be stopped for @p candidate. */
    [[nodiscard]] bool mayStop(const Candidate &candidate, const ActiveUnit &victim)
    {
        if (!victim.stoppable || victim.stopping) {
            return false;
        }
        if (victim.priority > candidate.entry->job.priority) {
            return true;
        }
        // Work beyond a team's guarantee is borrowed.
        return candidate.guaranteed && victim.team != candidate.entry->job.team
               && m_urgentGpus[victim.team] > m_input.config.guaranteedGpus(victim.team);
    }

    [[nodiscard]] static double stopCost(const ActiveUnit &victim)
    {
        return STOP_COST + weightOf(victim.need) * double(victim.minions.size()) * double(victim.lossMs) / 1000;
    }

    /** Makes room on the rack where that costs least. */
    bool makeRoom(const Candidate &candidate, const UnitKey &unit, std::map<std::size_t, std::uint32_t> &perMinion)
    {
        std::optional<Room> best;
        for (const std::optional<RackName> &rack : racksFor(candidate)) {
            std::optional<Room> room = findVictims(candidate, perMinion, rack ? &*rack : nullptr);
            if (room && (!best || room->cost < best->cost)) {
                best = std::move(room);
            }
        }
        if (!best || best->cost > mayCost(candidate)) {
            return false;
        }
        for (const std::size_t v : best->victims) {
            ActiveUnit &victim = m_input.active[v];
            victim.stopping = true;
            for (const std::size_t m : victim.minions) {
                m_input.minions[m].soon += victim.need;
            }
            m_decisions.stops.push_back({victim.key, unit});
        }
        // The room is taken out of what others see, so that it is kept.
        take(best->chosen, countedNeed(candidate.spec()), perMinion);
        return true;
    }

    /** @return the core-seconds of other work that may be lost for one unit of @p candidate. */
    [[nodiscard]] double mayCost(const Candidate &candidate) const
    {
        if (candidate.guaranteed) {
            return NO_ROOM;
        }
        const StepSpec &step = candidate.spec();
        const double members = step.gang ? step.count : 1;
        const std::int64_t expected = m_input.times.expectedMs(candidate.entry->job.queue, step.estimate.count());
        const double work = weightOf(step.need) * members * double(expected) / 1000;
        return work * URGENT_LOSS;
    }

    /** Room that can be had by stopping units. */
    struct Room {
        double cost = 0;
        std::set<std::size_t> victims;
        std::vector<std::size_t> chosen; ///< minions of the members
    };

    /** @return the cheapest room for all members on @p onlyRack, or on any if it is null. */
    std::optional<Room> findVictims(const Candidate &candidate, const std::map<std::size_t, std::uint32_t> &perMinion,
                                    const RackName *onlyRack)
    {
        const Resources need = countedNeed(candidate.spec());
        const std::size_t members = candidate.spec().gang ? candidate.spec().count : 1;
        // 1. Room per minion: what is free and what is already being freed.
        std::vector<Resources> room;
        for (const MinionView &minion : m_input.minions) {
            room.push_back(minion.free);
            room.back() += minion.soon;
        }
        Room result;
        std::map<std::size_t, std::uint32_t> counts = perMinion;
        // 2. Takes the cheapest minion for one member after the other.
        while (result.chosen.size() < members) {
            double best = NO_ROOM;
            std::size_t bestMinion = 0;
            std::vector<std::size_t> bestVictims;
            for (std::size_t m = 0; m < room.size(); ++m) {
                const std::uint32_t limit = candidate.spec().maxPerMinion;
                const bool elsewhere = onlyRack != nullptr && m_input.minions[m].rack != *onlyRack;
                if (elsewhere || !eligible(candidate, m_input.minions[m]) || (limit > 0 && counts[m] >= limit)) {
                    continue;
                }
                auto [cost, needed] = cheapestVictims(candidate, m, room[m], need, result.victims);
                if (cost < best) {
                    best = cost;
                    bestMinion = m;
                    bestVictims = std::move(needed);
                }
            }
            if (best == NO_ROOM) {
                return std::nullopt;
            }
            result.cost += best;
            for (const std::size_t v : bestVictims) {
                result.victims.insert(v);
                for (const std::size_t m : m_input.active[v].minions) {
                    room[m] += m_input.active[v].need;
                }
            }
            room[bestMinion] -= need;
            ++counts[bestMinion];
            result.chosen.push_back(bestMinion);
        }
        return result;
    }

    /** @return the cost of room for one member on minion @p m, and which further units have to be stopped for it */
    std::pair<double, std::vector<std::size_t>> cheapestVictims(const Candidate &candidate, std::size_t m,
                                                                Resources room, const Resources &need,
                                                                const std::set<std::size_t> &chosen)
    {
        std::vector<std::size_t> needed;
        if (room.covers(need)) {
            return {0.0, needed};
        }
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t v = 0; v < m_input.active.size(); ++v) {
            const ActiveUnit &victim = m_input.active[v];
            const bool here = std::find(victim.minions.begin(), victim.minions.end(), m) != victim.minions.end();
            if (here && !chosen.contains(v) && mayStop(candidate, victim)) {
                order.emplace_back(stopCost(victim), v);
            }
        }
        std::sort(order.begin(), order.end());
        double cost = 0;
        for (const auto &[victimCost, v] : order) {
            const ActiveUnit &victim = m_input.active[v];
            for (const std::size_t at : victim.minions) {
                if (at == m) {
                    room += victim.need;
                }
            }
            cost += victimCost;
            needed.push_back(v);
            if (room.covers(need)) {
                return {cost, needed};
            }
        }
        return {NO_ROOM, {}};
    }

    PlanInput &m_input;
    PlanDecisions m_decisions;
    std::map<TeamName, std::int64_t> m_urgentGpus;
    std::map<TeamName, std::int64_t> m_guaranteedDemand;
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

bool suits(const MinionView &minion, const ServiceName &service, const StepSpec &step)
{
    return minion.usable && minion.service == service
           && (step.requiredLabel.empty()
               || std::find(minion.labels.begin(), minion.labels.end(), step.requiredLabel) != minion.labels.end());
}

const ServiceName &serviceOf(const DeploymentConfig &config, const StepJob &job)
{
    const QueueConfig *queue = config.queue(job.queue);
    return queue == nullptr ? job.service : queue->service;
}

std::uint32_t membersThatFit(Resources room, const Resources &need, std::uint32_t limit)
{
    const std::uint32_t most = limit == 0 ? MAX_MEMBERS_A_MINION : std::min(limit, MAX_MEMBERS_A_MINION);
    std::uint32_t members = 0;
    while (members < most && room.covers(need)) {
        room -= need;
        ++members;
    }
    return members;
}

PlanDecisions planSteps(PlanInput input)
{
    return Pass(input).run();
}

} // namespace Papaya
