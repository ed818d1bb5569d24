#include "base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace Papaya
{

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const Error malformed {"bad-address", "must be ip:port with a numeric IPv4 address", ""};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed;
    }
    Endpoint endpoint;
    endpoint.ip = text.substr(0, colon);
    in_addr address {};
    if (inet_pton(AF_INET, endpoint.ip.c_str(), &address) != 1) {
        return malformed;
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (status != std::errc {} || end != port.data() + port.size()) {
        return malformed;
    }
    return endpoint;
}

std::string Endpoint::toString() const
{
    return ip + ":" + std::to_string(port);
}

bool Endpoint::isLoopback() const
{
    return ip.starts_with("127.");
}

} // namespace Papaya
