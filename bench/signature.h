#pragma once

#include <cstdint>

namespace Papaya::Bench
{

/** @return a digest of the decisions in fixed scenarios: admission, choice of minions, steps and gangs. */
std::uint64_t decisionSignature();

} // namespace Papaya::Bench
