#pragma once

#include "base/result.h"
#include "dispatch/minioncontrol.h"
#include "dispatch/recordstore.h"
#include "steps/deploymentconfig.h"
#include "steps/upkeep.h"

#include <memory>
#include <string>
#include <string_view>

// Reads and writes what the deployment's operators, minions and callers send, so that the product knows none of its
// names.

namespace Papaya
{

/** What the operator is told of a maintenance wave. */
enum class WaveStatus { Running, Completed };

/** The documents of a deployment. */
class DeploymentCodec
{
public:
    virtual ~DeploymentCodec() = default;

    /** @return true if the record under @p key is a configuration. */
    [[nodiscard]] virtual bool isConfig(std::string_view key) const = 0;
    [[nodiscard]] virtual Result<DeploymentConfig> decodeConfig(std::string_view value) const = 0;
    /** @return true if the record under @p key asks for a maintenance wave. */
    [[nodiscard]] virtual bool isWave(std::string_view key) const = 0;
    [[nodiscard]] virtual Result<UpkeepWave> decodeWave(std::string_view key, std::string_view value) const = 0;
    [[nodiscard]] virtual StoredRecord encodeWaveStatus(WaveNumber wave, WaveStatus status) const = 0;
    [[nodiscard]] virtual Result<MinionEntry> decodeMinion(std::string_view key, std::string_view value) const = 0;
    [[nodiscard]] virtual Result<JobSpec> decodeJob(std::string_view body) const = 0;
    /** @return the body of an answer about a job's state. */
    [[nodiscard]] virtual std::string encodeState(std::string_view state) const = 0;
    /** @return the body of an answer about a queue. */
    [[nodiscard]] virtual std::string encodeWaiting(std::size_t waiting) const = 0;
    /** @return the path at which the balancer asks whether this node takes connections. */
    [[nodiscard]] virtual std::string_view readyPath() const = 0;
    /** @return the name of the header field with a caller's key. */
    [[nodiscard]] virtual std::string_view keyHeader() const = 0;
    /** @return the name of the header field with the milliseconds that a caller still waits. */
    [[nodiscard]] virtual std::string_view deadlineHeader() const = 0;
};

} // namespace Papaya
