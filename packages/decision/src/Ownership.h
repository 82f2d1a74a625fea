/// \file
/// Ownership of shards: claims, takeovers, recovery from failed holders and
/// stepping down.
#ifndef TANAGERLANDING_DECISION_OWNERSHIP_H
#define TANAGERLANDING_DECISION_OWNERSHIP_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Applies observed rows of the shard table and advances claims.
void handleTable(EntryContext &Context, const TableObserved &Event);

/// Claims shards without a live owner, and repeats steps that have not been
/// answered.
void superviseShards(EntryContext &Context);

/// Writes the row that marks the epoch as serving once all holders have its
/// snapshot.
void confirmIfCopied(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Handles a part of a source holder's sealed log. The first complete log is
/// loaded.
void handleSealed(EntryContext &Context, const LogSealed &Answer);

/// Handles a rejected append: starts a new epoch, or steps down if another
/// entry has taken the shard over.
void handleRejected(EntryContext &Context, const AppendRejected &Answer);

/// Resends to a holder that has connected the messages that it may have missed:
/// unacknowledged records, released epochs and seal requests.
void handleHolderConnected(EntryContext &Context, const HostId &Host,
                           const HolderId &Holder);

/// Returns the shard if this entry owns it and has served it in some epoch,
/// else null. Calls may be queued in it; they start while it is serving.
OwnedShard *findUsable(EntryState &State, ShardId Id);

} // namespace tanagerlanding

#endif
