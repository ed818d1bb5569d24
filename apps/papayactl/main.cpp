#include "commands.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <map>

// The command-line client for operators and callers.

using namespace Papaya;
using namespace Papaya::Ctl;

namespace
{

constexpr const char *VERSION = "0.1.0";

constexpr const char *DESCRIPTION =
    "Operates papayahall and submits work to it.\n\n"
    "Commands:\n"
    "  config check FILE        validate a fleet configuration, without a server\n"
    "  config apply FILE        apply a configuration (--wait: until every instance uses it)\n"
    "  config show | diff FILE  show the current configuration, or what FILE would change\n"
    "  job submit TEMPLATE      submit a job (--param name=value, --key, --wait)\n"
    "  job submit QUEUE --steps FILE  submit the job of steps in FILE\n"
    "  job status|cancel JOB    show or cancel a job\n"
    "  job list                 jobs of the team\n"
    "  request TEMPLATE         send one request (--body, --key)\n"
    "  team show [TEAM]         teams, guarantees and templates\n"
    "  worker list              workers, their state and GPU use\n"
    "  worker drain|undrain W   stop or resume placing new work on a worker\n"
    "  status                   status of the instance\n"
    "  explain JOB              why a job is waiting\n"
    "  bench                    signature of the scheduling decisions\n"
    "  completion bash          completion script for the shell\n\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable";

using Command = ExitCode (*)(const Options &, const Arguments &);

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> ALL {
        {"config", configCommand},   {"job", jobCommand},       {"request", requestCommand},
        {"team", teamCommand},       {"worker", workerCommand}, {"status", statusCommand},
        {"explain", explainCommand}, {"bench", benchCommand},   {"completion", completionCommand},
    };
    return ALL;
}

ExitCode dispatch(const Options &options, Arguments arguments)
{
    const auto command = commands().find(arguments.front());
    if (command == commands().end()) {
        return usageError("unknown command: " + arguments.front());
    }
    arguments.erase(arguments.begin());
    return command->second(options, arguments);
}

ExitCode run(int argc, char **argv)
{
    TCLAP::CmdLine line(DESCRIPTION, ' ', VERSION);
    line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> callers("c", "callers", "Listener for callers", false, "127.0.0.1:8001",
                                               "IP:PORT", line);
    const TCLAP::ValueArg<std::string> admin("a", "admin", "Listener for operators", false, "127.0.0.1:9001", "IP:PORT",
                                             line);
    const TCLAP::ValueArg<std::string> team("t", "team", "Team to act for", false, "", "TEAM", line);
    const TCLAP::ValueArg<std::string> token("", "token", "Bearer token of the team", false, "", "TOKEN", line);
    const TCLAP::ValueArg<std::string> adminToken("", "admin-token", "Bearer token for the admin API", false, "",
                                                  "TOKEN", line);
    const TCLAP::ValueArg<std::string> key(
        "k", "key", "Idempotency key: repeated calls with the same key take effect once", false, "", "KEY", line);
    const TCLAP::ValueArg<std::string> body("b", "body", "Body of a request", false, "", "TEXT", line);
    const TCLAP::MultiArg<std::string> parameters("p", "param", "Parameter of a job", false, "NAME=VALUE", line);
    const TCLAP::ValueArg<std::string> steps("s", "steps", "JSON file with the steps of a job", false, "", "FILE",
                                             line);
    const TCLAP::SwitchArg json("j", "json", "Print JSON for scripts", line);
    const TCLAP::SwitchArg wait("w", "wait", "Wait until the job has ended, or every instance uses the configuration",
                                line);
    const TCLAP::ValueArg<std::int64_t> timeout("", "timeout-ms", "Time-out of calls and of --wait, in milliseconds",
                                                false, 30'000, "MS", line);
    const TCLAP::UnlabeledMultiArg<std::string> arguments("command", "Command and its arguments", true, "COMMAND",
                                                          line);
    line.parse(argc, argv);

    Options options;
    const auto callersAddress = Endpoint::parse(callers.getValue());
    const auto adminAddress = Endpoint::parse(admin.getValue());
    if (!callersAddress || !adminAddress) {
        return usageError("--callers and --admin must be of the form IP:PORT");
    }
    options.callers = *callersAddress;
    options.admin = *adminAddress;
    options.team = team.getValue();
    options.token = token.getValue();
    options.adminToken = adminToken.getValue();
    options.key = key.getValue();
    options.body = body.getValue();
    options.parameters = parameters.getValue();
    options.stepsFile = steps.getValue();
    options.json = json.getValue();
    options.wait = wait.getValue();
    options.timeout = Millis(timeout.getValue());
    return dispatch(options, arguments.getValue());
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(run(argc, argv));
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    } catch (const TCLAP::ArgException &error) {
        return static_cast<int>(usageError(error.error() + " " + error.argId()));
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::Refused);
    }
}
