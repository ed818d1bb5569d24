#pragma once

#include "base/result.h"
#include "steps/stepjob.h"
#include "steps/upkeep.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The journal records that make up the state of all jobs. Each record has a key and replaces earlier records of that
// key, so the state can be rebuilt from the newest record of each key.

namespace Papaya
{

enum class UnitState : char { Waiting = 'w', Placed = 'p', Done = 'd', Failed = 'f' };

/** State of a unit. */
struct UnitStatus {
    UnitState state = UnitState::Waiting;
    std::uint32_t run = 0;       ///< number of the last run, from 1; 0 before the first
    std::uint32_t failures = 0;  ///< runs that have failed
    std::uint32_t failedRun = 0; ///< the last run counted in failures
    std::string checkpoint;      ///< checkpoint to resume from; empty starts over
    /** Minion of each member, if the unit is placed; empty for a member that has ended while others may run. */
    std::vector<MinionId> minions;
    bool neverBegan = false; ///< no run is known to have begun, although there were some; stored only while it waits

    /** @return true if a run may have begun; a placed unit counts as begun. */
    [[nodiscard]] bool hasBegun() const
    {
        return run > 0 && !(state == UnitState::Waiting && neverBegan);
    }

    bool operator==(const UnitStatus &) const = default;
};

/** A job was accepted. */
struct StepJobSubmitted {
    StepJob job;
};

/** The caller has cancelled a job. */
struct StepJobCancelled {
    JobId job;
};

/** A job has been deleted after its retention period. */
struct StepJobForgotten {
    JobId job;
};

/** A record about a job other than its own has been deleted; the deletion of its own record follows. */
struct StepJobPartForgotten {
    JobId job;
};

/** The state of a unit has changed. */
struct UnitChanged {
    UnitKey unit;
    UnitStatus status;
};

/** A planner that led before another one, and whose leases may not have expired yet. */
struct EarlierPlanner {
    Epoch epoch;
    std::string node;             ///< empty if it is unknown
    std::string peers;            ///< as in PlannerAnnouncement
    std::int64_t renewsForMs = 0; ///< it renews no lease later than this after the record that names it was written
};

/** A planner has taken over, is alive, or has resigned. */
struct PlannerAnnouncement {
    Epoch epoch;
    std::string node;
    bool resigned = false;
    std::uint32_t milliCores = 0; ///< processor share of the node in thousandths of a core; 0 if unknown
    std::string peers;            ///< address at which the node takes records of other nodes; empty if it does not
    /** All earlier planners whose leases may not have expired; nothing if the writer does not list them. */
    std::optional<std::vector<EarlierPlanner>> earlier = std::nullopt;
};

/**
 * A planner does not reach a minion, and grants it no lease before it has withdrawn this record. A successor need not
 * wait anew for the leases of earlier planners.
 */
struct MinionSilence {
    MinionId minion;
    std::optional<Epoch> since; ///< epoch of the planner; empty if the record is withdrawn
    /**
     * 0 if the planner has not reached the minion since it took over. Otherwise a number that the planner uses once,
     * and no lease of the minion lasts longer from then on than one that is granted then.
     */
    std::uint32_t spell = 0;
    std::int64_t startTimeMs = 0; ///< MinionEntry::startTimeMs of its last entry; 0 if unknown
};

/** Copy of the operator's configuration in force, for nodes that cannot read the original. */
struct ConfigCopied {
    std::string document;
};

/** Copy of the operators' requests to evacuate failure domains, for nodes that cannot read the originals. */
struct EvacuationsCopied {
    std::vector<PlaceName> places;
};

using JobRecord = std::variant<StepJobSubmitted, StepJobCancelled, StepJobForgotten, UnitChanged, PlannerAnnouncement,
                               WaveProgress, ConfigCopied, MinionSilence, EvacuationsCopied, StepJobPartForgotten>;

/** A record in stored form. An empty value deletes the key. */
struct StoredRecord {
    std::string key;
    std::string value;
};

/** @return the stored form of @p record. */
StoredRecord encodeRecord(const JobRecord &record);

/**
 * The records that delete the keys of a job. If only some of those about units are stored, a node that loads the
 * journal then takes the units for waiting. Unless all records are stored atomically, the cancellation comes first.
 */
struct ForgettingRecords {
    StoredRecord cancellation;
    std::vector<StoredRecord> units; ///< delete the records of units
    std::vector<StoredRecord> job;   ///< delete the rest; must be stored atomically and last
};

/** @return the records that delete the keys of @p job and of its @p units. */
ForgettingRecords encodeForgetting(const JobId &job, const std::vector<UnitKey> &units);

/**
 * Decodes the stored form of a record. An empty value of the key of a job decodes as StepJobForgotten, of another key
 * that belongs to a job as StepJobPartForgotten.
 * @return an error with the code "malformed" if the record does not match the format of this version
 */
Result<JobRecord> decodeRecord(std::string_view key, std::string_view value);

} // namespace Papaya
