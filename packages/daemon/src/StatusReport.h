/// \file
/// JSON reports of an entry's state for operators.
#ifndef TANAGERLANDING_DAEMON_STATUSREPORT_H
#define TANAGERLANDING_DAEMON_STATUSREPORT_H

#include "tanagerlanding/decision.h"

#include <string>

namespace tanagerlanding {

/// Counters that are kept outside the reducer's state.
struct ProcessCounts {
  std::uint64_t PlatformCalls = 0;
  std::uint64_t SentBytes = 0;
};

/// Returns the number of shards that no live owner serves.
std::size_t countUnservedShards(const EntryState &State);

/// Returns this entry's view of hosts and shards as a JSON object.
std::string describeStatus(const EntryState &State,
                           const ProcessCounts &Counts);

/// Returns the programs of this entry's shards as a JSON array.
std::string describePrograms(const EntryState &State);

} // namespace tanagerlanding

#endif
