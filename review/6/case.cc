#include "place.hh"

#include <algorithm>

// One large job of small tasks is accepted; from then on no job of anybody runs.

using namespace Review;

namespace
{

constexpr std::uint32_t STEPS = 5;
constexpr std::uint32_t TASKS_OF_STEP = 10'000;
constexpr int SMALL_JOBS = 6;

std::string jobId(int i)
{
    return "00000000000d000" + std::to_string(i);
}

bool run(const std::string &recordPath)
{
    Place place(recordPath, {});
    place.start(configuration({queue("urgent", 0), queue("batch", 2)}, 8));
    std::this_thread::sleep_for(Millis(1'000));
    // 1. A client hands in a job of many tasks of 0.001 cores, for all of which each minion has room.
    if (trouble()) {
        Json steps = Json::array();
        for (std::uint32_t i = 0; i < STEPS; ++i) {
            steps.push_back({{"count", TASKS_OF_STEP}, {"cpu", 1}, {"memMb", 2}, {"estimateMs", 1'000}});
        }
        const Answer answer =
            place.submit(0, "batch", "00000000000e0000", {{"taskSpec", R"({"workMs":1000})"}, {"steps", steps}});
        if (answer.status != 200) {
            place.record.line("the large job was refused, so nothing is owed");
            return true;
        }
    }
    std::this_thread::sleep_for(Millis(5'000));
    // 2. Other clients hand in small jobs.
    std::map<std::string, std::int64_t> accepted;
    for (int i = 0; i < SMALL_JOBS; ++i) {
        const Json step = {{"count", 1}, {"cpu", 1'000}, {"memMb", 1'000}, {"estimateMs", 500}};
        if (place
                .submit(static_cast<std::size_t>(i % 3), i % 2 == 0 ? "urgent" : "batch", jobId(i),
                        {{"taskSpec", R"({"workMs":500})"}, {"steps", Json::array({step})}})
                .status
            == 200) {
            accepted[jobId(i)] = place.now();
        }
    }
    std::this_thread::sleep_for(Millis(30'000));
    // 3. Which of them have begun?
    int stuck = 0;
    const std::vector<TaskRun> runs = place.runs.all();
    for (const auto &[id, atMs] : accepted) {
        const bool begun =
            std::any_of(runs.begin(), runs.end(), [&](const TaskRun &run) { return run.task.starts_with(id); });
        place.call(1, "GET", "/urgent/" + id);
        if (!begun) {
            ++stuck;
            place.record.line("job " + id + ", accepted " + std::to_string(place.now() - atMs)
                              + " ms ago, has never run");
        }
    }
    place.record.line(std::to_string(runs.size()) + " runs in all; " + std::to_string(place.store.refusedForSize())
                      + " appends above callBytes were refused");
    if (accepted.empty()) {
        throw CannotRun("no small job was accepted");
    }
    place.record.line(stuck == 0 ? "LOST held" : "LOST was broken");
    return stuck == 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
