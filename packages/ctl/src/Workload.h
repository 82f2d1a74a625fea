/// \file
/// What a load is made of.
#ifndef TANAGERLANDING_CTL_WORKLOAD_H
#define TANAGERLANDING_CTL_WORKLOAD_H

#include "tanagerlanding/basics.h"

#include <random>
#include <string>
#include <vector>

namespace tanagerlanding {

/// A workload file's content; see docs/OPERATING.md for each field.
struct Workload {
  std::string Model;
  std::string Service;
  std::uint32_t Programs = 100;
  double ArrivalsPerSecond = 10;
  /// Turns follow a Pareto distribution: most programs are short, few long.
  double TurnsShape = 1.3;
  std::uint32_t MostTurns = 30;
  double PauseMeanMillis = 200;
  std::uint32_t TokensMean = 16;
  std::uint32_t MostTokens = 256;
  std::uint32_t MessageBytes = 400;
  double ServiceShare = 0.2;
  double NonIdempotentShare = 0.5;
  double SubAgentShare = 0.1;
  Milliseconds ProgramDeadline{20000};
  Milliseconds Limit{60000};
};

/// Reads and checks a workload file.
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

/// One program: when it comes, and its calls. Whoever schedules it does not
/// know its length.
struct PlannedProgram {
  Milliseconds ArrivesAt{0};
  std::vector<PlannedCall> Calls;
};

/// Returns the programs of a workload, the same for the same seed.
std::vector<PlannedProgram> planPrograms(const Workload &Load,
                                         std::uint64_t Seed);

} // namespace tanagerlanding

#endif
