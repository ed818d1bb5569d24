#include "place.hh"

#include <algorithm>

// While no process leads, more tasks end on one minion than it lists at a time. The successor takes those that are not
// listed yet for lost, and starts them again, though they have ended "done".

using namespace Review;

namespace
{

constexpr int JOBS = 20;
constexpr std::uint32_t TASKS_OF_JOB = 60;
constexpr std::size_t TASKS = JOBS * TASKS_OF_JOB;
constexpr std::int64_t WORK_MS = 8'000;

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
    // 1. Twenty jobs of 60 small tasks each; one of the twelve minions has room for all of them.
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
    // 2. Shortly before the first of them ends, the process that leads is killed; it is started again 3.5 s later.
    std::this_thread::sleep_for(Millis(firstStartMs + WORK_MS - 300 - place.now()));
    const int first = place.leader();
    if (first < 0) {
        throw CannotRun("no node leads");
    }
    if (trouble()) {
        place.nodes[static_cast<std::size_t>(first)]->kill();
        place.record.line("front-" + std::to_string(first) + " is killed");
        std::this_thread::sleep_for(Millis(3'500));
        place.nodes[static_cast<std::size_t>(first)]->start();
        place.record.line("front-" + std::to_string(first) + " is started again");
    }
    std::this_thread::sleep_for(Millis(20'000));
    for (int i = 0; i < JOBS; ++i) {
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
    place.record.line(std::to_string(runs.size()) + " runs of " + std::to_string(TASKS) + " tasks; "
                      + std::to_string(again) + " began after a run of the task had ended done");
    place.record.line(again == 0 ? "TWICE held" : "TWICE was broken");
    return again == 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
