#pragma once

#include "steps/stepjob.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Maintenance waves: a number of machines that must all have their upkeep in time, with at most so many of them down at
// once. Answers the pattern of upkeep on a busy fleet: a machine takes nothing new before its turn, what runs there may
// end or save its progress as long as the wave can wait, and no service loses more of its tasks than it may miss. Pure.

namespace Papaya
{

using MachineId = Strong<struct MachineIdTag, std::string>;
using WaveNumber = Strong<struct WaveNumberTag, std::uint64_t>;

/** What the operator asks for. */
struct UpkeepWave {
    WaveNumber number;
    std::vector<MachineId> machines;
    Millis within {0};         ///< from the time at which the wave was first seen
    std::uint32_t maximum = 1; ///< machines that may be down for it at once
};

enum class UpkeepState : char {
    Pending = 'p',
    Begun = 'b',   ///< ordered, and not known to be back; counts as down
    Done = 'd',    ///< back
    Removed = 'l', ///< the machine is gone for good
};

/** How far a wave is; lies in the journal. */
struct WaveProgress {
    WaveNumber number;
    std::int64_t firstSeenMs = 0; ///< milliseconds since 1970
    std::map<MachineId, UpkeepState> machines;

    /** @return true if no machine is left to be done. */
    [[nodiscard]] bool completed() const;
};

/** A machine whose upkeep is due. */
struct UpkeepCandidate {
    MachineId machine;
    bool up = true;               ///< can be ordered now
    bool overBudget = false;      ///< its upkeep would exceed what a service may miss
    std::size_t running = 0;      ///< members of units that are placed there
    std::int64_t lossMs = 0;      ///< work that a stop would lose, summed over them
    std::int64_t reservedMs = -1; ///< how long it has taken nothing new; negative if it still does
    std::int64_t vacatedMs = -1;  ///< how long what runs there is being stopped; negative if it is not
};

/** What a pass over a wave decides. */
struct UpkeepDecisions {
    std::vector<MachineId> reserve; ///< take nothing new
    std::vector<MachineId> vacate;  ///< what runs there is stopped, so that it saves its progress
    std::vector<MachineId> begin;   ///< go down now
};

/**
 * One pass.
 * @param down machines of the wave that are down for it
 * @param pending the others that have not had their upkeep
 * @param remainingMs until the wave must have ended; may be negative
 */
UpkeepDecisions planUpkeep(std::uint32_t maximum, std::uint32_t down, std::vector<UpkeepCandidate> pending,
                           std::int64_t remainingMs);

/**
 * @return true if a service whose step may miss @p maxUnavailable tasks would miss more
 * @param unavailable tasks of the step that are not at work
 * @param affected further ones that would be stopped together
 */
bool exceedsBudget(std::uint32_t maxUnavailable, std::uint32_t unavailable, std::uint32_t affected);

} // namespace Papaya
