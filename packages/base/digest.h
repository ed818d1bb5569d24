#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// Digests of tokens and states, and the stable hash behind rendezvous hashing.

namespace Papaya
{

/** @return the SHA-256 of @p text in lower-case hex. */
std::string sha256Hex(std::string_view text);

/** @return true if both texts are equal; takes the same time wherever they differ. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** @return a 64-bit hash of @p text, continued from @p seed, alike on every machine. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL);

/** @return @p count random bytes of the operating system, in lower-case hex. */
std::string randomHex(std::size_t count);

} // namespace Papaya
