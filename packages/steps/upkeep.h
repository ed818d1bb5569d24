#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Plans maintenance waves. A wave is a set of machines that must all be serviced by a deadline, with a limit on how
// many are down at once. To disturb a busy fleet as little as possible, a machine is reserved before its turn, so that
// it takes no new work; its running work may end or save its progress as long as the deadline allows; and no service
// loses more tasks than its disruption budget.

namespace Papaya
{

using MachineId = Strong<struct MachineIdTag, std::string>;
using WaveNumber = Strong<struct WaveNumberTag, std::uint64_t>;

/** A maintenance wave as requested by the operator. */
struct UpkeepWave {
    WaveNumber number;
    std::vector<MachineId> machines;
    Millis within {0};         ///< time limit, from when the wave was first seen
    std::uint32_t maximum = 1; ///< most machines that may be down for it at once
};

/** State of a machine in a wave. The values are stored in the journal. */
enum class UpkeepState : char {
    Pending = 'p',
    Begun = 'b',   ///< ordered down and not known to be back; counts as down
    Done = 'd',    ///< serviced and back
    Removed = 'l', ///< removed from the fleet, or the platform does not service it for this wave
};

/** Progress of a wave, as recorded in the journal. */
struct WaveProgress {
    WaveNumber number;
    std::int64_t firstSeenMs = 0; ///< milliseconds since 1970
    std::map<MachineId, UpkeepState> machines;

    /** @return true if every machine has been serviced or removed. */
    [[nodiscard]] bool completed() const;
};

/** A machine that has not been serviced. */
struct UpkeepCandidate {
    MachineId machine;
    bool up = true;               ///< can be ordered down now
    bool overBudget = false;      ///< its upkeep would exceed the disruption budget of a service
    std::size_t running = 0;      ///< unit members that are placed there
    std::int64_t lossMs = 0;      ///< work that stopping them would lose, in total
    std::int64_t reservedMs = -1; ///< time since it was reserved; negative if it is not
    std::int64_t vacatedMs = -1;  ///< time since its work was ordered to stop; negative if it was not
};

/** Output of one planning pass over a wave. */
struct UpkeepDecisions {
    std::vector<MachineId> reserve; ///< must take no new work
    std::vector<MachineId> vacate;  ///< must stop their running work, which saves its progress
    std::vector<MachineId> begin;   ///< must go down now
};

/**
 * Runs one planning pass over a wave.
 * @param maximum most machines that may be down at once
 * @param down machines of the wave that are down for it
 * @param pending machines of the wave that have not been serviced and are not down
 * @param remainingMs time until the deadline of the wave; may be negative
 */
UpkeepDecisions planUpkeep(std::uint32_t maximum, std::uint32_t down, std::vector<UpkeepCandidate> pending,
                           std::int64_t remainingMs);

/**
 * @param maxUnavailable disruption budget of the step in tasks; 0 is no limit
 * @param unavailable tasks of the step that are not running
 * @param affected further tasks of the step that would be stopped together
 * @return true if the stop would exceed the budget
 */
bool exceedsBudget(std::uint32_t maxUnavailable, std::uint32_t unavailable, std::uint32_t affected);

} // namespace Papaya
