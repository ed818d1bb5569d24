#include "process/planningview.h"

namespace Papaya
{

namespace
{

GangDemand demandOf(const JobSubmitted &spec)
{
    return {spec.job, spec.team, spec.caller, spec.urgency, spec.restart, spec.shape};
}

WaitingGang waitingGang(const Job &job, const FleetModel &fleet, std::int64_t runMs)
{
    WaitingGang gang;
    static_cast<GangDemand &>(gang) = demandOf(job.spec);
    gang.submittedMs = job.submittedMs;
    gang.runMs = runMs;
    for (const WorkerId &culprit : job.culprits) {
        if (const auto index = fleet.find(culprit)) {
            gang.avoid.insert(*index);
        }
    }
    // A gang that has failed nearly everywhere is let in again.
    if (!gang.avoid.empty() && !FirstFit().place(fleet.emptied(), gang.shape, gang.avoid)) {
        gang.avoid.clear();
    }
    return gang;
}

RunningGang runningGang(const Job &job, const ActiveAttempt *attempt, const FleetModel &fleet, std::int64_t runMs,
                        std::int64_t nowMs)
{
    RunningGang gang;
    static_cast<GangDemand &>(gang) = demandOf(job.spec);
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
                              const ActiveAttempts &attempts, const RunTimeBook &runTimes, std::int64_t nowMs)
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
    for (const auto &[order, id] : ledger.active()) {
        const Job &job = *ledger.job(id);
        const auto found = attempts.find(id);
        const ActiveAttempt *attempt = found == attempts.end() ? nullptr : &found->second;
        const std::int64_t runMs = runTimes.expectedMs(job.spec.templateName, job.spec.run.count());
        if (!job.placed() && attempt == nullptr) {
            view.waiting.push_back(waitingGang(job, view.fleet, runMs));
        } else {
            view.running.push_back(runningGang(job, attempt, view.fleet, runMs, nowMs));
        }
    }
    return view;
}

} // namespace Papaya
