// The planner's node is cut off from the store. A job's last task ends meanwhile, a client is told so by that node, and
// the task's minion crashes.

#include "site.hh"

using namespace Review;

namespace
{

constexpr int ROUNDS = 3;
constexpr std::int64_t WORK_MS = 3'000;
constexpr Millis CUT_AFTER {2'800}; // from the first start of the task
constexpr Millis CUT_FOR {4'000};   // 4 s at most for the leader
constexpr Millis DOWN {3'000};      // 4.5 s at most
constexpr Millis STARTED_LIMIT {8'000};
constexpr Millis AFTERWARDS {20'000}; // a successor may wait for 13.65 s before it starts work of a lost minion anew
constexpr Millis SETTLED {4'000};     // above contactMs, before the next job
constexpr std::int64_t NOTE_MS = 1'000;

std::vector<RunSeen> runsOf(const Site &site, const std::string &job)
{
    std::vector<RunSeen> runs = site.runs();
    std::erase_if(runs, [&](const RunSeen &run) { return !run.task.starts_with(job); });
    return runs;
}

/** Plays one job. @return what broke the rule */
std::vector<std::string> playJob(Site &site)
{
    const std::size_t leader = site.leader().value_or(0);
    const std::size_t other = 1 - leader;
    const std::string job = site.newId();
    const Json steps =
        Json::array({{{"count", 1}, {"cpu", 1'000}, {"memMb", 1'000}, {"gpu", 1}, {"estimateMs", WORK_MS}}});
    if (site.submit(other, job, steps, {{"workMs", WORK_MS}, {"gpu", 1}}).status != 200
        || !Site::eventually([&] { return !runsOf(site, job).empty(); }, STARTED_LIMIT)) {
        throw CannotRun("the job does not start");
    }
    const RunSeen first = runsOf(site, job).front();
    const auto minion = static_cast<std::size_t>(std::stoul(first.minion.substr(2)));
    std::this_thread::sleep_for(CUT_AFTER);
    if (withTrouble()) {
        site.cutFromStore(leader, true);
    }
    const TimePoint cutAt = Clock::now();
    std::int64_t shownMs = 0;
    Site::eventually(
        [&] {
            shownMs = site.state(leader, job) == "completed" ? Standins::nowMs() : 0;
            return shownMs != 0;
        },
        CUT_FOR);
    if (withTrouble()) {
        site.killMinion(minion);
        std::this_thread::sleep_for(DOWN);
        site.startMinion(minion);
        std::this_thread::sleep_until(cutAt + CUT_FOR);
        site.cutFromStore(leader, false);
    }
    std::vector<std::string> broken;
    Site::eventually(
        [&] {
            site.state(other, job);
            for (const RunSeen &run : runsOf(site, job)) {
                if (shownMs != 0 && run.startedMs > shownMs + NOTE_MS) {
                    broken.push_back("task " + run.task + ": run " + std::to_string(first.run) + " ended done and job "
                                     + job + " was shown as completed at " + std::to_string(shownMs) + "; run "
                                     + std::to_string(run.run) + " started on " + run.minion + " "
                                     + std::to_string(run.startedMs - shownMs) + " ms later");
                    return true;
                }
            }
            return false;
        },
        withTrouble() ? AFTERWARDS : Millis(5'000));
    return broken;
}

std::vector<std::string> play(const std::string &folder)
{
    SiteShape shape;
    shape.minions = 8; // one of them is a share of 0.125
    Site site(folder, shape);
    site.start();
    std::vector<std::string> broken;
    for (int i = 0; i < ROUNDS; ++i) {
        const std::vector<std::string> found = playJob(site);
        std::this_thread::sleep_for(SETTLED);
        broken.insert(broken.end(), found.begin(), found.end());
    }
    return broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] { return play(argc > 1 ? argv[1] : "review/3"); });
}
