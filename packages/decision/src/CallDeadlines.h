/// \file
/// What is due at set times: retries, deadlines, silent programs.
#ifndef TANAGERLANDING_DECISION_CALLDEADLINES_H
#define TANAGERLANDING_DECISION_CALLDEADLINES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Looks at the lines whose time has come.
void wakeDueLines(EntryContext &Context);

/// Has the program looked at once it may have been silent for too long.
void watchProgram(EntryContext &Context, ShardId Id, const ProgramId &Program);

/// Takes note of the programs that an earlier owner had.
void adoptPrograms(EntryContext &Context, OwnedShard &Shard, ShardId Id);

} // namespace tanagerlanding

#endif
