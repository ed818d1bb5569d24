// A minion that has been idle for a while is cut off for some seconds, and a job for it comes meanwhile.

#include "site.hh"

using namespace Review;

namespace
{

constexpr std::size_t MINIONS = 6;
constexpr std::size_t ONLY = 5;    // the only minion of kind "b"
constexpr Millis IDLE {34'000};    // connections to it are given up after 30 s
constexpr Millis JOB_AFTER {300};  // from the cut
constexpr Millis CUT_FOR {5'500};  // 5.5 s at most
constexpr Millis WATCHED {40'000}; // from the end of the cut
constexpr Millis ALLOWED {17'000}; // finish_s, 14 s, and the 3 s of the rule

std::vector<std::string> play(const std::string &folder)
{
    SiteShape shape;
    shape.minions = MINIONS;
    shape.relayed = true;
    shape.kinds = {"a", "a", "a", "a", "a", "b"};
    Site site(folder, shape);
    site.start();
    std::this_thread::sleep_for(IDLE);
    const TimePoint cutAt = Clock::now();
    if (withTrouble()) {
        site.cutOff(ONLY, true);
    }
    std::this_thread::sleep_for(JOB_AFTER);
    const std::string job = site.newId();
    const Json steps = Json::array(
        {{{"count", 1}, {"cpu", 1'000}, {"memMb", 1'000}, {"gpu", 1}, {"estimateMs", 500}, {"requires", "b"}}});
    if (site.submit(0, job, steps, {{"workMs", 500}, {"gpu", 1}}).status != 200) {
        throw CannotRun("the job is not accepted");
    }
    if (withTrouble()) {
        std::this_thread::sleep_until(cutAt + Site::SILENCE);
        site.removeEntry(ONLY);
    }
    std::this_thread::sleep_until(cutAt + CUT_FOR);
    if (withTrouble()) {
        site.cutOff(ONLY, false);
    }
    const TimePoint healedAt = Clock::now();
    const bool completed = Site::eventually(
        [&] {
            std::this_thread::sleep_for(Millis(500));
            return site.state(0, job) == "completed";
        },
        WATCHED);
    const auto took = std::chrono::duration_cast<Millis>(Clock::now() - healedAt);
    if (completed && took < ALLOWED) {
        return {};
    }
    return {"job " + job + " was accepted and " + (completed ? "completed only " : "not completed ")
            + std::to_string(took.count()) + " ms after the end of the cut; its minion was up, listed and idle"};
}

} // namespace

int main(int argc, char **argv)
{
    return runCase([&] { return play(argc > 1 ? argv[1] : "review/1"); });
}
