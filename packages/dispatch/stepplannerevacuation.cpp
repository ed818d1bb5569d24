#include "dispatch/stepplanner.h"

#include "dispatch/boottime.h"
#include "process/logging.h"

#include <algorithm>

// Evacuation of failure domains at the operators' request. obstacleOn() keeps new work away; this file moves what would
// never end by itself, and copies the requests into the journal.

namespace Papaya
{

namespace
{

constexpr std::int64_t SERVICE_MOVE_INTERVAL_MS = 500;
constexpr std::int64_t EVACUATIONS_JOURNAL_INTERVAL_MS = 1'000; // minimum between two copies

} // namespace

std::vector<StrandedUnit> StepPlanner::strandedUnits() const
{
    const std::set<PlaceName> &places = m_context.evacuations().inForce();
    std::vector<StrandedUnit> units;
    for (const auto &[key, assignment] : m_assignments) {
        if (!assignment->step.longRunning || assignment->stopping || assignment->outcome) {
            continue;
        }
        const bool stranded =
            std::any_of(assignment->members.begin(), assignment->members.end(), [&](const Member &member) {
                return member.state == MemberState::Running && places.contains(m_links.at(member.minion).entry.place);
            });
        if (stranded) {
            units.push_back({key, tasksToLose(*assignment), unavailableTasks(key.stepKey(), assignment->step)});
        }
    }
    return units;
}

void StepPlanner::moveStrandedServices(std::int64_t nowMs)
{
    const bool due = nowMs - m_lastServiceMoveMs >= SERVICE_MOVE_INTERVAL_MS;
    if (m_context.evacuations().inForce().empty() || !due || !mayRenew() || !viewIsCurrent(Millis(0))
        || m_context.config() == nullptr) {
        return;
    }
    m_lastServiceMoveMs = nowMs;
    const std::vector<StrandedUnit> units = strandedUnits();
    if (units.empty()) {
        return;
    }
    std::vector<MinionId> ids;
    for (const UnitKey &unit : unitsToMove(planInput(ids), units)) {
        stopAssignment(m_assignments.at(unit), "place-evacuated");
    }
}

void StepPlanner::journalEvacuations(std::int64_t nowMs)
{
    const PlaceEvacuations &evacuations = m_context.evacuations();
    if (!evacuations.copyOutdated() || nowMs - m_lastEvacuationsJournalMs < EVACUATIONS_JOURNAL_INTERVAL_MS) {
        return;
    }
    m_lastEvacuationsJournalMs = nowMs;
    const std::set<PlaceName> &places = evacuations.inForce();
    m_pendingRecords.push_back(encodeRecord(EvacuationsCopied {{places.begin(), places.end()}}));
    flushSoon();
}

} // namespace Papaya
