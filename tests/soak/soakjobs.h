#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

// The jobs that callers submit in a soak: of every kind that a job can be, small enough that a calm fleet has room.

namespace Papaya::Testing
{

/** One step of a job, as far as its place in the fleet and in time depends on it. */
struct StepShape {
    std::uint32_t count = 1;
    Resources need; ///< of one task
    std::vector<std::uint32_t> dependsOn = {};
    std::uint32_t antiAffinity = 0; ///< most tasks of an occurrence on one minion; 0 is no limit
    std::string label = {};         ///< that its minions must have; empty for any
    bool gang = false;
    bool lasts = false; ///< runs until its job is cancelled

    /** @return how many units it has: one for a gang, otherwise one for each task. */
    [[nodiscard]] std::uint32_t units() const
    {
        return gang ? 1 : count;
    }
};

/** How a job ends unless it is cancelled. */
enum class JobFate { Completes, Fails };

/** A job, as far as the promises about it depend on it. */
struct JobShape {
    std::string kind; ///< for reports
    std::string queue;
    std::string tenant;
    std::vector<StepShape> steps;
    std::uint32_t occurrences = 1;
    std::int64_t firstRunMs = 0; ///< when occurrence 0 is due, in milliseconds since 1970; 0 for at once
    std::int64_t intervalMs = 0;
    std::uint32_t attempts = 2;
    JobFate fate = JobFate::Completes;

    /** @return how many units must end, over all occurrences. */
    [[nodiscard]] std::uint32_t units() const;
    [[nodiscard]] bool lasts() const;
};

/** A job to submit. */
struct SoakJob {
    JobShape shape;
    std::string body;                  ///< of the submission
    std::optional<Millis> cancelAfter; ///< when to cancel it after its submission
};

/** Makes jobs of all kinds; the seed decides which come. */
class JobMaker
{
public:
    /**
     * @param minions in the fleet
     * @param racks in the fleet, named r0, r1 and so on
     */
    JobMaker(std::uint32_t seed, std::uint32_t minions, std::uint32_t racks)
        : m_random(seed)
        , m_minions(minions)
        , m_racks(racks)
    {
    }

    /** @param nowMs milliseconds since 1970 */
    SoakJob next(std::int64_t nowMs);
    /** @return a job of many tasks that use next to nothing; some are cancelled after a while. */
    SoakJob nextLarge();

private:
    /** @return a number from @p low to @p high. */
    std::uint32_t number(std::uint32_t low, std::uint32_t high);
    bool oneIn(std::uint32_t count);
    std::string rack();

    std::mt19937 m_random;
    std::uint32_t m_minions;
    std::uint32_t m_racks;
};

} // namespace Papaya::Testing
