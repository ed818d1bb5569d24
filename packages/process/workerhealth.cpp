#include "process/workerhealth.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr std::size_t FAILED_JOBS_LIMIT = 3; // distinct jobs that failed without a success between them
constexpr Millis FIRST_QUARANTINE {60'000};
constexpr std::uint32_t MAX_DOUBLINGS = 5;
constexpr std::size_t MAX_QUARANTINED_PERCENT = 20; // of the workers, but at least one worker
constexpr Millis CHANGE_RETRY_INTERVAL {5'000};     // for a change that is not in the ledger yet

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
    const auto isQuarantined = [](const auto &entry) { return entry.second == Standing::Quarantined; };
    auto quarantined = static_cast<std::size_t>(std::count_if(standings.begin(), standings.end(), isQuarantined));
    const std::size_t maxQuarantined = std::max<std::size_t>(1, workers * MAX_QUARANTINED_PERCENT / 100);
    for (const auto &[worker, standing] : standings) {
        Record &record = m_records[worker];
        // A new planner does not know when the quarantine began, so its duration starts anew.
        if (standing == Standing::Quarantined && record.quarantineEnd == TimePoint {}) {
            record.quarantineEnd = now + FIRST_QUARANTINE;
        }
        if (standing == Standing::Quarantined && now >= record.quarantineEnd
            && now - record.requestedAt >= CHANGE_RETRY_INTERVAL) {
            record.requestedAt = now;
            changes.push_back({worker, Standing::Good});
        }
    }
    for (auto &[worker, record] : m_records) {
        const bool inGoodStanding = !standings.contains(worker);
        if (!inGoodStanding || record.failedJobs.size() < FAILED_JOBS_LIMIT || quarantined >= maxQuarantined
            || now - record.requestedAt < CHANGE_RETRY_INTERVAL) {
            continue;
        }
        ++quarantined;
        record.requestedAt = now;
        record.quarantineEnd = now + FIRST_QUARANTINE * (1U << std::min(record.quarantines++, MAX_DOUBLINGS));
        // After the quarantine, one more failed job leads to the next quarantine.
        while (record.failedJobs.size() >= FAILED_JOBS_LIMIT) {
            record.failedJobs.erase(record.failedJobs.begin());
        }
        changes.push_back({worker, Standing::Quarantined});
    }
    return changes;
}

} // namespace Papaya
