#pragma once

#include <cstdint>
#include <vector>

// How much of their share tasks that fill may use beside tasks that serve. Answers the pattern of best-effort work that
// raises the response times of the services on its minion, by amounts that change within seconds: the share is cut in
// halves while a tail is above its target, and is raised in small steps once all tails are well below. Pure.

namespace Papaya
{

/** The tail of a serving task's response times, as last reported. */
struct TailLatency {
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
};

/** The share that the filling tasks of one minion may use. */
class FillPace
{
public:
    static constexpr int FULL = 100; // percent; a task starts with it

    /**
     * Takes tails that were reported together.
     * @param nowMs of a steady clock
     */
    void observe(const std::vector<TailLatency> &tails, std::int64_t nowMs);

    /** @return the share in percent. */
    [[nodiscard]] int percent() const
    {
        return m_percent;
    }

private:
    int m_percent = FULL;
    std::int64_t m_changedMs = 0;
};

} // namespace Papaya
