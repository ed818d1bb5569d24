#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Papaya
{

/** An IP number and a port. */
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /** Parses "ip:port" with an IPv4 number; names are refused. */
    static Result<Endpoint> parse(std::string_view text);

    /** @return "ip:port". */
    [[nodiscard]] std::string toString() const;

    /** @return true for addresses that only this machine can reach. */
    [[nodiscard]] bool isLoopback() const;
};

} // namespace Papaya
