/// \file
/// The table of shard owners kept in the platform's key-value service.
#ifndef TANAGERLANDING_DECISION_SHARDTABLE_H
#define TANAGERLANDING_DECISION_SHARDTABLE_H

#include "tanagerlanding/basics.h"

#include <vector>

namespace tanagerlanding {

/// A journal and the host that keeps it.
struct HolderRef {
  HolderId Holder;
  HostId Host;

  bool operator==(const HolderRef &Other) const {
    return this->Holder == Other.Holder && this->Host == Other.Host;
  }
};

/// One shard's row. It changes by compare-and-swap only.
struct ShardEntry {
  Epoch OwnerEpoch;
  HostId Owner;
  InstanceId OwnerInstance;
  /// Whether the epoch's log is complete at its holders.
  bool Serving = false;
  std::vector<HolderRef> Holders;
  /// The holders of the last epoch that was serving, while this one isn't.
  std::vector<HolderRef> Source;
  Epoch SourceEpoch;

  bool operator==(const ShardEntry &Other) const {
    return this->OwnerEpoch == Other.OwnerEpoch && this->Owner == Other.Owner &&
           this->OwnerInstance == Other.OwnerInstance &&
           this->Serving == Other.Serving && this->Holders == Other.Holders &&
           this->Source == Other.Source &&
           this->SourceEpoch == Other.SourceEpoch;
  }
};

/// A row with the revision at which it was read; revision 0 means absent.
struct VersionedShardEntry {
  ShardEntry Entry;
  Revision ModRevision;
};

} // namespace tanagerlanding

#endif
