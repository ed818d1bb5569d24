#pragma once

#include "process/latencyhistogram.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

// Counters by reason and latency histograms of a node that schedules step jobs. Not thread-safe: a node has one thread.

namespace Papaya
{

/** Counted events; each has counters by the given label. */
enum class StepEvent {
    Answer,         ///< answers to callers, by HTTP status
    Refusal,        ///< refused requests, by error code
    Store,          ///< appends of callers' records, by outcome
    Relay,          ///< callers' records passed to another node, by outcome
    Placement,      ///< placed units, by queue
    StartRefusal,   ///< refused starts, by outcome
    Stop,           ///< stopped units, by reason
    RunEnd,         ///< ends listed by minions, by kind
    RunLost,        ///< runs that ended without being listed, by reason
    LeadershipLoss, ///< losses of leadership, by reason
    Claim,          ///< claims of leadership, by outcome
    Count,
};

/** Stages of a job; each has a histogram of the time since submission, except Stored. */
enum class JobStage {
    Stored,  ///< a submission or cancellation is stored; its histogram has the duration of the append
    Started, ///< its first task runs; recorded by the planner only
    Shown,   ///< this node reports it as ended
    Count,
};

/** All metrics of one node. */
class StepMetrics
{
public:
    void count(StepEvent event, std::string_view reason);
    void record(JobStage stage, std::int64_t milliseconds);
    /** Records how old the planner's view was when a start was sent to a minion. */
    void recordStartAge(std::int64_t milliseconds);
    /** Sets how many jobs, and tasks of long-running steps, stand still at present, by the reason. */
    void setWaiting(std::map<std::string_view, std::size_t> byReason);
    [[nodiscard]] std::uint64_t value(StepEvent event, std::string_view reason) const;

    /** @return all metrics and the @p gauges, by name, in the Prometheus text format. */
    [[nodiscard]] std::string toPrometheus(const std::map<std::string, double> &gauges) const;

private:
    std::array<std::map<std::string, std::uint64_t, std::less<>>, static_cast<std::size_t>(StepEvent::Count)> m_counts;
    std::array<LatencyHistogram, static_cast<std::size_t>(JobStage::Count)> m_stages;
    LatencyHistogram m_startAge;
    std::map<std::string_view, std::size_t> m_waiting; ///< by reason, whose text is static
};

} // namespace Papaya
