#pragma once

#include "base/result.h"
#include "dispatch/minioncontrol.h"
#include "dispatch/recordstore.h"
#include "steps/deploymentconfig.h"
#include "steps/upkeep.h"

#include <memory>
#include <string>
#include <string_view>

// Encodes and decodes the documents of a deployment's operators, minions and callers, so that only the codec depends on
// their field names.

namespace Papaya
{

/** The status of a maintenance wave, as published to the operator. */
enum class WaveStatus { Running, Completed };

/** Codec of the documents of a deployment. */
class DeploymentCodec
{
public:
    virtual ~DeploymentCodec() = default;

    /** @return true if the record under @p key is a configuration. */
    [[nodiscard]] virtual bool isConfig(std::string_view key) const = 0;
    [[nodiscard]] virtual Result<DeploymentConfig> decodeConfig(std::string_view value) const = 0;
    /** @return true if the record under @p key requests a maintenance wave. */
    [[nodiscard]] virtual bool isWave(std::string_view key) const = 0;
    [[nodiscard]] virtual Result<UpkeepWave> decodeWave(std::string_view key, std::string_view value) const = 0;
    /** @return true if the record under @p key requests the evacuation of a failure domain. */
    [[nodiscard]] virtual bool isEvacuation(std::string_view key) const = 0;
    /** @return the failure domain that the record under @p key names. */
    [[nodiscard]] virtual Result<PlaceName> decodeEvacuation(std::string_view key) const = 0;
    [[nodiscard]] virtual StoredRecord encodeWaveStatus(WaveNumber wave, WaveStatus status) const = 0;
    [[nodiscard]] virtual Result<MinionEntry> decodeMinion(std::string_view key, std::string_view value) const = 0;
    [[nodiscard]] virtual Result<JobSpec> decodeJob(std::string_view body) const = 0;
    /** @return the response body for the state of a job. */
    [[nodiscard]] virtual std::string encodeState(std::string_view state) const = 0;
    /** @return the response body for the number of waiting jobs of a queue. */
    [[nodiscard]] virtual std::string encodeWaiting(std::size_t waiting) const = 0;
    /** @return the path of the readiness probe of the balancer. */
    [[nodiscard]] virtual std::string_view readyPath() const = 0;
    /** @return the name of the header field that holds a caller's API key. */
    [[nodiscard]] virtual std::string_view keyHeader() const = 0;
    /** @return the name of the header field that holds the time left until the caller's deadline, in ms. */
    [[nodiscard]] virtual std::string_view deadlineHeader() const = 0;
};

} // namespace Papaya
