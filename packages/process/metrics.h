#pragma once

#include "request/refusal.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/units.h"
#include "version/fleetconfig.h"

// Counters, gauges and latency histograms of one process, exported in the Prometheus text format.

namespace Papaya
{

/** Counters without a label. The order is that of their names in metrics.cpp. */
enum class Counter {
    RequestsAnswered,
    HedgesSent,
    HedgesWon,
    AnswersReplayed,
    ConfigAccepted,
    ConfigIgnored,
    JournalRecordsVoid,
    JournalRecordsMalformed,
    AppendsSent,
    AppendsFailed,
    AppendsUnknown,
    LogReadsFailed,
    HostListFailed,
    PlannerClaims,
    JobsPlaced,
    JobsStarted,
    JobsPreempted,
    JobsSucceeded,
    JobsFailed,
    JobsCancelled,
    GangStartsAborted,
    PartsLost,
    StrayTasksStopped,
    WorkersQuarantined,
    MinionsEjected,
    PeerSessionsOpened,
    PeerSessionsLost,
    PeerBytesSent,
    DrainCutRequests,
    TasksThrottled,
    GangsStoppedOverrunning,
    Count,
};

/** Reasons for retrying a request, or for not retrying it. The order is that of their labels in metrics.cpp. */
enum class RetryReason {
    Unreachable,
    Busy,
    Timeout,
    Closed,
    Malformed,
    CrossedAnswer,
    DeniedByBudget,
    DeniedByDeadline,
    DeniedNotIdempotent,
    Count,
};

/** A value that goes up and down, read when the metrics are exported. */
struct Gauge {
    std::string name;
    std::function<double()> read;
};

/** All metrics of one process. Thread-safe, except for addGauge(). */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(Counter counter, std::uint64_t amount = 1);
    void count(Refusal refusal);
    void count(RetryReason reason);

    [[nodiscard]] std::uint64_t value(Counter counter) const;
    [[nodiscard]] std::uint64_t value(Refusal refusal) const;
    [[nodiscard]] std::uint64_t value(RetryReason reason) const;

    /** Records the time from a request's arrival to its answer. */
    void recordLatency(Urgency urgency, Duration latency);

    /** Adds a gauge before metrics are exported; @p read is called by the thread that exports them. */
    void addGauge(std::string name, std::function<double()> read);

    /** @return all metrics in the Prometheus text format. */
    [[nodiscard]] std::string toPrometheus() const;

private:
    class Histograms;

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> m_counters {};
    std::array<std::atomic<std::uint64_t>, REFUSAL_COUNT> m_refusals {};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(RetryReason::Count)> m_retries {};
    std::unique_ptr<Histograms> m_histograms;
    std::vector<Gauge> m_gauges;
};

/** @return the value of the reason label for @p reason. */
const char *toString(RetryReason reason);

} // namespace Papaya
