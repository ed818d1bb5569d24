#include "place.hh"

#include <algorithm>

// Jobs whose first start a minion refuses are no longer counted among those that wait.

using namespace Review;

namespace
{

constexpr std::size_t JOBS = 8;
constexpr std::int64_t COUNTED_AFTER_MS = 3'000 + 2'000; // visible_ms + 2 s
constexpr std::int64_t CONTACT_MS = 3'000;

std::string jobId(std::size_t i)
{
    return "00000000000b000" + std::to_string(i);
}

bool run(const std::string &recordPath)
{
    Options options;
    options.racks = std::vector<std::string>(11, "r0");
    options.racks.emplace_back("r9"); // one minion in a rack of its own
    Place place(recordPath, options);
    place.start(configuration({queue("urgent", 0), queue("batch", 2)}, 8));
    Minion &special = place.minion("i-11");
    std::this_thread::sleep_for(Millis(1'000));
    const auto submitTo = [&](const std::string &queueName, const std::string &id, int gpus, int workMs,
                              std::size_t node) {
        const Json step = {{"count", 1},  {"cpu", 4'000},         {"memMb", 1'000},
                           {"gpu", gpus}, {"estimateMs", workMs}, {"requires", "r9"}};
        const Json spec = {{"workMs", workMs}};
        return place.submit(node, queueName, id, {{"taskSpec", spec.dump()}, {"steps", Json::array({step})}}).status
               == 200;
    };
    // 1. An urgent job takes all of the minion for 3 s; eight batch jobs that only this minion may run wait for it.
    if (!submitTo("urgent", "00000000000c0000", 8, 3'000, 0)) {
        throw CannotRun("the urgent job was not accepted");
    }
    const std::int64_t fromMs = place.now();
    std::this_thread::sleep_for(Millis(300));
    std::map<std::string, std::int64_t> accepted;
    for (std::size_t i = 0; i < JOBS; ++i) {
        if (submitTo("batch", jobId(i), 1, 3'000, i % 3)) {
            accepted[jobId(i)] = place.now();
        }
    }
    if (accepted.size() < JOBS) {
        throw CannotRun("jobs were not accepted");
    }
    // 2. For 5.5 s the minion is unhealthy: it answers starts with 503 and has done nothing. Another urgent job comes.
    std::this_thread::sleep_for(Millis(fromMs + 2'000 - place.now()));
    special.unhealthy = trouble();
    place.record.line(trouble() ? "minion i-11 turns unhealthy" : "no disruption");
    std::this_thread::sleep_for(Millis(fromMs + 4'000 - place.now()));
    submitTo("urgent", "00000000000c0001", 8, 12'000, 1);
    std::this_thread::sleep_for(Millis(fromMs + 7'500 - place.now()));
    special.unhealthy = false;
    place.record.line("minion i-11 is healthy");
    // 3. From contactMs after the disruption on, each node is asked how many jobs wait.
    bool held = true;
    for (std::int64_t at = fromMs + 7'500 + CONTACT_MS; at < fromMs + 18'000; at += 1'000) {
        std::this_thread::sleep_for(Millis(std::max<std::int64_t>(0, at - place.now())));
        for (std::size_t node = 0; node < place.nodes.size(); ++node) {
            const std::int64_t askedMs = place.now();
            const Answer answer = place.call(node, "GET", "/batch/");
            if (answer.status != 200) {
                continue;
            }
            const std::vector<TaskRun> runs = place.runs.all();
            const auto waiting = std::count_if(accepted.begin(), accepted.end(), [&](const auto &job) {
                // One that has begun by the time of the answer is left out.
                return askedMs - job.second > COUNTED_AFTER_MS
                       && std::none_of(runs.begin(), runs.end(),
                                       [&](const TaskRun &run) { return run.task.starts_with(job.first); });
            });
            const auto said = Json::parse(answer.body).at("waitingCount").get<std::int64_t>();
            if (2 * said < waiting) {
                held = false;
                place.record.line("front-" + std::to_string(node) + " said " + std::to_string(said) + " while "
                                  + std::to_string(waiting) + " jobs of the queue have not begun");
            }
        }
    }
    place.recordRuns();
    place.record.line(held ? "MIXED held" : "MIXED was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
