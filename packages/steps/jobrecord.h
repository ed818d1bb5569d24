#pragma once

#include "base/result.h"
#include "steps/stepjob.h"
#include "steps/upkeep.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The records that the state of all jobs is made of. Each has a key; the newest record of a key holds, so that the
// state can be rebuilt from the newest records alone however long ago they were written.

namespace Papaya
{

enum class UnitState : char { Waiting = 'w', Placed = 'p', Done = 'd', Failed = 'f' };

/** What is known of a unit. */
struct UnitStatus {
    UnitState state = UnitState::Waiting;
    std::uint32_t run = 0;         ///< number of the last start, from 1
    std::uint32_t failures = 0;    ///< runs that ended as failed
    std::uint32_t failedRun = 0;   ///< the last of them that was counted
    std::string checkpoint;        ///< where the next run resumes; empty is the beginning
    std::vector<MinionId> minions; ///< of the members of a placed unit, in their order

    bool operator==(const UnitStatus &) const = default;
};

/** A job was accepted. */
struct StepJobSubmitted {
    StepJob job;
};

/** A job was cancelled by its caller. */
struct StepJobCancelled {
    JobId job;
};

/** A job that ended long ago is not known any more. */
struct StepJobForgotten {
    JobId job;
};

/** A unit has changed. */
struct UnitChanged {
    UnitKey unit;
    UnitStatus status;
};

/** A planner took over, is alive, or has resigned. */
struct PlannerHeartbeat {
    Epoch epoch;
    std::string node;
    bool resigned = false;
    std::uint32_t milliCores = 0; ///< processor that the node may use; 0 if it does not say
};

/** The configuration in force, as its operator wrote it, for nodes that cannot read it where that lies. */
struct ConfigCopied {
    std::string document;
};

using JobRecord = std::variant<StepJobSubmitted, StepJobCancelled, StepJobForgotten, UnitChanged, PlannerHeartbeat,
                               WaveProgress, ConfigCopied>;

/** A record as it is stored. An empty value drops the key. */
struct StoredRecord {
    std::string key;
    std::string value;
};

/** @return @p record as it is stored. */
StoredRecord encodeRecord(const JobRecord &record);

/** @return the records that drop every key of @p job and its @p units. */
std::vector<StoredRecord> encodeForgetting(const JobId &job, const std::vector<UnitKey> &units);

/** Reads encodeRecord(); a record without a value is that of a forgotten job. */
Result<JobRecord> decodeRecord(std::string_view key, std::string_view value);

} // namespace Papaya
