#pragma once

#include <cstdint>

namespace Papaya::Bench
{

/** @return a digest of the choices that the decision code makes in fixed scenarios of both paths. */
std::uint64_t decisionSignature();

} // namespace Papaya::Bench
