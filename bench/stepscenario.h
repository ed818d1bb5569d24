#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Papaya::Bench
{

/**
 * Plays a minute of jobs of steps through the scheduler alone, on a fleet that is asked for more than it has and whose
 * minions come and go.
 * @return every decision in order, as text
 */
std::vector<std::string> stepDecisions(std::uint64_t seed);

} // namespace Papaya::Bench
