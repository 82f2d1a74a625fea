/// \file
/// Segment files in a data folder.
#ifndef TANAGERLANDING_JOURNAL_JOURNALFOLDER_H
#define TANAGERLANDING_JOURNAL_JOURNALFOLDER_H

#include "tanagerlanding/decision/HolderReducer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Keeps batches of records and fences of shards in append-only segments.
///
/// open() reads what is there and cuts a torn end off. appendBatch() and
/// appendFence() write; nothing is durable before sync(). Segments in which
/// no batch is needed any more are deleted by dropEpochs(). Not for several
/// threads at once; see JournalWriter.
class JournalFolder {
public:
  explicit JournalFolder(std::string Path);
  ~JournalFolder();
  JournalFolder(const JournalFolder &) = delete;
  JournalFolder &operator=(const JournalFolder &) = delete;

  /// Reads the folder, and makes it with a new holder id where it is empty.
  /// Returns the state that a holder begins with. Fails where the system
  /// does, and with ErrorNumber 0 where a segment other than the last is
  /// damaged.
  Result<HolderState, SystemError> open();

  /// Writes a batch, which may have no records.
  Result<void, SystemError> appendBatch(const AppendRecords &Batch);

  /// Writes that nothing of the shard below Fence is taken any more.
  Result<void, SystemError> appendFence(ShardId Shard, Epoch Fence);

  /// Makes all that was written durable.
  Result<void, SystemError> sync();

  /// Returns the records of one epoch, in order.
  Result<std::vector<Record>, SystemError> readEpoch(ShardId Shard,
                                                     Epoch Wanted) const;

  /// Forgets epochs of a shard below Below.
  void dropEpochs(ShardId Shard, Epoch Below);

  /// Returns the number of segments.
  std::size_t segmentCount() const { return this->Segments.size(); }

private:
  struct Place {
    std::uint64_t Segment = 0;
    std::uint64_t Offset = 0;
    std::uint32_t Length = 0;
  };
  using EpochKey = std::pair<ShardId, Epoch>;

  Result<void, SystemError> readHolderId();
  Result<void, SystemError> readSegment(std::uint64_t Number, bool IsLast);
  bool takeFrame(const std::string &Payload, Place At);
  Result<Place, SystemError> write(const std::string &Payload);
  Result<void, SystemError> startSegment(std::uint64_t Number);
  Result<void, SystemError> syncFolder() const;
  std::string segmentPath(std::uint64_t Number) const;
  void deleteUnused();

  const std::string Path;
  HolderState Recovered;
  int File = -1;
  std::uint64_t Current = 0;
  std::uint64_t CurrentBytes = 0;
  std::set<std::uint64_t> Segments;
  std::map<EpochKey, std::vector<Place>> Batches;
  /// The last fence of each shard, which must not be lost with its segment.
  std::map<ShardId, std::pair<Epoch, std::uint64_t>> Fences;
};

} // namespace tanagerlanding

#endif
