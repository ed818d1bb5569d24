#include "commands.h"

#include "base/codec.h"
#include "version/fleetconfig.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace Papaya::Ctl
{

namespace
{

using Json = nlohmann::json;

constexpr Millis POLL_INTERVAL {200};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/**
 * Finds the line of the last key of @p path by searching for each key after the previous one.
 * @return the line, counted from 1; that of the last key found if a key is missing; 0 if @p path is empty
 */
std::size_t lineOf(const std::string &text, const std::string &path)
{
    std::size_t position = 0;
    std::size_t found = 0;
    std::stringstream keys(path);
    std::string key;
    while (std::getline(keys, key, '.')) {
        const std::string quoted = "\"" + key.substr(0, key.find('[')) + "\"";
        const std::size_t next = text.find(quoted, position);
        if (next == std::string::npos) {
            break;
        }
        found = next;
        position = next + quoted.size();
    }
    return path.empty() ? 0
                        : 1
                              + static_cast<std::size_t>(
                                  std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(found), '\n'));
}

void printErrors(const std::string &file, const std::string &text, const Errors &errors)
{
    for (const Error &error : errors) {
        const std::size_t line = lineOf(text, error.path);
        std::cerr << file << (line > 0 ? ":" + std::to_string(line) : "") << ": "
                  << (error.path.empty() ? "" : error.path + ": ") << error.message << " (" << error.code << ")\n";
    }
}

/** Reads and validates a configuration file. @return nothing if an error was printed */
std::optional<Json> loadConfig(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << "cannot read configuration file " << path << "\n";
        return std::nullopt;
    }
    const auto document = parseJson(*text, Comments::Allowed);
    if (!document) {
        printErrors(path, *text, document.errors());
        return std::nullopt;
    }
    const auto config = FleetConfig::fromJson(*document);
    if (!config) {
        printErrors(path, *text, config.errors());
        return std::nullopt;
    }
    return *document;
}

ExitCode check(const std::string &path)
{
    const auto config = loadConfig(path);
    if (!config) {
        return ExitCode::Refused;
    }
    std::cout << path << ": ok, " << (*config)["teams"].size() << " teams, " << (*config)["templates"].size()
              << " templates\n";
    return ExitCode::Done;
}

ExitCode show(const Options &options)
{
    const CallResult result = callAdmin(options, {"GET", "/admin/config", {}, ""});
    if (!result.succeeded()) {
        return reportFailure(options, result, options.admin);
    }
    std::cout << (options.json ? result.body : result.json().dump(2)) << "\n";
    return ExitCode::Done;
}

ExitCode diff(const Options &options, const std::string &path)
{
    const auto config = loadConfig(path);
    if (!config) {
        return ExitCode::Refused;
    }
    const CallResult result = callAdmin(options, {"GET", "/admin/config", {}, ""});
    if (!result.succeeded()) {
        return reportFailure(options, result, options.admin);
    }
    const Json patch = Json::diff(result.json()["config"], *config);
    if (options.json) {
        std::cout << patch.dump() << "\n";
        return ExitCode::Done;
    }
    for (const Json &change : patch) {
        std::cout << change.value("op", "") << " " << change.value("path", "");
        std::cout << (change.contains("value") ? " " + change["value"].dump() : "") << "\n";
    }
    std::cout << patch.size() << " changes to version " << result.json()["version"] << "\n";
    return ExitCode::Done;
}

/** Waits until every known instance uses @p version or a later one. Prints those that do not use it yet. */
ExitCode waitUntilInForce(const Options &options, std::uint64_t version)
{
    const TimePoint deadline = Clock::now() + options.timeout;
    std::string lagging;
    std::string lastPrinted;
    while (Clock::now() < deadline) {
        const CallResult result = callAdmin(options, {"GET", "/admin/config", {}, ""});
        lagging = result.succeeded() ? "" : options.admin.toString() + ", which does not return its configuration";
        if (result.succeeded()) {
            for (const auto &[instance, inForce] : result.json()["instances"].items()) {
                const bool reported = inForce.is_number_unsigned();
                if (!reported || inForce.get<std::uint64_t>() < version) {
                    lagging += (lagging.empty() ? "" : ", ") + instance;
                    lagging += reported ? " at version " + inForce.dump() : ", which has not reported its version";
                }
            }
            if (lagging.empty()) {
                std::cerr << "in force on " << result.json()["instances"].size() << " instances\n";
                return ExitCode::Done;
            }
        }
        if (!lagging.empty() && lagging != lastPrinted) {
            std::cerr << "waiting for " << lagging << "\n";
            lastPrinted = lagging;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    std::cerr << "not in force on all instances within --timeout-ms; still waiting for " << lagging << "\n";
    return ExitCode::Refused;
}

ExitCode apply(const Options &options, const std::string &path)
{
    const auto config = loadConfig(path);
    if (!config) {
        return ExitCode::Refused;
    }
    const CallResult current = callAdmin(options, {"GET", "/admin/config", {}, ""});
    if (!current.succeeded()) {
        return reportFailure(options, current, options.admin);
    }
    HttpRequest request {"PUT", "/admin/config", {}, config->dump()};
    request.fields.set(Field::IF_MATCH, current.json()["version"].dump());
    const CallResult result = callAdmin(options, request);
    if (result.status == 409) {
        std::cerr << "version " << plainText(result.json()["version"])
                  << " was applied in the meantime; compare with 'papayactl config diff " << path
                  << "' and apply again\n";
        return ExitCode::Refused;
    }
    if (!result.succeeded()) {
        return reportFailure(options, result, options.admin);
    }
    const auto version = result.json()["version"].get<std::uint64_t>();
    std::cout << (options.json ? result.body : "version " + std::to_string(version) + " is in force") << "\n";
    return options.wait ? waitUntilInForce(options, version) : ExitCode::Done;
}

} // namespace

ExitCode configCommand(const Options &options, const Arguments &arguments)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if (verb == "show" && arguments.size() == 1) {
        return show(options);
    }
    if (arguments.size() != 2) {
        return usageError("config check FILE | apply FILE | diff FILE | show");
    }
    if (verb == "check") {
        return check(arguments[1]);
    }
    if (verb == "apply") {
        return apply(options, arguments[1]);
    }
    if (verb == "diff") {
        return diff(options, arguments[1]);
    }
    return usageError("unknown command: config " + verb);
}

} // namespace Papaya::Ctl
