/// \file
/// The journals of shards in a data folder.
#ifndef TANAGERLANDING_JOURNAL_JOURNALFOLDER_H
#define TANAGERLANDING_JOURNAL_JOURNALFOLDER_H

#include "tanagerlanding/decision/HolderReducer.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Keeps batches of records and fences of shards in append-only segments.
///
/// open() reads what is there. appendBatch() and appendFence() write; nothing
/// is durable before sync(). Segments in which no batch is needed any more are
/// deleted by dropEpochs(). Not for several threads at once; see
/// JournalWriter.
class JournalFolder {
public:
  explicit JournalFolder(std::string Path);
  JournalFolder(const JournalFolder &) = delete;
  JournalFolder &operator=(const JournalFolder &) = delete;

  /// Reads the folder, and makes it with a new holder id where it is empty.
  /// Returns the state that a holder begins with. Fails as
  /// SegmentFolder::open() does.
  Result<HolderState, SystemError> open();

  /// Writes a batch, which may have no records.
  Result<void, SystemError> appendBatch(const AppendRecords &Batch);

  /// Writes that nothing of the shard below Fence is taken any more.
  Result<void, SystemError> appendFence(ShardId Shard, Epoch Fence);

  /// Makes all that was written durable.
  Result<void, SystemError> sync() { return this->Folder.sync(); }

  /// Returns the records of one epoch, in order.
  Result<std::vector<Record>, SystemError> readEpoch(ShardId Shard,
                                                     Epoch Wanted) const;

  /// Forgets epochs of a shard below Below.
  void dropEpochs(ShardId Shard, Epoch Below);

  /// Returns the number of segments.
  std::size_t segmentCount() const { return this->Folder.segments().size(); }

private:
  using EpochKey = std::pair<ShardId, Epoch>;

  bool takePayload(const std::string &Payload, RecordPlace At);
  void deleteUnused();

  SegmentFolder Folder;
  HolderState Recovered;
  std::map<EpochKey, std::vector<RecordPlace>> Batches;
  /// The last fence of each shard, which must not be lost with its segment.
  std::map<ShardId, std::pair<Epoch, std::uint64_t>> Fences;
};

} // namespace tanagerlanding

#endif
