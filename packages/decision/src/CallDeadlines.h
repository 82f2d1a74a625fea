/// \file
/// Timers: retries, deadlines, idle prefixes and idle programs.
#ifndef TANAGERLANDING_DECISION_CALLDEADLINES_H
#define TANAGERLANDING_DECISION_CALLDEADLINES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Handles all timers that are due.
void handleDueQueues(EntryContext &Context);

/// Schedules the next check whether the program is idle or its answers can be
/// dropped.
void scheduleProgramCheck(EntryContext &Context, ShardId Id,
                          const ProgramId &Program);

/// Creates the runtime state of the programs that a previous owner served.
void adoptPrograms(EntryContext &Context, OwnedShard &Shard, ShardId Id);

} // namespace tanagerlanding

#endif
