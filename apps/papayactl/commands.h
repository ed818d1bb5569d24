#pragma once

#include "httpcaller.h"

#include <string>
#include <vector>

// The commands. Each takes its words after the command's own name.

namespace Papaya::Ctl
{

using Words = std::vector<std::string>;

ExitCode configCommand(const Options &options, const Words &words);
ExitCode jobCommand(const Options &options, const Words &words);
ExitCode requestCommand(const Options &options, const Words &words);
ExitCode teamCommand(const Options &options, const Words &words);
ExitCode workerCommand(const Options &options, const Words &words);
ExitCode statusCommand(const Options &options, const Words &words);
ExitCode explainCommand(const Options &options, const Words &words);
ExitCode benchCommand(const Options &options, const Words &words);
ExitCode completionCommand(const Options &options, const Words &words);

/** Prints a usage error. @return ExitCode::Usage */
ExitCode usageError(const std::string &message);

/** Prints rows in aligned columns; the first row is the heading. */
void printTable(const std::vector<std::vector<std::string>> &rows);

/** @return a JSON value as plain text, without quotes. */
std::string plainText(const nlohmann::json &value);

} // namespace Papaya::Ctl
