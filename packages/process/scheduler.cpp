#include "process/scheduler.h"

#include <algorithm>

namespace Papaya
{

FleetModel occupiedFleet(FleetModel fleet, const Ledger &ledger)
{
    for (const auto &[order, id] : ledger.active()) {
        const Job &job = *ledger.job(id);
        for (const WorkerId &worker : job.workers) {
            if (const auto index = fleet.find(worker)) {
                fleet.take(*index, job.spec.shape.part);
            }
        }
    }
    return fleet;
}

Scheduler::Scheduler(std::unique_ptr<PlacementPolicy> policy)
    : m_policy(std::move(policy))
{
}

ScheduleDecision Scheduler::plan(const Ledger &ledger, const FleetModel &fleet)
{
    ScheduleDecision decision;
    FleetModel model = occupiedFleet(fleet, ledger);
    std::vector<const Job *> waiting;
    for (const auto &[order, id] : ledger.active()) {
        const Job *job = ledger.job(id);
        if (!job->placed()) {
            waiting.push_back(job);
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const Job *a, const Job *b) { return a->spec.urgency < b->spec.urgency; });
    for (const Job *job : waiting) {
        const bool fits = fitsEmptyFleet(fleet, job->spec.shape);
        if (fits != (job->state != JobState::Unschedulable)) {
            decision.fitness.push_back({job->spec.job, fits, fits ? "" : "no worker of the fleet can hold this shape"});
        }
        if (!fits) {
            continue;
        }
        const auto parts = m_policy->place(model, job->spec.shape, {});
        if (!parts) {
            continue;
        }
        model.takeAll(*parts, job->spec.shape.part);
        PlaceDecision placement;
        placement.job = job->spec.job;
        for (const WorkerIndex worker : *parts) {
            placement.workers.push_back(fleet.worker(worker).id);
        }
        decision.placements.push_back(std::move(placement));
    }
    return decision;
}

} // namespace Papaya
