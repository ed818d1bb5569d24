#pragma once

#include "process/latencyhistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Counters by reason and latency histograms of a node that schedules jobs of steps. A node has one thread.

namespace Papaya
{

/** What is counted, each by reason. */
enum class StepEvent {
    Answer,         ///< to a caller, by status
    Refusal,        ///< by code
    Store,          ///< appends of callers' records, by outcome
    Placement,      ///< by queue
    StartRefusal,   ///< by outcome
    Stop,           ///< by reason
    RunEnd,         ///< by how the minion lists it
    RunLost,        ///< ends that no minion listed, by reason
    LeadershipLoss, ///< by reason
    Claim,          ///< by outcome
    Count,
};

/** From a job's submission to... */
enum class JobStage {
    Stored,
    Started, ///< its first task runs; known to the planner only
    Shown,   ///< this node shows it as ended
    Count,
};

/** All metrics of one node. */
class StepMetrics
{
public:
    void count(StepEvent event, std::string_view reason);
    void record(JobStage stage, std::int64_t milliseconds);
    [[nodiscard]] std::uint64_t value(StepEvent event, std::string_view reason) const;

    /** @return everything in the Prometheus text format, and @p gauges by name. */
    [[nodiscard]] std::string toPrometheus(const std::map<std::string, double> &gauges) const;

private:
    std::array<std::map<std::string, std::uint64_t, std::less<>>, static_cast<std::size_t>(StepEvent::Count)> m_counts;
    std::array<LatencyHistogram, static_cast<std::size_t>(JobStage::Count)> m_stages;
};

} // namespace Papaya
