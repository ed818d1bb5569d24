#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Papaya::Bench
{

/**
 * Runs the step scheduler for a simulated minute of random jobs, on an overloaded fleet whose minions become unusable
 * at random.
 * @return all decisions in order, as text
 */
std::vector<std::string> stepDecisions(std::uint64_t seed);

} // namespace Papaya::Bench
