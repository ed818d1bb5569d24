#include "process/planningview.h"

#include <algorithm>

namespace Papaya
{

namespace
{

/** @return the largest capacity of any worker, for cores and memory separately. */
Resources largestCapacity(const FleetModel &fleet)
{
    Resources largest;
    for (WorkerIndex worker = 0; worker < fleet.size(); ++worker) {
        const Resources &capacity = fleet.capacity(worker);
        largest.cores = std::max(largest.cores, capacity.cores);
        largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
    }
    return largest;
}

GangDemand demandOf(const JobSubmitted &spec, const SizeEstimator &sizes, const Resources &largest)
{
    GangDemand demand {spec.job, spec.team, spec.caller, spec.urgency, spec.restart, spec.shape};
    // The margin of the estimate must not make a job unplaceable that was admitted because a worker can hold it.
    const Resources expected = sizes.expected(spec);
    demand.shape.part.cores = std::min(expected.cores, std::max(largest.cores, spec.shape.part.cores));
    demand.shape.part.memoryMb = std::min(expected.memoryMb, std::max(largest.memoryMb, spec.shape.part.memoryMb));
    return demand;
}

WaitingGang waitingGang(const Job &job, GangDemand demand, const FleetModel &fleet, std::int64_t runMs)
{
    WaitingGang gang;
    static_cast<GangDemand &>(gang) = std::move(demand);
    gang.submittedMs = job.submittedMs;
    gang.runMs = runMs;
    for (const WorkerId &failedWorker : job.failedWorkers) {
        if (const auto index = fleet.find(failedWorker)) {
            gang.avoid.insert(*index);
        }
    }
    // If the gang fits nowhere else even on the empty fleet, workers on which it failed may be used again.
    if (!gang.avoid.empty() && !FirstFit().place(fleet.withoutAllocations(), gang.shape, gang.avoid)) {
        gang.avoid.clear();
    }
    return gang;
}

RunningGang runningGang(const Job &job, GangDemand demand, const ActiveAttempt *attempt, const FleetModel &fleet,
                        std::int64_t runMs, std::int64_t nowMs)
{
    RunningGang gang;
    static_cast<GangDemand &>(gang) = std::move(demand);
    gang.startedMs = job.startedMs > 0 ? job.startedMs : nowMs;
    gang.runMs = runMs;
    gang.guaranteed = job.placed() ? job.guaranteed : attempt->guaranteed;
    gang.stopping = attempt != nullptr && attempt->stopping;
    for (const WorkerId &worker : job.placed() ? job.workers : attempt->workers) {
        if (const auto index = fleet.find(worker)) {
            gang.workers.push_back(*index);
        }
    }
    return gang;
}

} // namespace

PlanningView makePlanningView(FleetModel fleet, const FleetConfig &config, const Ledger &ledger,
                              const ActiveAttempts &attempts, const LearnedDemand &learned, std::int64_t nowMs)
{
    PlanningView view;
    view.fleet = std::move(fleet);
    view.nowMs = nowMs;
    view.floors = config.floors();
    for (const auto &[name, team] : config.teams()) {
        view.weights[name] = team.weight;
        for (const Guarantee &guarantee : team.guarantees) {
            if (guarantee.count > 0) {
                view.guarantees.push_back({name, guarantee.shape, guarantee.count});
            }
        }
    }
    const Resources largest = largestCapacity(view.fleet);
    for (const auto &[order, id] : ledger.active()) {
        const Job &job = *ledger.job(id);
        const auto found = attempts.find(id);
        const ActiveAttempt *attempt = found == attempts.end() ? nullptr : &found->second;
        const std::int64_t runMs = learned.runTimes.expectedMs(job.spec.templateName, job.spec.run.count());
        GangDemand demand = demandOf(job.spec, learned.sizes, largest);
        if (!job.placed() && attempt == nullptr) {
            view.waiting.push_back(waitingGang(job, std::move(demand), view.fleet, runMs));
        } else {
            view.running.push_back(runningGang(job, std::move(demand), attempt, view.fleet, runMs, nowMs));
        }
    }
    return view;
}

} // namespace Papaya
