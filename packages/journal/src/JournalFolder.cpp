#include "tanagerlanding/journal/JournalFolder.h"

#include "tanagerlanding/wire.h"

#include <algorithm>
#include <set>

namespace tanagerlanding {

namespace {

/// First byte of a payload, which tells its kind.
constexpr char BatchKind = 'B';
constexpr char FenceKind = 'F';
constexpr std::uint64_t SegmentBytes = 64 * 1024 * 1024;

} // namespace

JournalFolder::JournalFolder(std::string Path, FileSystem &Files)
    : Folder(std::move(Path), SegmentBytes, Files) {}

Result<HolderState, SystemError> JournalFolder::open() {
  this->Recovered = HolderState();
  this->Batches.clear();
  this->Fences.clear();
  const auto Opened =
      this->Folder.open([this](const std::string &Payload, BatchLocation At) {
        return this->recoverPayload(Payload, At);
      });
  if (Opened) {
    this->Recovered.Self = this->Folder.holder();
    return this->Recovered;
  }
  const auto *Found = std::get_if<FolderDamage>(&Opened.error());
  if (!Found)
    return std::get<SystemError>(Opened.error());
  if (this->Damage)
    return asSystemError(*Found);
  this->Damage = *Found;
  if (auto Moved = this->Folder.setAside(*Found); !Moved)
    return Moved.error();
  return this->open();
}

bool JournalFolder::recoverPayload(const std::string &Payload,
                                   BatchLocation At) {
  if (Payload.empty())
    return false;
  const auto Body = decodeMessage(std::string_view(Payload).substr(1));
  if (!Body)
    return false;
  if (const auto *Batch = std::get_if<AppendRecords>(&Body.value())) {
    HeldShard &Shard = this->Recovered.Shards[Batch->Shard];
    Shard.Fence = std::max(Shard.Fence, Batch->OwnerEpoch);
    std::uint64_t &Next = Shard.NextIndex[Batch->OwnerEpoch];
    Next = std::max<std::uint64_t>(Next,
                                   Batch->FirstIndex + Batch->Records.size());
    this->Batches[{Batch->Shard, Batch->OwnerEpoch}].push_back(At);
    return true;
  }
  if (const auto *Fence = std::get_if<SealLog>(&Body.value())) {
    HeldShard &Shard = this->Recovered.Shards[Fence->Shard];
    Shard.Fence = std::max(Shard.Fence, Fence->NewEpoch);
    this->Fences[Fence->Shard] = {Shard.Fence, At.Segment};
    return true;
  }
  return false;
}

Result<void, SystemError>
JournalFolder::appendBatch(const AppendRecords &Batch) {
  const auto At = this->append(BatchKind + encodeMessage(Batch));
  if (!At)
    return At.error();
  this->Batches[{Batch.Shard, Batch.OwnerEpoch}].push_back(At.value());
  return success();
}

Result<void, SystemError> JournalFolder::appendFence(ShardId Shard,
                                                     Epoch Fence) {
  const auto At =
      this->append(FenceKind + encodeMessage(SealLog{Shard, Epoch(), Fence}));
  if (!At)
    return At.error();
  this->Fences[Shard] = {Fence, At.value().Segment};
  return success();
}

Result<BatchLocation, SystemError>
JournalFolder::append(const std::string &Payload) {
  if (this->Failure)
    return *this->Failure;
  auto At = this->Folder.append(Payload);
  if (!At)
    this->Failure = At.error();
  return At;
}

Result<void, SystemError> JournalFolder::sync() {
  auto Synced = this->Folder.sync();
  if (!Synced)
    this->Failure = Synced.error();
  return Synced;
}

Result<std::vector<Record>, SystemError>
JournalFolder::readEpoch(ShardId Shard, Epoch OwnerEpoch) const {
  std::vector<Record> Records;
  const auto Found = this->Batches.find({Shard, OwnerEpoch});
  if (Found == this->Batches.end())
    return Records;
  for (const BatchLocation &At : Found->second) {
    const auto Payload = this->Folder.read(At);
    if (!Payload)
      return Payload.error();
    const auto Body =
        decodeMessage(std::string_view(Payload.value()).substr(1));
    const auto *Batch =
        Body ? std::get_if<AppendRecords>(&Body.value()) : nullptr;
    if (!Batch)
      return SystemError{"damaged segment " + std::to_string(At.Segment), 0};
    Records.insert(Records.end(), Batch->Records.begin(), Batch->Records.end());
  }
  return Records;
}

void JournalFolder::dropEpochs(ShardId Shard, Epoch Below) {
  const auto Start = this->Batches.lower_bound({Shard, Epoch()});
  const auto End = this->Batches.lower_bound({Shard, Below});
  this->Batches.erase(Start, End);
  this->deleteUnused();
}

void JournalFolder::deleteUnused() {
  std::set<std::uint64_t> Used = {this->Folder.currentSegment()};
  for (const auto &[Key, Places] : this->Batches) {
    for (const BatchLocation &At : Places)
      Used.insert(At.Segment);
  }
  for (const auto &[Shard, Fence] : this->Fences)
    Used.insert(Fence.second);
  const std::set<std::uint64_t> Present = this->Folder.segments();
  for (const std::uint64_t Number : Present) {
    if (Used.count(Number) == 0)
      this->Folder.remove(Number);
  }
}

} // namespace tanagerlanding
