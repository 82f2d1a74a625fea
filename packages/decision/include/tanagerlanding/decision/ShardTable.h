/// \file
/// The table of shard owners, stored in the platform's key-value service.
#ifndef TANAGERLANDING_DECISION_SHARDTABLE_H
#define TANAGERLANDING_DECISION_SHARDTABLE_H

#include "tanagerlanding/basics.h"

#include <vector>

namespace tanagerlanding {

/// A journal and the host that stores it.
struct HolderRef {
  HolderId Holder;
  HostId Host;

  bool operator==(const HolderRef &Other) const {
    return this->Holder == Other.Holder && this->Host == Other.Host;
  }
};

/// The row of one shard. It is modified by compare-and-swap only.
struct ShardEntry {
  Epoch OwnerEpoch;
  HostId Owner;
  InstanceId OwnerInstance;
  /// Whether the holders have the complete log of the epoch, including its
  /// initial snapshot.
  bool IsServing = false;
  std::vector<HolderRef> Holders;
  /// The holders of the last epoch that was serving; set only until the current
  /// epoch is serving.
  std::vector<HolderRef> Source;
  Epoch SourceEpoch;

  bool operator==(const ShardEntry &Other) const {
    return this->OwnerEpoch == Other.OwnerEpoch && this->Owner == Other.Owner &&
           this->OwnerInstance == Other.OwnerInstance &&
           this->IsServing == Other.IsServing &&
           this->Holders == Other.Holders && this->Source == Other.Source &&
           this->SourceEpoch == Other.SourceEpoch;
  }
};

/// A row and the revision at which it was read; revision 0 means that the row
/// does not exist.
struct VersionedShardEntry {
  ShardEntry Entry;
  Revision ModRevision;
};

} // namespace tanagerlanding

#endif
