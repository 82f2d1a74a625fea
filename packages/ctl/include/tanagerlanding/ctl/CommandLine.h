/// \file
/// The command-line tool for operators.
#ifndef TANAGERLANDING_CTL_COMMANDLINE_H
#define TANAGERLANDING_CTL_COMMANDLINE_H

#include "tanagerlanding/settings/ConfigurationReport.h"

namespace tanagerlanding {

/// Exit codes, as documented in docs/OPERATING.md.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  InvalidInput = 2,
  Conflict = 3,
  /// Whether a change took effect could not be determined.
  OutcomeUnknown = 4,
};

/// Parses the arguments and runs the command that they name. Returns its exit
/// code. Checker knows the format of the operators' configuration.
int runCommandLine(int Count, char **Arguments, ConfigurationChecker Checker);

} // namespace tanagerlanding

#endif
