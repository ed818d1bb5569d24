#include "property/randomcluster.h"

#include <rapidcheck.h>

#include <algorithm>

namespace Papaya
{

RandomCluster::RandomCluster()
{
    const auto racks = *rc::gen::inRange(1, 5);
    const auto perRack = *rc::gen::inRange(1, 5);
    for (int rack = 0; rack < racks; ++rack) {
        for (int i = 0; i < perRack; ++i) {
            const std::string name = "w" + std::to_string(rack) + "-" + std::to_string(i);
            m_view.fleet.add(WorkerId(name), PlaceName(rack < 2 ? "a" : "b"), RackName("r" + std::to_string(rack)),
                             {64, 128'000, 8});
        }
    }
    const auto guarantees = *rc::gen::inRange(0, 4);
    for (int i = 0; i < guarantees; ++i) {
        const TeamGuarantee guarantee {TeamName("team-" + std::to_string(i)), randomShape(),
                                       1U + *rc::gen::inRange(0U, 2U)};
        m_view.guarantees.push_back(guarantee);
        // Keeps only guarantees that the empty fleet can satisfy together.
        if (countBrokenWhenEmpty() > 0) {
            m_view.guarantees.pop_back();
        }
    }
    m_view.nowMs = 1'000'000;
}

Shape RandomCluster::randomShape()
{
    Shape shape;
    shape.parts = *rc::gen::inRange(1U, 5U);
    shape.part.gpus = *rc::gen::elementOf(std::vector<std::int64_t> {1, 2, 4, 8});
    shape.part.cores = shape.part.gpus;
    shape.adjacency = *rc::gen::elementOf(
        std::vector<Adjacency> {Adjacency::Worker, Adjacency::Rack, Adjacency::Place, Adjacency::Any});
    return shape;
}

std::size_t RandomCluster::countBrokenWhenEmpty() const
{
    return assignGuarantees(m_view.fleet.withoutAllocations(), allGuarantees()).broken.size();
}

std::vector<GuaranteedGang> RandomCluster::allGuarantees() const
{
    std::vector<GuaranteedGang> gangs;
    for (const TeamGuarantee &guarantee : m_view.guarantees) {
        gangs.insert(gangs.end(), guarantee.count, {guarantee.team, guarantee.shape});
    }
    return gangs;
}

void RandomCluster::changeJobs()
{
    m_view.nowMs += *rc::gen::inRange(1, 3'000'000);
    const auto arrivals = *rc::gen::inRange(0, 6);
    for (int i = 0; i < arrivals; ++i) {
        WaitingGang gang;
        gang.job = JobId("j" + std::to_string(m_nextJob++));
        const bool usesGuaranteedShape = !m_view.guarantees.empty() && *rc::gen::inRange(0, 2) == 0;
        const TeamGuarantee *guarantee =
            usesGuaranteedShape ? &m_view.guarantees[*rc::gen::inRange<std::size_t>(0, m_view.guarantees.size())]
                                : nullptr;
        gang.team = usesGuaranteedShape ? guarantee->team : TeamName("others");
        gang.shape = usesGuaranteedShape ? guarantee->shape : randomShape();
        gang.urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
        gang.restart = static_cast<RestartRule>(*rc::gen::inRange(0, 3));
        gang.submittedMs = m_view.nowMs;
        gang.runMs = *rc::gen::inRange(1, 5'000'000);
        m_view.waiting.push_back(gang);
    }
    std::erase_if(m_view.running, [&](const RunningGang &gang) {
        const bool ends = gang.stopping || *rc::gen::inRange(0, 5) == 0;
        if (gang.stopping) {
            m_view.waiting.push_back({gang, m_view.nowMs, gang.runMs, {}});
        }
        return ends;
    });
}

void RandomCluster::toggleWorker()
{
    const auto worker = *rc::gen::inRange<WorkerIndex>(0, static_cast<WorkerIndex>(m_view.fleet.size()));
    const bool losing = m_view.fleet.usable(worker);
    m_view.fleet.setUsable(worker, !losing);
    std::erase_if(m_view.running, [&](const RunningGang &gang) {
        return losing && std::find(gang.workers.begin(), gang.workers.end(), worker) != gang.workers.end();
    });
}

ScheduleDecision RandomCluster::runPass()
{
    ScheduleDecision decision = m_policy.plan(m_view);
    for (const StopDecision &stop : decision.stops) {
        running(stop.job).stopping = true;
    }
    for (const PlaceDecision &placement : decision.placements) {
        startGang(placement);
    }
    return decision;
}

const PlanningView &RandomCluster::view() const
{
    return m_view;
}

std::size_t RandomCluster::countBroken() const
{
    FleetModel reclaimable = m_view.fleet;
    std::vector<TeamGuarantee> left = m_view.guarantees;
    for (const RunningGang &gang : m_view.running) {
        if (!gang.preemptible()) {
            reclaimable.allocateAll(gang.workers, gang.shape.part);
        }
        for (TeamGuarantee &guarantee : left) {
            if (gang.guaranteed && guarantee.team == gang.team && guarantee.count > 0
                && usesGuarantee(gang.shape, guarantee.shape)) {
                --guarantee.count;
                break;
            }
        }
    }
    std::vector<GuaranteedGang> unused;
    for (const TeamGuarantee &guarantee : left) {
        unused.insert(unused.end(), guarantee.count, {guarantee.team, guarantee.shape});
    }
    return assignGuarantees(reclaimable, unused).broken.size();
}

std::vector<GuaranteedGang> RandomCluster::unusedGuarantees() const
{
    std::vector<GuaranteedGang> unused;
    for (const TeamGuarantee &guarantee : m_view.guarantees) {
        const auto uses = [&](const auto &gang) {
            return gang.team == guarantee.team && usesGuarantee(gang.shape, guarantee.shape);
        };
        const auto running = std::count_if(m_view.running.begin(), m_view.running.end(),
                                           [&](const RunningGang &gang) { return gang.guaranteed && uses(gang); });
        const auto waiting = std::count_if(m_view.waiting.begin(), m_view.waiting.end(), uses);
        if (running + waiting < static_cast<std::ptrdiff_t>(guarantee.count)) {
            unused.push_back({guarantee.team, guarantee.shape});
        }
    }
    return unused;
}

JobId RandomCluster::submitGuaranteed(const GuaranteedGang &gang)
{
    JobId job("asked");
    const GangDemand demand {job, gang.team, CallerName(), Urgency::Normal, RestartRule::Checkpoint, gang.shape};
    m_view.waiting.push_back({demand, m_view.nowMs, 1'000, {}});
    return job;
}

void RandomCluster::removeStopped()
{
    m_view.nowMs += 1'000;
    std::erase_if(m_view.running, [](const RunningGang &gang) { return gang.stopping; });
}

bool RandomCluster::isRunning(const JobId &job) const
{
    return std::any_of(m_view.running.begin(), m_view.running.end(),
                       [&](const RunningGang &gang) { return gang.job == job; });
}

std::optional<std::size_t> RandomCluster::firstStop(const ScheduleDecision &decision, bool protectedOnly) const
{
    for (std::size_t i = 0; i < decision.stops.size(); ++i) {
        for (const RunningGang &gang : m_view.running) {
            if (gang.job == decision.stops[i].job && (!protectedOnly || !gang.preemptible())) {
                return i;
            }
        }
    }
    return std::nullopt;
}

RunningGang &RandomCluster::running(const JobId &job)
{
    return *std::find_if(m_view.running.begin(), m_view.running.end(),
                         [&](const RunningGang &gang) { return gang.job == job; });
}

void RandomCluster::startGang(const PlaceDecision &placement)
{
    const auto waiting = std::find_if(m_view.waiting.begin(), m_view.waiting.end(),
                                      [&](const WaitingGang &gang) { return gang.job == placement.job; });
    RC_ASSERT(waiting != m_view.waiting.end());
    m_view.running.push_back({*waiting, placement.workers, placement.guaranteed, false, m_view.nowMs, waiting->runMs});
    m_view.waiting.erase(waiting);
}

} // namespace Papaya
