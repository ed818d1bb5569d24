#include "place.hh"

#include <algorithm>

// An order to slow a filling task down is carried out late. It undoes a newer one, and nobody corrects it.

using namespace Review;

namespace
{

constexpr const char *SERVES = "00000000000f0001";
constexpr const char *FILLS = "00000000000f0002";
constexpr std::int64_t TARGET_MS = 100;
constexpr std::int64_t HARM_MS = 4'000;    // harmMs
constexpr std::int64_t CONTACT_MS = 3'000; // contactMs
constexpr std::int64_t LATE_MS = 10'000;   // 2 to 12 s

bool run(const std::string &recordPath)
{
    Options options;
    options.racks = std::vector<std::string>(11, "r0");
    options.racks.emplace_back("r9"); // one minion in a rack of its own, on which both tasks run
    Place place(recordPath, options);
    place.start(configuration({queue("serve", 1), queue("batch", 2)}, 8));
    Minion &minion = place.minion("i-11");
    minion.lateMs = LATE_MS;
    minion.latePaces = trouble() ? 1 : 0;
    const auto runs = [&](const char *job) {
        return place.eventually([&] { return !place.runs.of(job).empty(); }, Millis(8'000));
    };
    const Json serving = {{"count", 1},          {"cpu", 4'000},          {"memMb", 1'000},   {"estimateMs", 500},
                          {"longRunning", true}, {"targetMs", TARGET_MS}, {"image", "front"}, {"requires", "r9"}};
    place.submit(0, "serve", SERVES,
                 {{"taskSpec", R"({"lasts":true,"tailMs":40,"disturbedMs":2000})"}, {"steps", Json::array({serving})}});
    if (!runs(SERVES)) {
        throw CannotRun("the service does not run");
    }
    std::this_thread::sleep_for(Millis(2'000));
    const Json filling = {{"count", 1},    {"cpu", 4'000},     {"memMb", 1'000},  {"estimateMs", 90'000},
                          {"fills", true}, {"image", "study"}, {"requires", "r9"}};
    place.submit(1, "batch", FILLS,
                 {{"taskSpec", R"({"workMs":90000,"fills":true})"}, {"steps", Json::array({filling})}});
    if (!runs(FILLS)) {
        throw CannotRun("the filling task does not run");
    }
    const std::int64_t fromMs = place.now();
    const std::string served = std::string(SERVES) + ".0.0.0";
    const std::string filled = std::string(FILLS) + ".0.0.0";
    // Samples the tail and the pace; the longest time over the target that begins when no disruption is near.
    std::int64_t overSinceMs = 0;
    std::int64_t longestMs = 0;
    std::string last;
    while (place.now() - fromMs < 45'000) {
        std::this_thread::sleep_for(Millis(50));
        const std::int64_t now = place.now();
        const int pace = minion.paceOf(filled).value_or(0);
        const std::int64_t tail = minion.tailOf(served);
        const std::string line = "tail " + std::to_string(tail) + " ms, pace " + std::to_string(pace);
        if (line != last) {
            place.record.line(line);
            last = line;
        }
        const bool calm = !trouble() || (minion.lateDoneMs > 0 && now - minion.lateDoneMs > CONTACT_MS);
        const bool over = calm && tail > TARGET_MS && pace > 0;
        overSinceMs = !over ? 0 : overSinceMs == 0 ? now : overSinceMs;
        longestMs = std::max(longestMs, overSinceMs == 0 ? 0 : now - overSinceMs);
    }
    place.recordRuns();
    const bool held = longestMs <= HARM_MS;
    place.record.line("the longest harm, with no disruption near, lasted " + std::to_string(longestMs) + " ms");
    place.record.line(held ? "HARM held" : "HARM was broken");
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
