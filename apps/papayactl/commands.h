#pragma once

#include "httpcaller.h"

#include <string>
#include <vector>

// The commands of papayactl. Each takes the arguments that follow the command's name.

namespace Papaya::Ctl
{

using Arguments = std::vector<std::string>;

ExitCode configCommand(const Options &options, const Arguments &arguments);
ExitCode jobCommand(const Options &options, const Arguments &arguments);
ExitCode requestCommand(const Options &options, const Arguments &arguments);
ExitCode teamCommand(const Options &options, const Arguments &arguments);
ExitCode workerCommand(const Options &options, const Arguments &arguments);
ExitCode statusCommand(const Options &options, const Arguments &arguments);
ExitCode explainCommand(const Options &options, const Arguments &arguments);
ExitCode benchCommand(const Options &options, const Arguments &arguments);
ExitCode completionCommand(const Options &options, const Arguments &arguments);

/** Prints a usage error. @return ExitCode::Usage */
ExitCode usageError(const std::string &message);

/** Prints rows in aligned columns. The first row is the heading. */
void printTable(const std::vector<std::vector<std::string>> &rows);

/** @return a JSON value as text; a string without its quotes. */
std::string plainText(const nlohmann::json &value);

} // namespace Papaya::Ctl
