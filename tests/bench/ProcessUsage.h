/// \file
/// CPU time and memory of a process.
#ifndef TANAGERLANDING_TESTS_PROCESSUSAGE_H
#define TANAGERLANDING_TESTS_PROCESSUSAGE_H

#include <sys/types.h>

namespace tanagerlanding::test {

/// CPU time used so far and current resident memory.
struct ProcessUsage {
  double CpuSeconds = 0;
  double ResidentMegabytes = 0;
};

/// Reads a running process's usage from /proc.
ProcessUsage readUsage(pid_t Process);

} // namespace tanagerlanding::test

#endif
