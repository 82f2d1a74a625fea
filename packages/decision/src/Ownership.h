/// \file
/// Which shards this entry owns: claims, takeovers, repair and stepping down.
#ifndef TANAGERLANDING_DECISION_OWNERSHIP_H
#define TANAGERLANDING_DECISION_OWNERSHIP_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Takes in rows of the shard table and moves claims on.
void handleTable(EntryContext &Context, const TableObserved &Event);

/// Claims shards without a live owner, and repeats steps that got no answer.
void superviseShards(EntryContext &Context);

/// Asks to mark the epoch as serving once all holders have its snapshot.
void confirmIfCopied(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Takes a source holder's sealed log.
void handleSealed(EntryContext &Context, const LogSealed &Answer);

/// Repairs the shard, or gives it up where another has taken over.
void handleRejected(EntryContext &Context, const AppendRejected &Answer);

/// Tells a holder that has come back what it missed.
void greetHolder(EntryContext &Context, const HostId &Host,
                 const HolderId &Holder);

/// Returns the shard if this entry owns it and knows its programs, else null.
/// Calls may wait in it; they start while it serves.
OwnedShard *findUsable(EntryState &State, ShardId Id);

} // namespace tanagerlanding

#endif
