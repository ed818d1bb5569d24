#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya
{

/** An IPv4 address and a port. */
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /**
     * Parses "ip:port" with a numeric IPv4 address; host names are rejected.
     * @return the endpoint, or an error with code "bad-address"
     */
    static Result<Endpoint> parse(std::string_view text);

    /** @return "ip:port". */
    [[nodiscard]] std::string toString() const;

    /** @return true for loopback addresses, which only this machine can reach. */
    [[nodiscard]] bool isLoopback() const;
};

} // namespace Papaya
