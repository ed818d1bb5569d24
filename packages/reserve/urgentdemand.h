#pragma once

#include <cstdint>
#include <deque>

// Forecasts how many GPUs urgent jobs will ask for before less urgent work could make room for them. Load pattern: an
// overloaded fleet on which urgent gangs arrive in waves. Whatever starts on a free minion between two of them is
// preempted, loses its work, and holds the minion for as long as its stop takes. Less urgent work therefore leaves
// entirely free minions free, as far as urgent work is expected to need them by then.
//
// The forecast is that of a compound Poisson process: the mean demand in the lead time, and one standard deviation. The
// jobs of the last WINDOW_MS stand for the next ones, so that it follows a wave within seconds. All of it is derived
// from the job table; a successor fills it with the jobs that it finds there.

namespace Papaya
{

/** The demand of urgent jobs, by the last of them. */
class UrgentDemand
{
public:
    /** Time whose jobs the forecast rests on. */
    static constexpr std::int64_t WINDOW_MS = 4'000;

    /** Takes note of an urgent job whose first steps need @p gpus. Calls come in the order of time. */
    void submitted(std::int64_t gpus, std::int64_t nowMs);
    /** @return the GPUs that urgent jobs are expected to ask for from @p nowMs within @p leadMs. */
    [[nodiscard]] std::int64_t expectedGpus(std::int64_t leadMs, std::int64_t nowMs) const;

private:
    struct Arrival {
        std::int64_t atMs = 0;
        std::int64_t gpus = 0;
    };
    std::deque<Arrival> m_arrivals; ///< of the last WINDOW_MS before the newest one
};

} // namespace Papaya
