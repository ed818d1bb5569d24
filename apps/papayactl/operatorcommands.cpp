#include "commands.h"

#include "signature.h"

#include <algorithm>
#include <iostream>

namespace Papaya::Ctl
{

namespace
{

using Json = nlohmann::json;

/**
 * Fetches @p target of the admin API.
 * @param code set to the exit code
 * @return the answer; nothing if the call failed, or if --json was given and the answer has been printed
 */
std::optional<Json> fetch(const Options &options, const std::string &target, ExitCode &code)
{
    const CallResult result = callAdmin(options, {"GET", target, {}, ""});
    if (!result.succeeded()) {
        code = reportFailure(options, result, options.admin);
        return std::nullopt;
    }
    code = ExitCode::Done;
    if (options.json) {
        std::cout << result.body << "\n";
        return std::nullopt;
    }
    return result.json();
}

/** @return the members of @p object as one line of names and values. */
std::string join(const Json &object)
{
    std::string text;
    for (const auto &[key, value] : object.items()) {
        text += (text.empty() ? "" : "  ") + key + " " + plainText(value);
    }
    return text;
}

} // namespace

ExitCode usageError(const std::string &message)
{
    std::cerr << message << "\n'papayactl --help' lists all commands and options\n";
    return ExitCode::Usage;
}

std::string plainText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size()) {
                line += std::string(widths[i] - row[i].size() + 2, ' ');
            }
        }
        std::cout << line << "\n";
    }
}

ExitCode teamCommand(const Options &options, const Arguments &arguments)
{
    if (arguments.empty() || arguments[0] != "show" || arguments.size() > 2) {
        return usageError("team show [TEAM]");
    }
    ExitCode code = ExitCode::Done;
    const auto answer = fetch(options, "/admin/config", code);
    if (!answer) {
        return code;
    }
    std::vector<std::vector<std::string>> rows {{"TEAM", "WEIGHT", "GUARANTEES", "TEMPLATES"}};
    for (const auto &[name, team] : (*answer)["config"]["teams"].items()) {
        if (arguments.size() == 2 && arguments[1] != name) {
            continue;
        }
        std::string templates;
        for (const auto &[templateName, value] : (*answer)["config"]["templates"].items()) {
            if (value.value("team", "") == name) {
                templates += (templates.empty() ? "" : ",") + templateName;
            }
        }
        rows.push_back(
            {name, std::to_string(team.value("weight", 1)), team.value("guarantees", Json::array()).dump(), templates});
    }
    printTable(rows);
    return ExitCode::Done;
}

ExitCode workerCommand(const Options &options, const Arguments &arguments)
{
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if ((verb == "drain" || verb == "undrain") && arguments.size() == 2) {
        const CallResult result = callAdmin(options, {"POST", "/admin/workers/" + arguments[1] + "/" + verb, {}, ""});
        if (!result.succeeded()) {
            return reportFailure(options, result, options.admin);
        }
        std::cout << (options.json ? result.body
                                   : arguments[1]
                                         + (verb == "drain" ? " is being drained and gets no new work"
                                                            : " is no longer drained and gets new work again"))
                  << "\n";
        return ExitCode::Done;
    }
    if (verb != "list" || arguments.size() != 1) {
        return usageError("worker list | drain WORKER | undrain WORKER");
    }
    ExitCode code = ExitCode::Done;
    const auto answer = fetch(options, "/admin/workers", code);
    if (!answer) {
        return code;
    }
    std::vector<std::vector<std::string>> rows {{"WORKER", "PLACE", "RACK", "STATE", "STANDING", "GPUS", "USED"}};
    for (const Json &worker : (*answer)["workers"]) {
        std::vector<std::string> row;
        for (const char *key : {"id", "place", "rack", "state", "standing", "gpus", "gpusUsed"}) {
            row.push_back(plainText(worker[key]));
        }
        rows.push_back(std::move(row));
    }
    printTable(rows);
    return ExitCode::Done;
}

ExitCode statusCommand(const Options &options, const Arguments &arguments)
{
    if (!arguments.empty()) {
        return usageError("status takes no arguments");
    }
    ExitCode code = ExitCode::Done;
    const auto answer = fetch(options, "/admin/status", code);
    if (!answer) {
        return code;
    }
    for (const auto &[key, value] : answer->items()) {
        if (key == "log") {
            for (const auto &[stream, tail] : value.items()) {
                std::cout << "log " << stream << ": " << join(tail) << "\n";
            }
        } else {
            std::cout << key << ": " << (value.is_object() ? join(value) : plainText(value)) << "\n";
        }
    }
    return ExitCode::Done;
}

ExitCode benchCommand(const Options &options, const Arguments &arguments)
{
    if (!arguments.empty()) {
        return usageError("bench takes no arguments");
    }
    const std::uint64_t signature = Bench::decisionSignature();
    std::cout << (options.json ? Json {{"bench", signature}}.dump() : "Bench: " + std::to_string(signature)) << "\n";
    return ExitCode::Done;
}

ExitCode completionCommand(const Options & /*options*/, const Arguments &arguments)
{
    if (arguments != Arguments {"bash"}) {
        return usageError("completion bash");
    }
    std::cout << R"(_papayactl() {
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}
    case $before in
        config) COMPREPLY=($(compgen -W "check apply show diff" -- "$word")) ;;
        job) COMPREPLY=($(compgen -W "submit status cancel list" -- "$word")) ;;
        team) COMPREPLY=($(compgen -W "show" -- "$word")) ;;
        worker) COMPREPLY=($(compgen -W "list drain undrain" -- "$word")) ;;
        check|apply|diff|--steps) COMPREPLY=($(compgen -f -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "config job request team worker status explain bench completion
            --callers --admin --team --token --admin-token --key --body --param --steps --json --wait --timeout-ms --help" -- "$word")) ;;
    esac
}
complete -F _papayactl papayactl
)";
    return ExitCode::Done;
}

ExitCode explainCommand(const Options &options, const Arguments &arguments)
{
    if (arguments.size() != 1) {
        return usageError("explain JOB");
    }
    ExitCode code = ExitCode::Done;
    const auto answer = fetch(options, "/admin/jobs/" + arguments[0] + "/explain", code);
    if (answer) {
        std::cout << answer->value("explanation", "") << "\n";
    }
    return code;
}

} // namespace Papaya::Ctl
