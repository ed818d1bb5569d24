#include "standins/faultproxy.h"
#include "standins/hostsstandin.h"
#include "standins/logstandin.h"
#include "standins/minionstandin.h"
#include "standins/workerstandin.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

// Runs one stand-in as a process until SIGTERM or SIGINT, for the demo and for manual tests.

using namespace Papaya;

namespace
{

/** Command-line options. */
struct Options {
    std::string kind;
    Endpoint listen;
    Endpoint target;
    std::string id;
    std::uint32_t slots = 8;
    std::int64_t milliseconds = 5;
    Resources capacity {64, 128'000, 8};
};

std::unique_ptr<Standins::StandinServer> makeServer(const Options &options)
{
    if (options.kind == "log") {
        return std::make_unique<Standins::LogStandin>();
    }
    if (options.kind == "hosts") {
        return std::make_unique<Standins::HostsStandin>();
    }
    if (options.kind == "minion") {
        auto minion = std::make_unique<Standins::MinionStandin>(options.id, options.slots);
        Standins::MinionFaults faults;
        faults.delayMs = options.milliseconds;
        minion->setFaults(faults);
        return minion;
    }
    if (options.kind == "worker") {
        auto worker = std::make_unique<Standins::WorkerStandin>(options.id, options.capacity);
        Standins::WorkerFaults faults;
        faults.runMs = options.milliseconds;
        worker->setFaults(faults);
        return worker;
    }
    return nullptr;
}

int serve(const Options &options)
{
    Asio::io_context io;
    Asio::signal_set signals(io, SIGTERM, SIGINT);
    std::unique_ptr<Standins::FaultProxy> proxy;
    std::unique_ptr<Standins::StandinServer> server = makeServer(options);
    if (options.kind == "proxy") {
        proxy = Standins::FaultProxy::create(io, options.listen, options.target);
    } else if (server) {
        server->listen(io, options.listen);
    } else {
        std::cerr << "unknown kind of stand-in: " << options.kind
                  << " (expected log, hosts, minion, worker or proxy)\n";
        return 2;
    }
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Serves one stand-in for the platform's log, its host list, a minion or a worker, or a "
                            "fault-injecting proxy.");
        const TCLAP::UnlabeledValueArg<std::string> kind("kind", "log, hosts, minion, worker or proxy", true, "",
                                                         "KIND", line);
        const TCLAP::ValueArg<std::string> listen("l", "listen", "Address to serve", true, "", "IP:PORT", line);
        const TCLAP::ValueArg<std::string> target("t", "target", "Address to which a proxy relays", false,
                                                  "127.0.0.1:1", "IP:PORT", line);
        const TCLAP::ValueArg<std::string> id("i", "id", "Identifier of a minion or worker", false, "standin", "ID",
                                              line);
        const TCLAP::ValueArg<std::int64_t> time("m", "ms", "Duration of a run or task in milliseconds", false, 5, "MS",
                                                 line);
        line.parse(argc, argv);
        Options options;
        options.kind = kind.getValue();
        options.listen = Endpoint::parse(listen.getValue()).value();
        options.target = Endpoint::parse(target.getValue()).value();
        options.id = id.getValue();
        options.milliseconds = time.getValue();
        return serve(options);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
