#pragma once

#include "base/result.h"
#include "steps/stepjob.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

// The product's own form of a job of steps, as callers and the command line send it.

namespace Papaya
{

/** A job that was sent to the product's own interface. */
struct JobRequest {
    std::optional<JobId> id; ///< chosen by the caller, so that a repeat is the same job
    QueueName queue;
    JobSpec spec;
};

/** Largest payload of a job, in bytes. */
constexpr std::size_t MAX_PAYLOAD_BYTES = 4'000;
constexpr std::size_t MAX_STEPS = 1'000;
constexpr std::int64_t MAX_TASKS = 10'000; ///< of one step

/** @return the job in @p json, or every error with its path. */
Result<JobRequest> readJobRequest(const nlohmann::json &json);

/** @return true if @p text may be a job's id: 16 hexadecimal digits. */
bool isJobId(std::string_view text);

} // namespace Papaya
