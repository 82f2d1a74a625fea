/// \file
/// What a process has used so far.
#ifndef TANAGERLANDING_TESTS_PROCESSUSAGE_H
#define TANAGERLANDING_TESTS_PROCESSUSAGE_H

#include <sys/types.h>

namespace tanagerlanding::test {

/// A process's processor time and memory.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMegabytes = 0;
};

/// Reads a running process's usage.
ProcessUsage usageOf(pid_t Process);

} // namespace tanagerlanding::test

#endif
