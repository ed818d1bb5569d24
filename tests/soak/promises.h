#pragma once

#include "standins/platformminionstandin.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

// The promises that a soak checks, from what callers and minions saw.

namespace Papaya::Testing
{

/** What callers saw of one job. Times are milliseconds since the Unix epoch. */
struct JobSeen {
    std::uint32_t tasks = 0;      ///< how many must end; one end stands for all members of a gang
    bool accepted = false;        ///< an attempt to submit it was answered with 200
    bool refused = true;          ///< every attempt was answered with a refusal
    std::int64_t completedMs = 0; ///< when it was first shown as completed; 0 if it never was
    bool completed = false;       ///< it was shown as completed after the faults had ended
    std::string lastState;        ///< the last state shown
};

/** Collects what callers see. */
class CallersView
{
public:
    /** Records a job that is about to be submitted. */
    void add(const std::string &id, std::uint32_t tasks);
    /** Records the answer to an attempt to submit @p id. @param status HTTP status, or 0 without an answer */
    void submitted(const std::string &id, int status);
    /** Records that a node showed @p state for @p id. @param settled the faults have ended */
    void shown(const std::string &id, const std::string &state, bool settled);
    [[nodiscard]] std::map<std::string, JobSeen> jobs() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, JobSeen> m_jobs;
};

/** @return a line for each broken promise. */
std::vector<std::string> brokenPromises(const std::vector<Standins::TaskRun> &runs,
                                        const std::map<std::string, JobSeen> &jobs);

} // namespace Papaya::Testing
