// Jobs come and end all the time; now and then a minion crashes and is started again at once under its id.

#include "site.hh"

#include <random>

using namespace Review;

namespace
{

constexpr std::size_t MINIONS = 8;
constexpr Millis LENGTH {75'000};
constexpr Millis JOB_INTERVAL {700};
constexpr Millis CRASH_INTERVAL {1'500}; // and up to a second more
constexpr Millis DOWN {100};

std::vector<std::string> play(const std::string &folder)
{
    SiteShape shape;
    shape.minions = MINIONS;
    Site site(folder, shape);
    site.start();
    const TimePoint end = Clock::now() + LENGTH;
    std::thread crashes;
    if (withTrouble()) {
        crashes = std::thread([&site, end] {
            std::mt19937 random(27);
            for (std::size_t i = 0; Clock::now() < end; ++i) {
                std::this_thread::sleep_for(CRASH_INTERVAL + Millis(random() % 1'000));
                site.killMinion(i % MINIONS);
                std::this_thread::sleep_for(DOWN);
                site.startMinion(i % MINIONS);
            }
        });
    }
    // Each job has six tasks that need a whole minion each and work for 400 ms.
    const Json steps = Json::array({{{"count", 6}, {"cpu", 1'000}, {"memMb", 1'000}, {"gpu", 8}, {"estimateMs", 400}}});
    std::vector<std::string> jobs;
    while (Clock::now() < end) {
        const TimePoint next = Clock::now() + JOB_INTERVAL;
        jobs.push_back(site.newId());
        site.submit(jobs.size() % 2, jobs.back(), steps, {{"workMs", 400}, {"gpu", 8}});
        std::this_thread::sleep_until(next);
    }
    if (crashes.joinable()) {
        crashes.join();
    }
    Site::eventually([&] { return site.state(0, jobs.back()) == "completed"; }, Millis(10'000));
    return site.doubled();
}

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] { return play(argc > 1 ? argv[1] : "review/2"); });
}
