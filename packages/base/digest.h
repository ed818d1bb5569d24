#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// SHA-256 digests, the hash function for rendezvous hashing, and random identifiers.

namespace Papaya
{

/** @return the SHA-256 of @p text in lower-case hex. */
std::string sha256Hex(std::string_view text);

/** @return true if both texts are equal; for texts of equal length the time does not depend on where they differ. */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** @return a 64-bit hash of @p text, the same on every machine; pass an earlier hash as @p seed to continue it. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL);

/**
 * Generates cryptographically secure random bytes.
 * @return @p count bytes in lower-case hex
 * @throws std::runtime_error if the generator of OpenSSL fails
 */
std::string randomHex(std::size_t count);

} // namespace Papaya
