#pragma once

#include "steps/stepjob.h"

#include <cstddef>
#include <map>

// Limits the starts that are under way: decided, but not yet confirmed by a minion. Minions that answer slowly thus
// slow the scheduler down, instead of being sent ever more orders that end in time-outs and are repeated. A part of the
// window is kept for steps without a start under way, so that a large job delays no small one.

namespace Papaya
{

/** The starts under way, by step. */
class StartWindow
{
public:
    /** Starts of one step. Usual steps have up to 230 units. */
    static constexpr std::size_t MAX_OF_STEP = 256;
    /** Starts of steps that have others under way; as many again are kept for steps that have none. */
    static constexpr std::size_t MAX_OF_BUSY_STEPS = 1'024;

    /** Counts the start of @p members tasks of @p step. */
    void add(const StepKey &step, std::size_t members)
    {
        m_ofStep[step] += members;
        m_total += members;
    }

    /** @return true if another unit of @p step may start. Its size does not matter, so that no wide gang is kept out.
     */
    [[nodiscard]] bool admits(const StepKey &step) const
    {
        const auto found = m_ofStep.find(step);
        if (found == m_ofStep.end() || found->second == 0) {
            return m_total < 2 * MAX_OF_BUSY_STEPS;
        }
        return found->second < MAX_OF_STEP && m_total < MAX_OF_BUSY_STEPS;
    }

private:
    std::map<StepKey, std::size_t> m_ofStep;
    std::size_t m_total = 0;
};

} // namespace Papaya
