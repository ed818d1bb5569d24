#include "place.hh"

#include <algorithm>

// Tasks that last, of one tenant, hold all GPUs that were idle. Another tenant asks for the GPUs that belong to it.

using namespace Review;

namespace
{

constexpr const char *OTHERS = "00000000000c0001";
constexpr const char *URGENT = "00000000000c0002";
constexpr std::size_t MINIONS = 12;
constexpr std::int64_t GUARANTEED_GPUS = 24; // of each tenant; the fleet has 96
constexpr std::size_t URGENT_TASKS = 3;      // with 8 GPUs each
constexpr std::int64_t RECLAIM_MS = 2'700;   // reclaimMs
constexpr std::int64_t WATCHED_MS = 40'000;

bool run(const std::string &recordPath)
{
    Options options;
    options.minions = MINIONS;
    Place place(recordPath, options);
    Json config = configuration({queue("urgent", 0), queue("serve", 2)}, GUARANTEED_GPUS);
    config["tenants"].push_back(
        {{"name", "b"}, {"apiKeys", {"key-b"}}, {"guaranteed", {{"gpu", GUARANTEED_GPUS}}}});
    place.start(config);
    std::this_thread::sleep_for(Millis(1'000));
    // 1. Tenant b takes all GPUs, which are idle, with a job of the lowest priority. With TROUBLE=0 its tasks end by
    //    themselves after two minutes; else they last.
    Json step = {{"count", MINIONS}, {"cpu", 8'000}, {"memMb", 10'000}, {"gpu", 8}, {"estimateMs", 120'000}};
    std::string work = R"({"workMs":120000})";
    if (trouble()) {
        step["longRunning"] = true;
        step["mayMiss"] = MINIONS; // its owner lets the system stop all of them
        work = R"({"lasts":true})";
    }
    const Json others = {{"taskSpec", work}, {"steps", Json::array({step})}};
    if (place.submit(0, "serve", OTHERS, others, "key-b").status != 200) {
        throw CannotRun("the job of tenant b was not accepted");
    }
    const auto begun = [&](const char *job) { return place.runs.of(job).size(); };
    if (!place.eventually([&] { return begun(OTHERS) >= MINIONS; }, Millis(8'000))) {
        throw CannotRun("the job of tenant b does not run");
    }
    std::this_thread::sleep_for(Millis(8'000));
    // 2. Tenant a, of which nothing runs, hands in a job of priority 0 that needs just what belongs to it.
    const Json urgentStep = {{"count", URGENT_TASKS}, {"cpu", 7'500}, {"memMb", 11'000}, {"gpu", 8}, {"estimateMs", 2'500}};
    const Json urgent = {{"taskSpec", R"({"workMs":2500})"}, {"steps", Json::array({urgentStep})}};
    if (place.submit(1, "urgent", URGENT, urgent).status != 200) {
        throw CannotRun("the urgent job was not accepted");
    }
    const std::int64_t acceptedMs = place.now();
    const bool inTime = place.eventually([&] { return begun(URGENT) >= URGENT_TASKS; }, Millis(RECLAIM_MS));
    const bool atAll = inTime || place.eventually([&] { return begun(URGENT) >= URGENT_TASKS; }, Millis(WATCHED_MS));
    const std::int64_t tookMs = place.now() - acceptedMs;
    place.call(2, "GET", std::string("/urgent/") + URGENT);
    place.recordRuns();
    place.record.line("all tasks of the urgent job had begun: " + std::string(atAll ? "yes" : "no") + ", looked at until "
                      + std::to_string(tookMs) + " ms after its acknowledgement");
    place.record.line(inTime ? "RECLAIM held" : "RECLAIM was broken");
    return inTime;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
