#include "dispatch/stepmetrics.h"

#include <sstream>
#include <utility>

namespace Papaya
{

namespace
{

/** Names of a counter and of its label. */
struct CounterName {
    const char *counter;
    const char *label;
};

constexpr std::array<CounterName, static_cast<std::size_t>(StepEvent::Count)> COUNTERS {{
    {"answers_total", "status"},
    {"refusals_total", "reason"},
    {"records_total", "outcome"},
    {"relayed_total", "outcome"},
    {"placements_total", "queue"},
    {"start_refusals_total", "outcome"},
    {"stops_total", "reason"},
    {"run_ends_total", "how"},
    {"runs_lost_total", "reason"},
    {"leadership_losses_total", "reason"},
    {"planner_claims_total", "outcome"},
}};

constexpr std::array<const char *, static_cast<std::size_t>(JobStage::Count)> STAGES {"stored", "started", "shown"};
constexpr std::string_view PREFIX = "papayahall_";
constexpr const char *WAITING = "papayahall_jobs_waiting";
constexpr const char *START_AGE = "papayahall_start_view_age_seconds";

} // namespace

void StepMetrics::count(StepEvent event, std::string_view reason)
{
    auto &counts = m_counts[static_cast<std::size_t>(event)];
    const auto found = counts.find(reason);
    if (found == counts.end()) {
        counts.emplace(reason, 1);
    } else {
        ++found->second;
    }
}

void StepMetrics::record(JobStage stage, std::int64_t milliseconds)
{
    m_stages[static_cast<std::size_t>(stage)].record(double(milliseconds) / 1000);
}

void StepMetrics::recordStartAge(std::int64_t milliseconds)
{
    m_startAge.record(double(milliseconds) / 1000);
}

void StepMetrics::setWaiting(std::map<std::string_view, std::size_t> byReason)
{
    m_waiting = std::move(byReason);
}

std::uint64_t StepMetrics::value(StepEvent event, std::string_view reason) const
{
    const auto &counts = m_counts[static_cast<std::size_t>(event)];
    const auto found = counts.find(reason);
    return found == counts.end() ? 0 : found->second;
}

std::string StepMetrics::toPrometheus(const std::map<std::string, double> &gauges) const
{
    std::ostringstream out;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        out << "# TYPE " << PREFIX << COUNTERS[i].counter << " counter\n";
        for (const auto &[reason, count] : m_counts[i]) {
            out << PREFIX << COUNTERS[i].counter << "{" << COUNTERS[i].label << "=\"" << reason << "\"} " << count
                << "\n";
        }
    }
    for (const auto &[name, value] : gauges) {
        out << PREFIX << name << " " << value << "\n";
    }
    out << "# TYPE " << WAITING << " gauge\n";
    for (const auto &[reason, count] : m_waiting) {
        out << WAITING << "{reason=\"" << reason << "\"} " << count << "\n";
    }
    out << "# TYPE " << PREFIX << "job_seconds histogram\n";
    std::string name(PREFIX);
    name += "job_seconds";
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        m_stages[i].write(out, name, "stage=\"" + std::string(STAGES[i]) + "\"");
    }
    out << "# TYPE " << START_AGE << " histogram\n";
    m_startAge.write(out, START_AGE, "topic=\"all\"");
    return out.str();
}

} // namespace Papaya
