#include "place.hh"

#include <algorithm>

// A minion of a service crashes; while the system does not yet know it, a wave takes down another task of the service.

using namespace Review;

namespace
{

constexpr const char *JOB = "00000000000a0001";
constexpr std::size_t TASKS = 3;
constexpr std::size_t MAY_MISS = 1;
constexpr std::int64_t NOTICE_MS = 4'500;   // noticeMs
constexpr std::int64_t STARTUP_MS = 100;    // of the stand-in's tasks, until their percent is 100
constexpr std::int64_t STOP_GRACE_MS = 200; // stopGraceMs: the order came at most this long before the end

bool atWork(const TaskRun &run, std::int64_t atMs)
{
    return run.startedMs + STARTUP_MS <= atMs && (run.endedMs == 0 || run.endedMs > atMs);
}

/** @return true if @p task is away at @p atMs: ended by an order and not back, or not at work for NOTICE_MS. */
bool isAway(const std::vector<TaskRun> &runs, const std::string &task, std::int64_t atMs)
{
    std::int64_t lastMs = 0;
    bool byOrder = false;
    for (const TaskRun &run : runs) {
        if (run.task != task || run.startedMs + STARTUP_MS > atMs) {
            continue;
        }
        if (atWork(run, atMs)) {
            return false;
        }
        if (run.endedMs > lastMs) {
            lastMs = run.endedMs;
            byOrder = run.how == "stopped";
        }
    }
    return byOrder || atMs - lastMs >= NOTICE_MS;
}

bool run(const std::string &recordPath)
{
    Place place(recordPath, {});
    place.start(configuration({queue("serve", 1)}, 8));
    const Json step = {{"count", TASKS},      {"cpu", 4'000},        {"memMb", 1'000},   {"estimateMs", 500},
                       {"longRunning", true}, {"mayMiss", MAY_MISS}, {"antiAffinity", 1}};
    const Json job = {{"taskSpec", R"({"lasts":true})"}, {"steps", Json::array({step})}};
    if (place.submit(0, "serve", JOB, job).status != 200) {
        throw CannotRun("the job was not accepted");
    }
    const auto open = [&] {
        std::vector<TaskRun> runs = place.runs.of(JOB);
        std::erase_if(runs, [](const TaskRun &run) { return run.endedMs != 0; });
        return runs;
    };
    if (!place.eventually([&] { return open().size() == TASKS; }, Millis(8'000))) {
        throw CannotRun("the service does not run");
    }
    std::this_thread::sleep_for(Millis(3'000));
    const std::vector<TaskRun> first = open();
    if (first.size() != TASKS) {
        throw CannotRun("the service does not run calmly");
    }
    // 1. The minion of one task loses power.
    const std::int64_t crashMs = place.now();
    if (trouble()) {
        place.crash(first[0].minion);
    }
    // 2. Planned upkeep of the machine of another task, asked for 4.6 s later.
    std::this_thread::sleep_for(Millis(crashMs + 4'600 - place.now()));
    place.put("keyed.op", "wave/1",
              {{"wave", 1}, {"machines", {"m-" + first[1].minion}}, {"withinS", 5}, {"maximum", 1}});
    const bool ordered = place.eventually([&] { return !place.cloud.orders().empty(); }, Millis(30'000));
    std::this_thread::sleep_for(Millis(3'000));
    place.recordRuns();
    if (!ordered) {
        throw CannotRun("the upkeep was never ordered");
    }
    // 3. Which tasks that were at work did an order end, and how many others were away then?
    bool held = true;
    const std::vector<TaskRun> runs = place.runs.of(JOB);
    for (const TaskRun &ended : runs) {
        const bool byOrder = ended.how == "stopped" || (ended.how == "gone" && ended.minion != first[0].minion);
        const std::int64_t atMs = ended.endedMs - STOP_GRACE_MS;
        if (!byOrder || !atWork(ended, atMs)) {
            continue;
        }
        std::size_t away = 0;
        for (std::size_t i = 0; i < TASKS; ++i) {
            const std::string task = std::string(JOB) + ".0.0." + std::to_string(i);
            away += task != ended.task && isAway(runs, task, atMs) ? 1 : 0;
        }
        place.record.line("an order ended " + ended.task + " at work on the sound minion " + ended.minion + " at "
                          + std::to_string(place.record.sinceStart(ended.endedMs)) + ", "
                          + std::to_string(ended.endedMs - crashMs) + " ms after the crash, with "
                          + std::to_string(away) + " others away");
        held = held && away < MAY_MISS;
    }
    place.record.line(held ? "AVAIL held" : "AVAIL was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
