// A task resumes from a checkpoint that has spaces in it; then the process that leads is killed.

#include "site.hh"

#include <regex>

using namespace Review;

namespace
{

constexpr std::int64_t LONG_MS = 9'000;
constexpr std::int64_t URGENT_MS = 800;
constexpr Millis BEFORE_URGENT {2'200}; // work of the first run
constexpr Millis DOWN {3'500};          // at most
constexpr Millis STEP_LIMIT {10'000};
constexpr Millis END_LIMIT {45'000}; // a successor may wait for 13.65 s before it starts work anew

Json oneTask(std::int64_t workMs)
{
    return Json::array({{{"count", 1},
                         {"cpu", 1'000},
                         {"memMb", 1'000},
                         {"gpu", 8},
                         {"estimateMs", workMs},
                         {"checkpointing", true}}});
}

std::size_t startsOf(const Site &site, const std::string &job)
{
    const std::vector<RunSeen> runs = site.runs();
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const RunSeen &run) { return run.task.starts_with(job); }));
}

std::vector<std::string> play(const std::string &folder)
{
    SiteShape shape;
    shape.minions = 1;
    shape.checkpoints = "spaced";
    Site site(folder, shape);
    site.start();
    // 1. A long task of a queue of priority 2 works, and has to give way to an urgent one of the same team.
    const std::string batch = site.newId();
    const std::string urgent = site.newId();
    const std::size_t other = 1 - site.leader().value_or(0);
    site.submit(other, batch, oneTask(LONG_MS), {{"workMs", LONG_MS}, {"gpu", 8}}, "batch");
    Site::eventually([&] { return startsOf(site, batch) == 1; }, STEP_LIMIT);
    std::this_thread::sleep_for(BEFORE_URGENT);
    site.submit(other, urgent, oneTask(URGENT_MS), {{"workMs", URGENT_MS}, {"gpu", 8}}, "urgent");
    // 2. It goes on from its checkpoint afterwards.
    if (!Site::eventually([&] { return startsOf(site, batch) == 2; }, STEP_LIMIT)) {
        throw CannotRun("the long task does not go on");
    }
    std::this_thread::sleep_for(Millis(500));
    // 3. The process that leads is killed.
    if (withTrouble()) {
        site.killNode(1 - other);
        std::this_thread::sleep_for(DOWN);
        site.startNode(1 - other);
    }
    Site::eventually([&] { return site.state(other, batch, "batch") == "completed"; }, END_LIMIT);
    // 4. Each start carries no checkpoint, or one that the task's minion has given out.
    const std::regex given("epoch [0-9]+ of i-0");
    std::vector<std::string> broken;
    for (const RunSeen &run : site.runs()) {
        if (!run.checkpoint.empty() && !std::regex_match(run.checkpoint, given)) {
            broken.push_back("task " + run.task + ": run " + std::to_string(run.run) + " is started with checkpoint ["
                             + run.checkpoint + "], which no run of it has saved");
        }
    }
    return broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] { return play(argc > 1 ? argv[1] : "review/4"); });
}
