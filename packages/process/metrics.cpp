#include "process/metrics.h"

#include "process/latencyhistogram.h"

#include <sstream>

namespace Papaya
{

namespace
{

constexpr std::array<const char *, static_cast<std::size_t>(Counter::Count)> COUNTER_NAMES {
    "requests_answered_total",
    "hedges_sent_total",
    "hedges_won_total",
    "answers_replayed_total",
    "config_accepted_total",
    "config_ignored_total",
    "journal_records_void_total",
    "journal_records_malformed_total",
    "appends_sent_total",
    "appends_failed_total",
    "appends_unknown_total",
    "log_reads_failed_total",
    "host_list_failed_total",
    "planner_claims_total",
    "jobs_placed_total",
    "jobs_started_total",
    "jobs_preempted_total",
    "jobs_succeeded_total",
    "jobs_failed_total",
    "jobs_cancelled_total",
    "gang_starts_aborted_total",
    "parts_lost_total",
    "stray_tasks_stopped_total",
    "workers_quarantined_total",
    "minions_ejected_total",
    "peer_sessions_opened_total",
    "peer_sessions_lost_total",
    "peer_bytes_sent_total",
    "drain_cut_requests_total",
    "tasks_throttled_total",
    "gangs_stopped_overrunning_total",
};

constexpr std::array<const char *, static_cast<std::size_t>(RetryReason::Count)> RETRY_NAMES {
    "unreachable",
    "busy",
    "timeout",
    "closed",
    "malformed",
    "crossed-answer",
    "denied-by-budget",
    "denied-by-deadline",
    "denied-not-idempotent",
};

} // namespace

/** One latency histogram for each urgency. */
class Metrics::Histograms
{
public:
    void record(Urgency urgency, double seconds)
    {
        m_histograms[static_cast<std::size_t>(urgency)].record(seconds);
    }

    void write(std::ostream &out) const
    {
        out << "# TYPE papayahall_request_seconds histogram\n";
        for (std::size_t i = 0; i < URGENCY_COUNT; ++i) {
            const std::string label = std::string("urgency=\"") + toString(static_cast<Urgency>(i)) + "\"";
            m_histograms[i].write(out, "papayahall_request_seconds", label);
        }
    }

private:
    std::array<LatencyHistogram, URGENCY_COUNT> m_histograms;
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::count(Refusal refusal)
{
    m_refusals[static_cast<std::size_t>(refusal)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::count(RetryReason reason)
{
    m_retries[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)];
}

std::uint64_t Metrics::value(Refusal refusal) const
{
    return m_refusals[static_cast<std::size_t>(refusal)];
}

std::uint64_t Metrics::value(RetryReason reason) const
{
    return m_retries[static_cast<std::size_t>(reason)];
}

void Metrics::recordLatency(Urgency urgency, Duration latency)
{
    m_histograms->record(urgency, std::chrono::duration<double>(latency).count());
}

void Metrics::addGauge(std::string name, std::function<double()> read)
{
    m_gauges.push_back({std::move(name), std::move(read)});
}

std::string Metrics::toPrometheus() const
{
    std::ostringstream out;
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        out << "papayahall_" << COUNTER_NAMES[i] << " " << m_counters[i] << "\n";
    }
    for (std::size_t i = 0; i < m_refusals.size(); ++i) {
        const char *code = refusalInfo(static_cast<Refusal>(i)).code;
        out << "papayahall_refusals_total{reason=\"" << code << "\"} " << m_refusals[i] << "\n";
    }
    for (std::size_t i = 0; i < m_retries.size(); ++i) {
        out << "papayahall_retries_total{reason=\"" << RETRY_NAMES[i] << "\"} " << m_retries[i] << "\n";
    }
    for (const Gauge &gauge : m_gauges) {
        out << "papayahall_" << gauge.name << " " << gauge.read() << "\n";
    }
    m_histograms->write(out);
    return out.str();
}

const char *toString(RetryReason reason)
{
    return RETRY_NAMES[static_cast<std::size_t>(reason)];
}

} // namespace Papaya
