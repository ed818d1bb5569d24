#include "day.h"

#include "process/guaranteescheduling.h"

#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

// Compares scheduling policies on synthetic days of both deployments, over several seeds. Prints one line for each run.

using namespace Papaya;
using namespace Papaya::Bench;

namespace
{

std::unique_ptr<SchedulingPolicy> makePolicy(const std::string &name, const GuaranteeSchedulingLimits &limits)
{
    if (name == "first-fit") {
        return std::make_unique<FifoScheduling>(std::make_unique<FirstFit>());
    }
    if (name == "best-fit") {
        return std::make_unique<FifoScheduling>(std::make_unique<BestFit>());
    }
    return std::make_unique<GuaranteeScheduling>(limits);
}

void print(const DayOptions &options, const std::string &policy, const DayResult &r)
{
    const char *user = options.user == User::Fjordhvile ? "fjordhvile" : "guild";
    const std::array<const char *, 3> floods {"none", "background", "urgent"};
    std::cout << std::fixed << std::setprecision(3) << "user=" << user
              << " flood=" << floods[static_cast<std::size_t>(options.flood)] << " seed=" << options.seed
              << " policy=" << policy << " utilisation=" << r.utilisation << " fragmentation=" << r.fragmentation
              << " whole_share=" << r.largeGangsPlaceable << " large_wait_p50_min=" << r.largeWaitMinutes.p50
              << " large_wait_p95_min=" << r.largeWaitMinutes.p95
              << " guaranteed_wait_p95_s=" << r.guaranteedWaitSeconds.p95 << " fairness=" << r.callerFairness
              << " worst_team=" << r.worstTeamSlowdown << " lost_gpu_h=" << r.lostGpuHours
              << " preemptions=" << r.preemptions << " moves=" << r.moves << " unfinished=" << r.unfinished
              << " pass_us=" << r.planMicroseconds;
    for (const auto &[work, slowdown] : r.slowdown) {
        std::cout << " slowdown_" << work << "=" << slowdown.mean << "/" << slowdown.p95;
    }
    std::cout << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares scheduling policies on synthetic days.");
    const TCLAP::ValueArg<std::uint64_t> first("f", "first-seed", "First seed", false, 1, "N", line);
    const TCLAP::ValueArg<std::uint64_t> count("n", "seeds", "Number of seeds", false, 3, "N", line);
    const TCLAP::ValueArg<std::string> only("p", "policy", "Run only this policy", false, "", "NAME", line);
    const TCLAP::SwitchArg floods("", "floods", "Also run days with floods of extra jobs", line);
    const GuaranteeSchedulingLimits standard;
    const TCLAP::ValueArg<std::size_t> reservations(
        "r", "reservations", "Largest number of gangs with reserved workers", false, standard.reservations, "N", line);
    const TCLAP::ValueArg<std::int64_t> aged("a", "aged-min",
                                             "Minutes of waiting after which a gang is scheduled first", false,
                                             standard.agingThresholdMs / 60'000, "N", line);
    const TCLAP::ValueArg<std::int64_t> moves("m", "moves", "Largest number of moves per hour", false,
                                              standard.movesPerHour, "N", line);
    line.parse(argc, argv);
    GuaranteeSchedulingLimits limits;
    limits.reservations = reservations.getValue();
    limits.agingThresholdMs = aged.getValue() * 60'000;
    limits.movesPerHour = moves.getValue();
    const std::size_t floodKinds = floods.getValue() ? 3 : 1;
    for (const User user : {User::Fjordhvile, User::Guild}) {
        for (std::size_t flood = 0; flood < floodKinds; ++flood) {
            for (std::uint64_t seed = first.getValue(); seed < first.getValue() + count.getValue(); ++seed) {
                const DayOptions options {user, static_cast<Flood>(flood), seed};
                const Day day = makeDay(options);
                for (const std::string policy : {"first-fit", "best-fit", "guarantee"}) {
                    if (only.getValue().empty() || only.getValue() == policy) {
                        print(options, policy, runDay(day, *makePolicy(policy, limits)));
                    }
                }
            }
        }
    }
}
