#pragma once

// The subcommands of the binary. Each takes its own arguments, the subcommand's name first, and
// returns the exit code.
//
// Example:
//   return runCommand(argc - 1, argv + 1);

#include <string_view>

namespace cornelpond {

/// The process's exit codes; docs/CODES.md lists them.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< The server refused, or the awaited task failed.
    BadInput = 2, ///< Arguments, settings or a document are at fault; nothing was changed.
    Unreachable = 3, ///< No answer. A change may or may not have been made; resend it.
    Internal = 4,
};

/// Runs the subcommand that argv[0] names.
int runCommand(int argc, char const* const* argv);

/// The help text that lists all subcommands.
std::string_view usageText();

} // namespace cornelpond
