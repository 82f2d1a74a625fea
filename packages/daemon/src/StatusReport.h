/// \file
/// An entry's state as JSON for operators.
#ifndef TANAGERLANDING_DAEMON_STATUSREPORT_H
#define TANAGERLANDING_DAEMON_STATUSREPORT_H

#include "tanagerlanding/decision.h"

#include <string>

namespace tanagerlanding {

/// What a process counted outside its reducer.
struct ProcessCounts {
  std::uint64_t PlatformCalls = 0;
  std::uint64_t SentBytes = 0;
};

/// Returns how many shards have no owner that serves them.
std::size_t countUnserved(const EntryState &State);

/// Returns hosts and shards as this entry sees them.
std::string describeStatus(const EntryState &State,
                           const ProcessCounts &Counts);

/// Returns the programs of the shards that this entry owns.
std::string describePrograms(const EntryState &State);

} // namespace tanagerlanding

#endif
