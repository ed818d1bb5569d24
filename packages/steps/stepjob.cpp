#include "steps/stepjob.h"

#include <array>
#include <charconv>

namespace Papaya
{

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
