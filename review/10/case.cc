#include "place.hh"

#include <algorithm>

// The node that leads and a minion lose power together. The job on that minion stands still until its successor trusts
// that every lease has run out.

using namespace Review;

namespace
{

constexpr const char *JOB = "0000000000100001";
constexpr std::int64_t CALM_BEFORE_MS = 4'000; // "the 3 s and the 4 s before them are calm"
constexpr std::int64_t STANDS_STILL_MS = 3'000;

bool run(const std::string &recordPath)
{
    Options options;
    options.nodes = 6;
    Place place(recordPath, options);
    place.start(configuration({queue("batch", 2)}, 8));
    std::this_thread::sleep_for(Millis(2'000));
    // 1. One job with one task of 8.5 s on an otherwise empty fleet of 12 minions.
    const Json step = {{"count", 1}, {"cpu", 26'000}, {"memMb", 53'000}, {"gpu", 1}, {"estimateMs", 8'500}};
    const Json job = {{"taskSpec", R"({"workMs":8500})"}, {"steps", Json::array({step})}};
    if (place.submit(0, "batch", JOB, job).status != 200) {
        throw CannotRun("the job was not accepted");
    }
    if (!place.eventually([&] { return !place.runs.of(JOB).empty(); }, Millis(5'000))) {
        throw CannotRun("the job does not run");
    }
    std::this_thread::sleep_for(Millis(2'500));
    const std::string minion = place.runs.of(JOB).front().minion;
    const int first = place.leader();
    if (first < 0) {
        throw CannotRun("no node leads");
    }
    // 2. The minion is lost for good; the process that leads is killed, and is started again 3.5 s later.
    std::int64_t faultMs = place.now();
    if (trouble()) {
        place.crash(minion);
        place.nodes[static_cast<std::size_t>(first)]->kill();
        place.record.line("front-" + std::to_string(first) + " is killed");
        std::this_thread::sleep_for(Millis(3'500));
        place.nodes[static_cast<std::size_t>(first)]->start();
        place.record.line("front-" + std::to_string(first) + " is started again");
        faultMs = place.now();
    }
    // 3. From 4 s after the last fault on, for how long has the job nothing running?
    std::int64_t stillSinceMs = 0;
    std::int64_t longestMs = 0;
    std::string lastState;
    const std::int64_t endMs = place.now() + 40'000;
    for (bool done = false; !done && place.now() < endMs;) {
        std::this_thread::sleep_for(Millis(50));
        const std::int64_t now = place.now();
        const std::vector<TaskRun> runs = place.runs.of(JOB);
        const bool working = std::any_of(runs.begin(), runs.end(), [](const TaskRun &run) { return run.endedMs == 0; });
        done = std::any_of(runs.begin(), runs.end(), [](const TaskRun &run) { return run.how == "done"; });
        const bool calm = now - faultMs >= CALM_BEFORE_MS;
        stillSinceMs = working || done || !calm ? 0 : stillSinceMs == 0 ? now : stillSinceMs;
        longestMs = std::max(longestMs, stillSinceMs == 0 ? 0 : now - stillSinceMs);
    }
    place.call(1, "GET", std::string("/batch/") + JOB);
    place.recordRuns();
    const bool held = longestMs <= STANDS_STILL_MS;
    place.record.line("in calm the job had nothing running for " + std::to_string(longestMs) + " ms on end");
    place.record.line(held ? "LOST held" : "LOST was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
