#pragma once

#include "soakjobs.h"
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
    JobShape shape;
    bool accepted = false;         ///< an attempt to submit it was answered with 200
    std::int64_t acceptedMs = 0;   ///< when the first of these answers came
    bool refused = true;           ///< every attempt was answered with a refusal
    std::int64_t cancelSentMs = 0; ///< when its cancelling was first sent; 0 if it never was
    std::int64_t completedMs = 0;  ///< when it was first shown as completed; 0 if it never was
    bool ended = false;            ///< after the faults had ended, it was shown in a state in which it may end
    std::string lastState;         ///< the last state shown

    /** @return true if the job may end in @p state. */
    [[nodiscard]] bool mayEndAs(const std::string &state) const;
};

/** Collects what callers see. */
class CallersView
{
public:
    /** Records a job that is about to be submitted. */
    void add(const std::string &id, const JobShape &shape);
    /** Records the answer to an attempt to submit @p id. @param status HTTP status, or 0 without an answer */
    void submitted(const std::string &id, int status);
    /** Records that the cancelling of @p id is about to be sent. */
    void cancelling(const std::string &id);
    /** Records that a node showed @p state for @p id. @param settled the faults have ended */
    void shown(const std::string &id, const std::string &state, bool settled);
    [[nodiscard]] std::map<std::string, JobSeen> jobs() const;
    /** @return the shape of @p id, which must have been added. */
    [[nodiscard]] JobShape shape(const std::string &id) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, JobSeen> m_jobs;
};

/** @return a line for each broken promise. */
std::vector<std::string> brokenPromises(const std::vector<Standins::TaskRun> &runs,
                                        const std::map<std::string, JobSeen> &jobs);

} // namespace Papaya::Testing
