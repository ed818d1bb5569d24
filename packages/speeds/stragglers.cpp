#include "speeds/stragglers.h"

#include "steps/placementsearch.h"

#include <algorithm>
#include <optional>

namespace Papaya
{

namespace
{

constexpr std::uint32_t MAX_MOVES = 2;          // of a unit, stuck runs included
constexpr std::size_t MAX_RERUNS = 16;          // in one decision, as minions may turn out otherwise than learned
constexpr std::int64_t MIN_ELAPSED_MS = 1'000;  // two reports at least
constexpr std::int64_t MAX_REPORT_AGE_MS = 900; // of a minion that is polled, so that an unreachable one is left out
constexpr double MIN_BEHIND = 3;                // times the expected run time by the rate so far
constexpr double MARGIN = 1.5;                  // of the time left here over that elsewhere, as minions recover
constexpr std::int64_t START_MS = 300;          // from the end of a stop to a new start: journal, pass and order
// Part of the GPUs of better minions that stays free after a move. On fuller fleets, moved runs took room that urgent
// work needed, and fewer jobs were in time than without moves (docs/design/uneven-minions.md).
constexpr std::int64_t MIN_FREE_DIVISOR = 2;
constexpr std::int64_t STOP_MS = 900; // longest time that a minion of a known deployment takes to stop a run

/** @return the time until @p member ends at its rate so far, which is rounded up in its favour. */
std::int64_t remainingMs(const SlowMember &member)
{
    const std::int64_t percent = std::min<std::int64_t>(member.percent + 1, 100);
    return member.elapsedMs * (100 - percent) / percent;
}

bool isFarBehind(const SlowMember &member, std::int64_t expectedMs)
{
    const std::int64_t percent = std::min<std::int64_t>(member.percent + 1, 100);
    return member.elapsedMs >= MIN_ELAPSED_MS && member.ageMs <= MAX_REPORT_AGE_MS
           && double(member.elapsedMs) * 100 >= MIN_BEHIND * double(expectedMs * percent);
}

/** @return the move of @p unit if its slowest member is far behind on a minion that is known to be very slow. */
std::optional<Rerun> gainfulMove(const SlowUnit &unit, const MinionSpeeds &speeds)
{
    if (unit.members.empty() || unit.expectedMs <= 0 || unit.moves >= MAX_MOVES) {
        return std::nullopt;
    }
    Rerun move;
    move.unit = unit.unit;
    move.slowest =
        *std::max_element(unit.members.begin(), unit.members.end(),
                          [](const SlowMember &a, const SlowMember &b) { return remainingMs(a) < remainingMs(b); });
    move.remainingMs = remainingMs(move.slowest);
    move.elsewhereMs = STOP_MS + START_MS + unit.expectedMs;
    for (const SlowMember &member : unit.members) {
        if (speeds.level(member.minion) >= MinionSpeeds::VERY_SLOW) {
            move.avoid.push_back(member.minion);
        }
    }
    const bool known = speeds.level(move.slowest.minion) >= MinionSpeeds::VERY_SLOW;
    const bool gains = double(move.remainingMs) >= MARGIN * double(move.elsewhereMs);
    return known && gains && isFarBehind(move.slowest, unit.expectedMs) ? std::optional(move) : std::nullopt;
}

} // namespace

std::vector<Rerun> unitsToRerun(PlanInput input, const std::vector<SlowUnit> &units, const MinionSpeeds &speeds)
{
    for (MinionView &minion : input.minions) {
        minion.usable = minion.usable && minion.slowness < MinionSpeeds::VERY_SLOW;
    }
    MinionFleet fleet(input.minions);
    PlacementSearch search(fleet);
    std::vector<Rerun> moves;
    for (const SlowUnit &unit : units) {
        if (moves.size() >= MAX_RERUNS) {
            break;
        }
        const StepJob &job = input.jobs.find(unit.unit.job)->job;
        const StepSpec &step = job.spec.steps[unit.unit.step];
        const QueueConfig *queue = input.config.queue(job.queue);
        std::optional<Rerun> move = gainfulMove(unit, speeds);
        if (!move || (queue != nullptr && queue->oracle.has_value())) {
            continue;
        }
        // All members must find room at once, before what the unit holds is released, so that the new run need not
        // wait.
        PlacementRequest request;
        request.group = &fleet.eligible(serviceOf(input.config, job), step);
        request.need = countedNeed(step);
        request.members = step.gang ? step.count : 1;
        request.maxPerMinion = step.maxPerMinion;
        const std::vector<std::size_t> chosen = search.find(request, MinionGroup::ANY_RACK);
        const std::int64_t gpus = request.need.gpus * static_cast<std::int64_t>(request.members);
        const std::int64_t left = fleet.free().gpus - gpus;
        const bool takesScarceRoom = gpus > 0 && left * MIN_FREE_DIVISOR < fleet.capacity().gpus;
        if (chosen.empty() || takesScarceRoom) {
            continue;
        }
        for (const std::size_t minion : chosen) {
            fleet.allocate(minion, request.need);
        }
        moves.push_back(std::move(*move));
    }
    return moves;
}

} // namespace Papaya
