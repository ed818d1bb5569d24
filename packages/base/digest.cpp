#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace Papaya
{

namespace
{

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text += DIGITS[bytes[i] >> 4U];
        text += DIGITS[bytes[i] & 15U];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t FNV_PRIME = 0x100000001b3ULL;
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * FNV_PRIME;
    }
    // FNV alone gives similar texts similar high bits, which skews rendezvous hashing.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

std::string randomHex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1) {
        throw std::runtime_error("RAND_bytes of OpenSSL failed to generate random bytes");
    }
    return toHex(bytes.data(), bytes.size());
}

} // namespace Papaya
