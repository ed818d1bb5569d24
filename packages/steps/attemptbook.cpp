#include "steps/attemptbook.h"

#include <algorithm>

namespace Papaya
{

namespace
{

constexpr Millis TOLERANCE {20};                 // below the shortest pause between two attempts of a caller
constexpr std::size_t MAX_DOUBTFUL_JOBS = 4'096; // callers give up long before so many more have come
constexpr std::size_t MIN_SAMPLES = 16;          // attempts among which a first one is taken for granted

} // namespace

bool AttemptBook::isFirst(const QueueName &queue, const JobId &job, Millis timeLeft, Millis whole)
{
    Whole &known = m_wholes[queue];
    known.longest = std::max({known.longest, timeLeft, whole});
    known.configured = known.configured || whole.count() > 0;
    ++known.samples;
    const bool certain = known.configured || known.samples >= MIN_SAMPLES;
    return certain && timeLeft.count() > 0 && timeLeft + TOLERANCE >= known.longest && !m_doubtful.contains(job);
}

void AttemptBook::inDoubt(const JobId &job)
{
    if (!m_doubtful.insert(job).second) {
        return;
    }
    m_doubtOrder.push_back(job);
    if (m_doubtOrder.size() > MAX_DOUBTFUL_JOBS) {
        m_doubtful.erase(m_doubtOrder.front());
        m_doubtOrder.pop_front();
    }
}

} // namespace Papaya
