// A path to a minion as a process of its own: relays connections. Where it is killed, connections to the minion end and
// new ones are refused.
//
// usage: relay LISTEN TARGET

#include "connection/waiter.h"
#include "standins/faultproxy.h"

#include <iostream>

using namespace Papaya;

int main(int argc, char **argv)
{
    try {
        if (argc != 3) {
            throw std::runtime_error("usage: relay LISTEN TARGET");
        }
        Asio::io_context io;
        const auto proxy =
            Standins::FaultProxy::create(io, Endpoint::parse(argv[1]).value(), Endpoint::parse(argv[2]).value());
        io.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
