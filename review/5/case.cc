// Two waves of upkeep, one after the other, over the same machines. One order of the second wave gets no answer.

#include "site.hh"

using namespace Review;

namespace
{

constexpr std::size_t MINIONS = 3;
constexpr Millis WAVE_LIMIT {40'000};
constexpr Millis PAUSE {1'000}; // between the first wave and the second

void request(Site &site, std::uint64_t wave)
{
    Json machines = Json::array();
    for (std::size_t i = 0; i < MINIONS; ++i) {
        machines.push_back("m-" + std::to_string(i));
    }
    const Json body = {{"wave", wave}, {"machines", machines}, {"withinS", 30}, {"maximum", 1}};
    site.record("operator writes op/wave/" + std::to_string(wave) + " " + body.dump());
    site.store().put("keyed.op", "wave/" + std::to_string(wave), body.dump());
}

bool waitUntilCompleted(Site &site, std::uint64_t wave)
{
    const std::string key = "wave/" + std::to_string(wave);
    const bool completed = Site::eventually(
        [&] { return site.store().newest("keyed.status", key).find("completed") != std::string::npos; }, WAVE_LIMIT);
    site.record("operator reads status/" + key + " " + site.store().newest("keyed.status", key));
    return completed;
}

std::vector<std::string> play(const std::string &folder)
{
    SiteShape shape;
    shape.minions = MINIONS;
    shape.machines = true;
    Site site(folder, shape);
    site.start();
    request(site, 1);
    if (!waitUntilCompleted(site, 1)) {
        throw CannotRun("the first wave does not complete");
    }
    std::this_thread::sleep_for(PAUSE);
    if (withTrouble()) {
        site.machines().lose(2, 1);
    }
    request(site, 2);
    if (!waitUntilCompleted(site, 2)) {
        throw CannotRun("the second wave does not complete"); // late, which the rule allows
    }
    std::vector<std::string> broken;
    for (std::uint64_t wave = 1; wave <= 2; ++wave) {
        for (std::size_t i = 0; i < MINIONS; ++i) {
            if (!site.machines().begun(i, wave)) {
                broken.push_back("wave " + std::to_string(wave) + " is said to be completed, and machine m-"
                                 + std::to_string(i) + " has not begun its upkeep");
            }
        }
    }
    return broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] { return play(argc > 1 ? argv[1] : "review/5"); });
}
