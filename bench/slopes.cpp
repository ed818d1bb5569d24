#include "process/guaranteescheduling.h"
#include "process/snapshotstore.h"

#include "base/codec.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

// Measures how the costs of scheduling passes, the ledger and its snapshots grow with the fleet and its work. Prints
// one line for each size.

using namespace Papaya;

namespace
{

/** Size of the fleet and its work in one measurement. */
struct Size {
    std::size_t workers = 50;
    std::size_t gpusPerWorker = 8;
    std::size_t running = 200; ///< gangs that run
    std::size_t waiting = 50;  ///< gangs that wait
    std::size_t teams = 4;
    std::size_t kept = 0; ///< ended jobs that the ledger keeps
};

/** @return the resident memory of this process in kilobytes, or 0 if unknown. */
std::size_t residentKb()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

JobSubmitted makeSubmission(std::size_t number, const Size &size, const Shape &shape)
{
    JobSubmitted job;
    job.job = JobId("j-0123456789abcdef" + std::to_string(number));
    job.team = TeamName("team-" + std::to_string(number % size.teams));
    job.caller = CallerName("caller-" + std::to_string(number % 17));
    job.templateName = TemplateName("template-" + std::to_string(number % 60));
    job.parametersJson = R"({"depot":"bergen","day":"friday"})";
    job.urgency = static_cast<Urgency>(number % URGENCY_COUNT);
    job.restart = RestartRule::Checkpoint;
    job.shape = shape;
    job.run = Millis(3'600'000);
    job.bodyDigest = std::string(64, 'a');
    return job;
}

Ledger makeLedger(const Size &size, std::size_t tasks)
{
    Ledger ledger;
    const RecordOrigin origin {InstanceId("entry-1"), Incarnation(1), 1'000};
    ledger.apply(PlannerClaim {Epoch(1), "127.0.0.1:1"}, origin);
    const std::uint32_t parts = static_cast<std::uint32_t>(std::max<std::size_t>(1, tasks / size.running));
    const Shape shape {parts, {1, 1'000, 0}, Adjacency::Any};
    for (std::size_t i = 0; i < size.running + size.waiting + size.kept; ++i) {
        const JobSubmitted job = makeSubmission(i, size, shape);
        ledger.apply(job, origin);
        if (i >= size.running + size.kept) {
            continue;
        }
        Placed placed {Epoch(1), job.job, 1, {}, false};
        for (std::uint32_t part = 0; part < parts; ++part) {
            placed.workers.push_back(WorkerId("worker-" + std::to_string((i * parts + part) % size.workers)));
        }
        ledger.apply(placed, origin);
        ledger.apply(Committed {Epoch(1), job.job, 1}, origin);
        ledger.apply(Started {Epoch(1), job.job, 1}, origin);
        if (i >= size.running) {
            ledger.apply(Finished {Epoch(1), job.job, 1, JobOutcome::Succeeded, ""}, origin);
        }
    }
    return ledger;
}

PlanningView makeView(const Size &size)
{
    PlanningView view;
    view.nowMs = 100'000'000;
    for (std::size_t i = 0; i < size.workers; ++i) {
        const std::size_t rack = i / 6;
        view.fleet.add(WorkerId("worker-" + std::to_string(i)), PlaceName("place-" + std::to_string(rack % 7)),
                       RackName("rack-" + std::to_string(rack)),
                       {64, 128'000, static_cast<std::int64_t>(size.gpusPerWorker)});
    }
    for (std::size_t i = 0; i < size.teams; ++i) {
        view.guarantees.push_back({TeamName("team-" + std::to_string(i)), {2, {0, 0, 1}, Adjacency::Rack}, 2});
    }
    std::mt19937_64 random(1);
    FleetModel free = view.fleet;
    const LeastFragmentation placement;
    for (std::size_t i = 0; i < size.running; ++i) {
        const Shape shape {
            1 + static_cast<std::uint32_t>(random() % 8), {1, 500, static_cast<std::int64_t>(i % 2)}, Adjacency::Any};
        const auto workers = placement.place(free, shape, {});
        if (!workers) {
            continue;
        }
        free.allocateAll(*workers, shape.part);
        view.running.push_back({JobId("r" + std::to_string(i)), TeamName("team-" + std::to_string(i % size.teams)),
                                CallerName("c"), Urgency::Normal, RestartRule::Checkpoint, shape, *workers, false,
                                false, view.nowMs - 1'000'000,
                                static_cast<std::int64_t>(1'000'000 + random() % 9'000'000)});
    }
    for (std::size_t i = 0; i < size.waiting; ++i) {
        const Shape shape {1 + static_cast<std::uint32_t>(random() % 16),
                           {8, 8'000, static_cast<std::int64_t>(size.gpusPerWorker)},
                           Adjacency::Rack};
        view.waiting.push_back({JobId("w" + std::to_string(i)),
                                TeamName("team-" + std::to_string(i % size.teams)),
                                CallerName("c"),
                                static_cast<Urgency>(i % URGENCY_COUNT),
                                RestartRule::Checkpoint,
                                shape,
                                view.nowMs - 60'000,
                                3'600'000,
                                {}});
    }
    return view;
}

template<typename Action>
double milliseconds(int rounds, Action action)
{
    const TimePoint begin = Clock::now();
    for (int i = 0; i < rounds; ++i) {
        action();
    }
    return std::chrono::duration<double, std::milli>(Clock::now() - begin).count() / rounds;
}

void measure(const Size &size, std::size_t tasks)
{
    constexpr int ROUNDS = 10;
    const std::size_t before = residentKb();
    Ledger ledger = makeLedger(size, tasks);
    const std::size_t after = residentKb();
    std::string state;
    const double snapshotMs = milliseconds(1, [&] { state = toCbor(ledger.toJsonValue()); });
    const double restoreMs = milliseconds(1, [&] { Ledger::fromJson(*parseCbor(state)); });
    const std::size_t peak = residentKb();
    const PlanningView view = makeView(size);
    GuaranteeScheduling policy;
    const double passMs = milliseconds(ROUNDS, [&] { policy.plan(view); });
    const RecordOrigin origin {InstanceId("entry-1"), Incarnation(1), 2'000};
    const double heartbeatUs = 1'000 * milliseconds(1'000, [&] { ledger.apply(PlannerHeartbeat {Epoch(1)}, origin); });
    std::cout << "workers=" << size.workers << " running_gangs=" << size.running << " tasks=" << tasks
              << " waiting=" << size.waiting << " kept=" << size.kept << " teams=" << size.teams
              << " pass_ms=" << passMs << " ledger_kb=" << after - before << " snapshot_bytes=" << state.size()
              << " snapshot_ms=" << snapshotMs << " restore_ms=" << restoreMs << " snapshot_extra_kb=" << peak - after
              << " beat_us=" << heartbeatUs << "\n";
}

} // namespace

int main()
{
    // Largest first: memory freed after a smaller size would be reused and hide the growth of a larger one.
    measure({1'400, 2, 1'200, 200, 39, 1'800}, 9'200);
    measure({700, 2, 600, 100, 20, 900}, 4'600);
    measure({350, 2, 300, 50, 10, 500}, 2'300);
    measure({50, 8, 200, 50, 4, 500}, 600);
    measure({50, 8, 100, 20, 4, 0}, 300);
}
