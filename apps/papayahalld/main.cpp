#include "dispatch/stepnode.h"
#include "platformcodec.h"
#include "platformminions.h"
#include "platformservices.h"
#include "platformstore.h"
#include "process/instance.h"
#include "process/logging.h"

#include <tclap/CmdLine.h>

#include <iostream>

// The server. Every entry host runs one instance; all instances are equal.

namespace
{

constexpr const char *VERSION = "0.1.0";
constexpr int EXIT_DONE = 0;
constexpr int EXIT_FAILED = 1;
constexpr int EXIT_USAGE = 2;

int printSettingsErrors(const std::string &path, const Papaya::Errors &errors)
{
    for (const Papaya::Error &error : errors) {
        std::cerr << path << ": " << (error.path.empty() ? "settings" : error.path) << ": " << error.message << " ("
                  << error.code << ")\n";
    }
    return EXIT_FAILED;
}

/** Runs a node that schedules jobs of steps on the users' platform, or only checks its settings. */
int runOnPlatform(const std::string &path, bool checkOnly)
{
    const auto settings = Papaya::NodeSettings::fromFile(path);
    if (!settings) {
        return printSettingsErrors(path, settings.errors());
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return EXIT_DONE;
    }
    Papaya::startLogging(Papaya::LogLevel::Info, settings->node);
    try {
        boost::asio::io_context io(1); // the hosts have one core
        Papaya::HttpPool pool(io);
        Papaya::Platform platform {Papaya::makePlatformStore(pool, settings->store), Papaya::makePlatformMinions(pool),
                                   Papaya::makePlatformCodec(), nullptr, nullptr};
        if (settings->oracle) {
            platform.oracle = Papaya::makePlatformOracle(pool, *settings->oracle);
        }
        if (settings->machines) {
            platform.machines = Papaya::makePlatformMachines(pool, *settings->machines);
        }
        const auto node = Papaya::StepNode::start(io, *settings, path, std::move(platform));
        io.run();
    } catch (const std::exception &error) {
        Papaya::logEvent(Papaya::LogLevel::Error, "start-failed", {{"error", error.what()}});
        return EXIT_FAILED;
    }
    return EXIT_DONE;
}

/** Runs an instance, or only checks its settings. */
int run(const std::string &path, bool checkOnly)
{
    const auto settings = Papaya::Settings::fromFile(path);
    if (!settings) {
        return printSettingsErrors(path, settings.errors());
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return EXIT_DONE;
    }
    Papaya::startLogging(settings->logLevel, settings->instance);
    try {
        Papaya::Instance::start(*settings, path)->run();
    } catch (const std::exception &error) {
        Papaya::logEvent(Papaya::LogLevel::Error, "start-failed", {{"error", error.what()}});
        return EXIT_FAILED;
    }
    return EXIT_DONE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Scheduler for requests and multi-accelerator jobs under team guarantees.", ' ', VERSION);
        line.setExceptionHandling(false);
        const TCLAP::ValueArg<std::string> settings("s", "settings", "Settings of this process, JSON with comments",
                                                    true, "", "FILE", line);
        const TCLAP::SwitchArg check("c", "check", "Check the settings and exit", line);
        const TCLAP::SwitchArg platform("p", "platform", "Schedule jobs of steps on the users' platform", line);
        line.parse(argc, argv);
        return platform.getValue() ? runOnPlatform(settings.getValue(), check.getValue())
                                   : run(settings.getValue(), check.getValue());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? EXIT_DONE : EXIT_USAGE;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return EXIT_USAGE;
    }
}
