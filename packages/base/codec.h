#pragma once

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <limits>
#include <string>
#include <string_view>

// Reads and writes JSON, CBOR and base64. Nesting is limited, so that no input can exhaust the stack.

namespace Papaya
{

/** Deepest nesting of arrays and objects that is accepted; an error message in codec.cpp names it too. */
constexpr int MAX_NESTING = 32;

/** Whether a JSON text may contain comments. */
enum class Comments { Refused, Allowed };

/**
 * Parses a JSON text.
 * @param text the whole document
 * @param comments whether // and block comments are skipped
 * @return the value, or an error with code "malformed"
 */
Result<nlohmann::json> parseJson(std::string_view text, Comments comments = Comments::Refused);

/** Most values in a document from a client, each of which takes up to a hundred bytes when it is decoded. */
constexpr std::size_t MAX_CLIENT_VALUES = 100'000;

/**
 * Parses a CBOR document.
 * @param bytes the whole document
 * @param maxValues the largest number of values; CBOR may take one byte for each
 * @return the value, or an error with code "malformed"
 */
Result<nlohmann::json> parseCbor(std::string_view bytes,
                                 std::size_t maxValues = std::numeric_limits<std::size_t>::max());

/** @return @p value as CBOR bytes. */
std::string toCbor(const nlohmann::json &value);

/** @return @p value as compact JSON; invalid UTF-8 is replaced. */
std::string toJson(const nlohmann::json &value);

/** @return @p bytes in standard base64 with padding. */
std::string toBase64(std::string_view bytes);

/** @return the decoded bytes, or an error with code "malformed". */
Result<std::string> fromBase64(std::string_view text);

} // namespace Papaya
