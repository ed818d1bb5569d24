#include "dispatch/stepplanner.h"

#include "process/logging.h"

// Interference between images: passes reports on to Interference, and what it knows to the placement of tasks.

namespace Papaya
{

namespace
{

constexpr std::int64_t AVAILABLE_PERCENT = 100;
constexpr std::int64_t LOG_WINDOW_MS = 10'000;
constexpr std::size_t MAX_LINES = 8; // in one window

} // namespace

void StepPlanner::observeInterference(MinionLink &link, std::int64_t nowMs)
{
    if (nowMs - link.interferenceSeenMs < Interference::reportIntervalMs(m_links.size())) {
        return;
    }
    link.interferenceSeenMs = nowMs;
    std::vector<ObservedTask> tasks;
    for (const PlacedMember &placed : link.placed) {
        const Assignment &assignment = *placed.assignment;
        const Member &member = placed.member();
        const StepSpec &step = assignment.step;
        if (step.image.empty() || member.state != MemberState::Running || assignment.stopping) {
            continue;
        }
        ObservedTask task;
        task.image = step.image;
        task.serves = step.serves();
        task.fills = step.fills;
        task.percent = member.percent;
        if (task.serves) {
            const bool available = member.percent >= AVAILABLE_PERCENT;
            task.tailRatio = available ? double(member.tailMs) / double(step.tailTarget.count()) : 0;
        } else {
            task.cores = double(member.coresInUse);
            task.name = assignment.unit.taskName(static_cast<std::uint32_t>(placed.index)) + "/"
                        + std::to_string(assignment.run);
        }
        tasks.push_back(std::move(task));
    }
    m_interference.observe(tasks, nowMs);
}

ImageInterference::Loads StepPlanner::fillLoads(const std::vector<PlacedMember> &fills)
{
    ImageInterference::Loads loads;
    for (const PlacedMember &placed : fills) {
        loads[placed.assignment->step.image] += double(placed.member().coresInUse);
    }
    return loads;
}

void StepPlanner::refitInterference(std::int64_t nowMs)
{
    const std::vector<InterferingPair> discovered = m_interference.refit(nowMs);
    if (nowMs - m_interferenceLinesFromMs >= LOG_WINDOW_MS) {
        m_interferenceLinesFromMs = nowMs;
        m_interferenceLines = 0;
    }
    for (const InterferingPair &pair : discovered) {
        if (m_interferenceLines++ >= MAX_LINES) {
            break;
        }
        logEvent(LogLevel::Info, "interference-found",
                 {{"disturbed", pair.disturbed},
                  {"by", pair.other},
                  {"effect_percent", std::int64_t(pair.effect.perTask * 100)},
                  {"error_percent", std::int64_t(pair.effect.standardError * 100)},
                  {"observations", std::int64_t(pair.effect.observations)},
                  {"age_ms", nowMs - pair.effect.firstSeenMs}});
    }
}

void StepPlanner::updateKeepApart()
{
    KeepApart::Running running;
    std::set<std::string> concerned;
    for (const InterferingPair &pair : m_interference.pairs()) {
        concerned.insert({pair.disturbed, pair.other});
    }
    for (const auto &[id, link] : m_links) {
        if (concerned.empty()) {
            break;
        }
        for (const PlacedMember &placed : link.placed) {
            const std::string &image = placed.assignment->step.image;
            if (!placed.assignment->stopping && concerned.contains(image)) {
                running[id].insert(image);
            }
        }
    }
    m_interference.updatePreference(running);
}

} // namespace Papaya
