/// \file
/// Decisions of a copy holder: which records it keeps and for whom.
#ifndef TANAGERLANDING_DECISION_HOLDERREDUCER_H
#define TANAGERLANDING_DECISION_HOLDERREDUCER_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// What a holder knows of one shard.
struct HeldShard {
  /// Nothing below this epoch is taken any more.
  Epoch Fence;
  /// For each epoch kept: the index that the next record must have.
  std::map<Epoch, std::uint64_t> NextIndex;
};

/// The state of a copy holder. HeldShard values are rebuilt from the data
/// folder at start.
struct HolderState {
  HolderId Self;
  std::map<ShardId, HeldShard> Shards;
  /// Set once the data folder has failed a write; nothing is taken any more.
  bool Failed = false;
};

/// A message for the holder from the entry on Peer.
struct HolderAsked {
  HostId Peer;
  std::variant<AppendRecords, SealLog, ReleaseLog> Asked;
};

/// A batch is durable.
struct BatchPersisted {
  HostId Peer;
  RecordsPersisted Notice;
};

/// The data folder failed; what was in flight may be lost.
struct DataFolderFailed {};

using HolderEvent = std::variant<HolderAsked, BatchPersisted, DataFolderFailed>;

/// Write a batch, and report BatchPersisted with Notice once it is durable.
struct PersistBatch {
  HostId Peer;
  AppendRecords Batch;
  RecordsPersisted Notice;
};

/// Make the fence durable, then read the log and send it to Peer.
struct PersistFenceAndSend {
  HostId Peer;
  SealLog Asked;
  LogSealed Head;
};

/// Drop what is stored of epochs below the given one.
struct DropEpochs {
  ShardId Shard;
  Epoch Below;
};

/// Send an answer to the entry on Peer.
struct SendFromHolder {
  HostId Peer;
  Message Body;
};

using HolderEffect =
    std::variant<PersistBatch, PersistFenceAndSend, DropEpochs, SendFromHolder>;

/// Applies one event to the holder's state and returns what is to be done.
std::vector<HolderEffect> reduce(HolderState &State, const HolderEvent &Event);

} // namespace tanagerlanding

#endif
