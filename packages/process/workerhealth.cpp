#include "process/workerhealth.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t FAILED_JOBS = 3; // distinct jobs, none succeeding between
constexpr Millis FIRST_QUARANTINE {60'000};
constexpr std::uint32_t MAX_DOUBLINGS = 5;
constexpr std::size_t MAX_QUARANTINED_PERCENT = 20; // of the workers, but always one
constexpr Millis ASK_AGAIN {5'000}; // a change that has not shown up in the ledger by then is asked for again

} // namespace

void WorkerHealth::succeeded(const WorkerId &worker)
{
    m_records.erase(worker);
}

void WorkerHealth::failed(const WorkerId &worker, const JobId &job)
{
    m_records[worker].failedJobs.insert(job);
}

std::vector<HealthChange> WorkerHealth::changes(const std::map<WorkerId, Standing> &standings, std::size_t workers,
                                                TimePoint now)
{
    std::vector<HealthChange> changes;
    const auto isOut = [](const auto &entry) { return entry.second == Standing::Quarantined; };
    auto out = static_cast<std::size_t>(std::count_if(standings.begin(), standings.end(), isOut));
    const std::size_t allowed = std::max<std::size_t>(1, workers * MAX_QUARANTINED_PERCENT / 100);
    for (const auto &[worker, standing] : standings) {
        Record &record = m_records[worker];
        // A planner that has just taken over does not know since when, and starts the time anew.
        if (standing == Standing::Quarantined && record.until == TimePoint {}) {
            record.until = now + FIRST_QUARANTINE;
        }
        if (standing == Standing::Quarantined && now >= record.until && now - record.askedAt >= ASK_AGAIN) {
            record.askedAt = now;
            changes.push_back({worker, Standing::Good});
        }
    }
    for (auto &[worker, record] : m_records) {
        const bool good = !standings.contains(worker);
        if (!good || record.failedJobs.size() < FAILED_JOBS || out >= allowed || now - record.askedAt < ASK_AGAIN) {
            continue;
        }
        ++out;
        record.askedAt = now;
        record.until = now + FIRST_QUARANTINE * (1U << std::min(record.quarantines++, MAX_DOUBLINGS));
        // On probation one more failed job is enough.
        while (record.failedJobs.size() >= FAILED_JOBS) {
            record.failedJobs.erase(record.failedJobs.begin());
        }
        changes.push_back({worker, Standing::Quarantined});
    }
    return changes;
}

} // namespace Papaya
