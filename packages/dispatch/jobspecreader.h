#pragma once

#include "base/result.h"
#include "steps/stepjob.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

// Parser of papayahall's own JSON format of step jobs, which callers and the command line send.

namespace Papaya
{

/** A job submitted in papayahall's own format. */
struct JobRequest {
    std::optional<JobId> id; ///< chosen by the caller, which makes submission idempotent
    QueueName queue;
    JobSpec spec;
};

/** Maximum payload of a job, in bytes. */
constexpr std::size_t MAX_PAYLOAD_BYTES = 4'000;
constexpr std::size_t MAX_STEPS = 1'000;
constexpr std::int64_t MAX_TASKS = 10'000; ///< maximum of one step

/** @return the job in @p json, or every error with its path. */
Result<JobRequest> readJobRequest(const nlohmann::json &json);

/** @return true if @p text has the form of a job id, 16 hexadecimal digits. */
bool isJobId(std::string_view text);

} // namespace Papaya
