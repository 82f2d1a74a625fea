/// \file
/// The operators' command line.
#ifndef TANAGERLANDING_CTL_COMMANDLINE_H
#define TANAGERLANDING_CTL_COMMANDLINE_H

namespace tanagerlanding {

/// Exit codes, as documented in docs/OPERATING.md.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  InvalidInput = 2,
  Conflict = 3,
  /// Whether a change took effect can't be told now.
  OutcomeUnknown = 4,
};

/// Runs the command that the arguments name; returns its exit code.
int runCommandLine(int Count, char **Arguments);

} // namespace tanagerlanding

#endif
