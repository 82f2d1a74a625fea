/// \file
/// Storage of shard journals in a data folder.
#ifndef TANAGERLANDING_JOURNAL_JOURNALFOLDER_H
#define TANAGERLANDING_JOURNAL_JOURNALFOLDER_H

#include "tanagerlanding/decision/HolderReducer.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Stores batches of records and fences of shards in append-only segments.
///
/// open() reads the existing segments. appendBatch() and appendFence() write;
/// nothing is durable before sync(). dropEpochs() deletes segments in which no
/// batch or fence is needed any more. Not thread-safe; see JournalWriter.
class JournalFolder {
public:
  explicit JournalFolder(std::string Path,
                         FileSystem &Files = hostFileSystem());
  JournalFolder(const JournalFolder &) = delete;
  JournalFolder &operator=(const JournalFolder &) = delete;

  /// Reads the folder, or creates it with a new holder id if it is empty.
  /// Returns the initial state of its holder. A damaged folder is set aside and
  /// replaced by an empty one with a new holder id; see damage().
  Result<HolderState, SystemError> open();

  /// Returns the damage for which open() has replaced the folder.
  const std::optional<FolderDamage> &damage() const { return this->Damage; }
  /// Returns what open() found.
  const FolderRecovery &recovery() const { return this->Folder.recovery(); }

  /// Writes a batch, which may have no records.
  Result<void, SystemError> appendBatch(const AppendRecords &Batch);

  /// Writes a fence: no records of the shard with an epoch below Fence are
  /// accepted any more.
  Result<void, SystemError> appendFence(ShardId Shard, Epoch Fence);

  /// Makes everything written so far durable.
  Result<void, SystemError> sync();

  /// Returns the records of one epoch, in order.
  Result<std::vector<Record>, SystemError> readEpoch(ShardId Shard,
                                                     Epoch OwnerEpoch) const;

  /// Drops the records of a shard with epochs below Below.
  void dropEpochs(ShardId Shard, Epoch Below);

  std::size_t segmentCount() const { return this->Folder.segments().size(); }

private:
  using EpochKey = std::pair<ShardId, Epoch>;

  Result<BatchLocation, SystemError> append(const std::string &Payload);
  bool recoverPayload(const std::string &Payload, BatchLocation At);
  void deleteUnused();

  SegmentFolder Folder;
  HolderState Recovered;
  std::optional<FolderDamage> Damage;
  /// The first failure to write. Nothing is written after it, since a start
  /// would take the batches behind a missing one for a complete epoch.
  std::optional<SystemError> Failure;
  std::map<EpochKey, std::vector<BatchLocation>> Batches;
  /// The last fence of each shard and its segment, which must not be deleted.
  std::map<ShardId, std::pair<Epoch, std::uint64_t>> Fences;
};

} // namespace tanagerlanding

#endif
