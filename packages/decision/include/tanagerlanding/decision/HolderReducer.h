/// \file
/// Reducer of a journal holder, which stores a replica of the journals of
/// shards for their owners.
#ifndef TANAGERLANDING_DECISION_HOLDERREDUCER_H
#define TANAGERLANDING_DECISION_HOLDERREDUCER_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A holder's state of one shard.
struct HeldShard {
  /// Records and seal requests of epochs below this one are rejected or
  /// ignored.
  Epoch Fence;
  /// The index expected of the next record, for each stored epoch.
  std::map<Epoch, std::uint64_t> NextIndex;
};

/// The state of a journal holder. The HeldShard values are rebuilt from the
/// data folder at startup.
struct HolderState {
  HolderId Self;
  std::map<ShardId, HeldShard> Shards;
  /// Set once a write to the data folder has failed; all further records are
  /// rejected.
  bool HasFailed = false;
};

/// A request to the holder from the entry on Peer.
struct HolderRequestReceived {
  HostId Peer;
  std::variant<AppendRecords, SealLog, ReleaseLog> Request;
};

/// A batch has been made durable.
struct BatchPersisted {
  HostId Peer;
  RecordsPersisted Notice;
};

/// A write to the data folder failed; batches in flight may be lost.
struct DataFolderFailed {};

using HolderEvent =
    std::variant<HolderRequestReceived, BatchPersisted, DataFolderFailed>;

/// Writes a batch and reports BatchPersisted with Notice once it is durable.
struct PersistBatch {
  HostId Peer;
  AppendRecords Batch;
  RecordsPersisted Notice;
};

/// Makes the fence durable, then reads the log and sends it to Peer.
struct PersistFenceAndSend {
  HostId Peer;
  SealLog RequestedSeal;
  LogSealed Head;
};

/// Deletes the stored records of epochs below the given one.
struct DropEpochs {
  ShardId Shard;
  Epoch Below;
};

/// Sends an answer to the entry on Peer.
struct SendFromHolder {
  HostId Peer;
  Message Body;
};

using HolderEffect =
    std::variant<PersistBatch, PersistFenceAndSend, DropEpochs, SendFromHolder>;

/// Applies one event to the holder's state and returns the resulting effects,
/// in the order in which they must be carried out.
std::vector<HolderEffect> reduce(HolderState &State, const HolderEvent &Event);

} // namespace tanagerlanding

#endif
