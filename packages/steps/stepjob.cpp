#include "steps/stepjob.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Papaya
{

namespace
{

constexpr std::size_t MAX_STEPS = 1'000;
constexpr std::uint32_t MAX_TASKS_OF_STEP = 10'000;
constexpr std::uint64_t MAX_TASKS_OF_JOB = 50'000;   // over all occurrences; each node keeps the state of each task
constexpr std::int64_t MAX_NEED = 1'000'000'000'000; // so that sums over a fleet do not overflow

bool isSound(const Resources &need)
{
    const auto within = [](std::int64_t value) { return value >= 0 && value <= MAX_NEED; };
    return within(need.cores) && within(need.memoryMb) && within(need.gpus);
}

} // namespace

const char *faultOf(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > MAX_STEPS) {
        return "job must have 1 to 1000 steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        const StepSpec &step = spec.steps[s];
        if (step.count < 1 || step.count > MAX_TASKS_OF_STEP) {
            return "step must have 1 to 10000 tasks";
        }
        if (!isSound(step.need)) {
            return "step must not request negative or immense resources";
        }
        if (std::any_of(step.dependencies.begin(), step.dependencies.end(),
                        [s](std::uint32_t earlier) { return earlier >= s; })) {
            return "step may depend only on earlier steps";
        }
        tasks += step.count;
    }
    return tasks * spec.occurrences() > MAX_TASKS_OF_JOB ? "job must have at most 50000 tasks over all its runs"
                                                         : nullptr;
}

std::string StepKey::toString() const
{
    return job.value() + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string UnitKey::toString() const
{
    return stepKey().toString() + "." + (index == GANG ? std::string("g") : std::to_string(index));
}

std::string UnitKey::taskName(std::uint32_t member) const
{
    return stepKey().toString() + "." + std::to_string(index == GANG ? static_cast<std::int32_t>(member) : index);
}

bool UnitKey::parse(std::string_view text, UnitKey &key)
{
    const std::size_t end = text.find('.');
    if (end == std::string_view::npos) {
        return false;
    }
    key.job = JobId(std::string(text.substr(0, end)));
    std::array<std::int32_t, 3> numbers {};
    std::string_view rest = text.substr(end + 1);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const std::string_view part = rest.substr(0, rest.find('.'));
        rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : std::string_view();
        if (i == 2 && part == "g") {
            numbers[i] = GANG;
            continue;
        }
        const auto [stop, error] = std::from_chars(part.data(), part.data() + part.size(), numbers[i]);
        if (error != std::errc() || stop != part.data() + part.size() || numbers[i] < 0) {
            return false;
        }
    }
    key.occurrence = static_cast<std::uint32_t>(numbers[0]);
    key.step = static_cast<std::uint32_t>(numbers[1]);
    key.index = numbers[2];
    return rest.empty();
}

} // namespace Papaya
