#include "place.hh"

#include <algorithm>

// Large jobs wait for minions that the policy of their queue prescribes. The planner asks for advice about them again and
// again, and never about the small jobs behind them, though most of the fleet is empty.

using namespace Review;

namespace
{

constexpr const char *LONG_JOB = "00000000000d0001";
constexpr int GANGS = 30;
constexpr int SMALL_JOBS = 6;
constexpr std::int64_t STANDS_STILL_MS = 3'000;
constexpr std::int64_t WATCHED_MS = 60'000;

std::string jobId(const char *kind, int i)
{
    return std::string("000000000000") + kind + std::to_string(100 + i);
}

Json job(const Json &step, std::int64_t workMs, std::uint32_t gang = 1)
{
    const Json spec = {{"workMs", workMs}, {"gang", gang}};
    return {{"taskSpec", spec.dump()}, {"steps", Json::array({step})}};
}

bool run(const std::string &recordPath)
{
    Options options;
    options.advice = true;
    Place place(recordPath, options);
    Json route = queue("batch", 2);
    route["advice"] = {
        {"decisionMs", Advice::DECISION_MS}, {"periodMs", Advice::PERIOD_MS}, {"validMs", Advice::VALID_MS}};
    place.start(configuration({route}, 8));
    std::this_thread::sleep_for(Millis(1'000));
    // 1. A job of two tasks of 8 GPUs, which may run on two of the twelve minions only, runs there for two minutes.
    place.advice.allow(LONG_JOB, {"i-0", "i-1"});
    const Json longStep = {{"count", 2}, {"cpu", 8'000}, {"memMb", 10'000}, {"gpu", 8}, {"estimateMs", 120'000}};
    if (place.submit(0, "batch", LONG_JOB, job(longStep, 120'000)).status != 200
        || !place.eventually([&] { return place.runs.of(LONG_JOB).size() == 2; }, Millis(5'000))) {
        throw CannotRun("the long job does not run");
    }
    // 2. Gangs of five tasks of 8 GPUs, which may run on these two minions and three others, wait for it to end.
    if (trouble()) {
        const Json step = {{"count", 5},       {"gang", true}, {"cpu", 8'000},
                           {"memMb", 10'000}, {"gpu", 8},     {"estimateMs", 3'600'000}};
        for (int i = 0; i < GANGS; ++i) {
            place.advice.allow(jobId("a", i), {"i-0", "i-1", "i-2", "i-3", "i-4"});
            if (place.submit(static_cast<std::size_t>(i % 3), "batch", jobId("a", i), job(step, 3'600'000, 5)).status
                != 200) {
                throw CannotRun("a gang was not accepted");
            }
        }
    }
    std::this_thread::sleep_for(Millis(10'000));
    // 3. Small jobs of one task, which may run anywhere: seven minions are allowed, empty and wanted by nobody else.
    std::vector<std::pair<std::string, std::int64_t>> accepted;
    for (int i = 0; i < SMALL_JOBS; ++i) {
        const Json step = {{"count", 1}, {"cpu", 5'600}, {"memMb", 8'200}, {"gpu", 1}, {"estimateMs", 1'000}};
        if (place.submit(static_cast<std::size_t>(i % 3), "batch", jobId("b", i), job(step, 1'000)).status == 200) {
            accepted.emplace_back(jobId("b", i), place.now());
        }
        std::this_thread::sleep_for(Millis(1'000));
    }
    const auto begunMs = [&](const std::string &id) {
        const std::vector<TaskRun> runs = place.runs.of(id);
        return runs.empty() ? 0 : runs.front().startedMs;
    };
    place.eventually(
        [&] {
            return std::all_of(accepted.begin(), accepted.end(), [&](const auto &item) { return begunMs(item.first) > 0; });
        },
        Millis(WATCHED_MS));
    bool held = true;
    for (const auto &[id, atMs] : accepted) {
        place.call(1, "GET", "/batch/" + id);
        const std::int64_t begun = begunMs(id);
        const std::int64_t stoodMs = (begun > 0 ? begun : place.now()) - atMs;
        held = held && stoodMs <= STANDS_STILL_MS;
        place.record.line("job " + id + (begun > 0 ? " began " : " has not begun ") + std::to_string(stoodMs)
                          + " ms after it was accepted");
    }
    place.recordRuns();
    if (accepted.empty()) {
        throw CannotRun("no small job was accepted");
    }
    place.record.line(held ? "LOST held" : "LOST was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
