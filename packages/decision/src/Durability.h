/// \file
/// Appending records to a shard's holders, and acting once they are durable.
#ifndef TANAGERLANDING_DECISION_DURABILITY_H
#define TANAGERLANDING_DECISION_DURABILITY_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Applies a record to the shard's ledger and sends it to its holders. Action
/// is done once all of them have it.
void appendRecord(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                  Record Content, DurableAction Action);

/// Sends a new epoch's snapshot to its holders.
void sendSnapshot(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Sends again what a holder that has come back has not acknowledged.
void resendUnacknowledged(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                          const HolderRef &Holder);

/// Notes an acknowledgement; what became durable by it is acted upon.
void handlePersisted(EntryContext &Context, const RecordsPersisted &Notice);

/// Does the actions of the records that are durable, in order.
void runDurableActions(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Returns whether every holder has all records up to Index.
bool isDurable(const OwnedShard &Shard, std::uint64_t Index);

} // namespace tanagerlanding

#endif
