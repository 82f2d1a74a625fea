/// \file
/// Appending records to a shard's holders, and running actions once they are
/// durable.
#ifndef TANAGERLANDING_DECISION_DURABILITY_H
#define TANAGERLANDING_DECISION_DURABILITY_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Applies a record to the shard's ledger and sends it to the holders. Action
/// is run once all of them have acknowledged it.
void appendRecord(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                  Record Content, DurableAction Action);

/// Sends the snapshot that starts a new epoch to its holders.
void sendSnapshot(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Resends the records that a reconnected holder has not acknowledged.
void resendUnacknowledged(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                          const HolderRef &Holder);

/// Handles an acknowledgement, and runs the actions of the records that have
/// become durable.
void handlePersisted(EntryContext &Context, const RecordsPersisted &Notice);

/// Runs the actions of the durable records, in order, while the shard is
/// serving.
void runDurableActions(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Returns whether every holder has acknowledged all records up to Index.
bool isDurable(const OwnedShard &Shard, std::uint64_t Index);

} // namespace tanagerlanding

#endif
