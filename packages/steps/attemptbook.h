#pragma once

#include "base/units.h"
#include "steps/stepjob.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>

// Tells first attempts of callers from repetitions. A caller may repeat a submission at any node, and an earlier
// attempt that was not answered may still be stored. Only the refusal of a first attempt can promise that the job never
// runs. A caller announces how long it will wait for an answer, and a repetition has less time left than its first
// attempt.

namespace Papaya
{

/** The attempts that one node has seen. */
class AttemptBook
{
public:
    /**
     * Notes an attempt that has arrived.
     * @param timeLeft how long the caller will wait, as it says itself; 0 if it does not say
     * @param whole how long callers of the queue wait in all, by the configuration; 0 if it does not say
     * @return true if it is the caller's first attempt to submit @p job; false if that is not certain
     */
    bool isFirst(const QueueName &queue, const JobId &job, Millis timeLeft, Millis whole);
    /** Notes that an attempt to submit @p job may have been stored, although it was not answered so. */
    void inDoubt(const JobId &job);

private:
    struct Whole {
        Millis longest {0}; ///< time that a caller had left, or had in all by any configuration
        std::size_t samples = 0;
        bool configured = false;
    };
    std::map<QueueName, Whole> m_wholes;
    std::set<JobId> m_doubtful;
    std::deque<JobId> m_doubtOrder; ///< m_doubtful, oldest first
};

} // namespace Papaya
