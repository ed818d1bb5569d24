#include "place.hh"

#include <algorithm>

// While a start order to a minion is unanswered, more tasks end there than it lists at a time. The planner takes those
// that are not listed yet for lost, and starts them again, though they have ended "done".

using namespace Review;

namespace
{

constexpr int JOBS = 12;
constexpr std::uint32_t TASKS_OF_JOB = 60;
constexpr std::size_t TASKS = JOBS * TASKS_OF_JOB;
constexpr std::int64_t WORK_MS = 8'000;
constexpr std::uint32_t TASKS_OF_LAST_JOB = 20;
constexpr std::int64_t LATE_MS = 3'000;

std::string jobId(int i)
{
    return "00000000000b00" + std::to_string(10 + i);
}

bool run(const std::string &recordPath)
{
    Options options;
    options.nodes = 6;
    Place place(recordPath, options);
    Standins::StoreFaults usual;
    usual.delayMs = 4; // "4 ms an answer"
    place.store.setFaults(usual);
    place.start(configuration({queue("batch", 2)}, 8));
    std::this_thread::sleep_for(Millis(1'000));
    // 1. Twelve jobs of 60 small tasks each; one of the twelve minions has room for all of them.
    const Json step = {{"count", TASKS_OF_JOB}, {"cpu", 50}, {"memMb", 100}, {"estimateMs", WORK_MS}};
    const Json job = {{"taskSpec", R"({"workMs":)" + std::to_string(WORK_MS) + "}"}, {"steps", Json::array({step})}};
    for (int i = 0; i < JOBS; ++i) {
        if (place.submit(static_cast<std::size_t>(i) % options.nodes, "batch", jobId(i), job).status != 200) {
            throw CannotRun("a job was not accepted");
        }
    }
    if (!place.eventually([&] { return place.runs.all().size() >= TASKS; }, Millis(7'000))) {
        throw CannotRun("the tasks do not all run at the same time");
    }
    std::map<std::string, std::size_t> started;
    std::int64_t firstStartMs = place.now();
    for (const TaskRun &run : place.runs.all()) {
        firstStartMs = std::min(firstStartMs, run.startedMs);
        ++started[run.minion];
    }
    for (const auto &[minion, count] : started) {
        place.record.line(std::to_string(count) + " tasks run on " + minion + ", which got at most "
                          + std::to_string(place.minion(minion).mostAtOnce()) + " calls at once");
    }
    // 2. Shortly before the first of them ends, one more job comes. That minion leaves the first of its start orders
    //    unanswered and carries it out 3 s later.
    std::this_thread::sleep_for(Millis(firstStartMs + WORK_MS - 100 - place.now()));
    if (trouble()) {
        Standins::PlatformMinionFaults faults;
        faults.lateStarts = 1;
        faults.lateMs = LATE_MS;
        place.minion(started.begin()->first).setFaults(faults);
    }
    Json lastStep = step;
    lastStep["count"] = TASKS_OF_LAST_JOB;
    const Json lastJob = {{"taskSpec", R"({"workMs":2000})"}, {"steps", Json::array({lastStep})}};
    if (place.submit(0, "batch", jobId(JOBS), lastJob).status != 200) {
        throw CannotRun("the last job was not accepted");
    }
    std::this_thread::sleep_for(Millis(20'000));
    for (int i = 0; i <= JOBS; ++i) {
        place.call(1, "GET", "/batch/" + jobId(i));
    }
    place.recordRuns();
    // 3. Which runs began after a run of the task had ended "done", if that end was taken note of then or later?
    std::size_t again = 0;
    const std::vector<TaskRun> runs = place.runs.all();
    for (const TaskRun &run : runs) {
        const auto doneBefore = [&](const TaskRun &other) {
            return other.task == run.task && other.run != run.run && other.how == "done" && other.notedMs != 0
                   && other.endedMs < run.startedMs;
        };
        again += std::any_of(runs.begin(), runs.end(), doneBefore) ? 1 : 0;
    }
    place.record.line(std::to_string(runs.size()) + " runs of " + std::to_string(TASKS + TASKS_OF_LAST_JOB) + " tasks; "
                      + std::to_string(again) + " began after a run of the task had ended done");
    place.record.line(again == 0 ? "TWICE held" : "TWICE was broken");
    return again == 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
