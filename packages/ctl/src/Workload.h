/// \file
/// Definition of a load and generation of its programs.
#ifndef TANAGERLANDING_CTL_WORKLOAD_H
#define TANAGERLANDING_CTL_WORKLOAD_H

#include "tanagerlanding/basics.h"

#include <random>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The content of a workload file; see docs/OPERATING.md for its fields.
struct Workload {
  std::string Model;
  std::string Service;
  std::uint32_t Programs = 100;
  double ArrivalsPerSecond = 10;
  /// Shape of the Pareto distribution of turns: most programs are short, few
  /// are long.
  double TurnsShape = 1.3;
  std::uint32_t MaxTurns = 30;
  double MeanPauseMillis = 200;
  std::uint32_t MeanTokens = 16;
  std::uint32_t MaxTokens = 256;
  std::uint32_t MessageBytes = 400;
  double ServiceShare = 0.2;
  double NonIdempotentShare = 0.5;
  double SubAgentShare = 0.1;
  Milliseconds ProgramDeadline{20000};
  Milliseconds RunTimeout{60000};
};

/// Reads and validates a workload file.
Result<Workload, std::vector<SettingsFault>>
readWorkload(const std::string &Path);

/// One call that a program will make.
struct PlannedCall {
  bool IsService = false;
  bool IsIdempotent = true;
  bool IsSubAgent = false;
  std::uint32_t Tokens = 0;
  Milliseconds PauseBefore{0};
};

/// A program's arrival time and calls. The scheduler does not know its length.
struct PlannedProgram {
  Milliseconds ArrivesAt{0};
  std::vector<PlannedCall> Calls;
};

/// Returns randomly generated programs of a workload; deterministic for a
/// given seed.
std::vector<PlannedProgram> planPrograms(const Workload &Load,
                                         std::uint64_t Seed);

} // namespace tanagerlanding

#endif
