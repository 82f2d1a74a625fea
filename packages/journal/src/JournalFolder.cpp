#include "tanagerlanding/journal/JournalFolder.h"

#include "tanagerlanding/wire.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fcntl.h>
#include <flatbuffers/base.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace tanagerlanding {

namespace {

namespace fs = std::filesystem;

/// A frame: payload length (4 bytes), payload hash (8 bytes), payload.
constexpr std::size_t HeadBytes = 12;
constexpr std::size_t HashOffset = 4;
/// A payload begins with its kind.
constexpr char BatchKind = 'B';
constexpr char FenceKind = 'F';
constexpr std::uint64_t SegmentBytes = 64 * 1024 * 1024;
constexpr const char *HolderFile = "holder-id";
constexpr const char *SegmentPrefix = "segment-";
constexpr int FileMode = 0644;

SystemError lastError(const std::string &Operation) {
  return SystemError{Operation, errno};
}

std::string frameOf(const std::string &Payload) {
  std::string Frame(HeadBytes, '\0');
  flatbuffers::WriteScalar(Frame.data(),
                           static_cast<std::uint32_t>(Payload.size()));
  flatbuffers::WriteScalar(Frame.data() + HashOffset, hashBytes(Payload));
  return Frame + Payload;
}

/// Returns the payload that begins at Offset, or nothing where it is torn.
std::optional<std::string> payloadAt(const std::string &Bytes,
                                     std::size_t Offset) {
  if (Bytes.size() - Offset < HeadBytes)
    return std::nullopt;
  const char *Head = Bytes.data() + Offset;
  const auto Length = flatbuffers::ReadScalar<std::uint32_t>(Head);
  const auto Hash = flatbuffers::ReadScalar<std::uint64_t>(Head + HashOffset);
  if (Bytes.size() - Offset - HeadBytes < Length)
    return std::nullopt;
  std::string Payload = Bytes.substr(Offset + HeadBytes, Length);
  if (hashBytes(Payload) != Hash)
    return std::nullopt;
  return Payload;
}

Result<void, SystemError> writeAll(int File, const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const ssize_t Count =
        ::write(File, Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return lastError("write segment");
    Done += static_cast<std::size_t>(Count);
  }
  return success();
}

std::optional<std::string> readWhole(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Bytes;
  Bytes << File.rdbuf();
  return Bytes.str();
}

} // namespace

JournalFolder::JournalFolder(std::string Path) : Path(std::move(Path)) {}

JournalFolder::~JournalFolder() {
  if (this->File >= 0)
    ::close(this->File);
}

std::string JournalFolder::segmentPath(std::uint64_t Number) const {
  return this->Path + "/" + SegmentPrefix + std::to_string(Number);
}

Result<HolderState, SystemError> JournalFolder::open() {
  std::error_code Error;
  fs::create_directories(this->Path, Error);
  if (Error)
    return SystemError{"create " + this->Path, Error.value()};
  if (auto Read = this->readHolderId(); !Read)
    return Read.error();

  for (const fs::directory_entry &Entry : fs::directory_iterator(this->Path)) {
    const std::string Name = Entry.path().filename().string();
    const std::string Start(SegmentPrefix);
    if (Name.compare(0, Start.size(), Start) == 0)
      this->Segments.insert(std::stoull(Name.substr(Start.size())));
  }
  for (const std::uint64_t Number : this->Segments) {
    const bool IsLast = Number == *this->Segments.rbegin();
    if (auto Read = this->readSegment(Number, IsLast); !Read)
      return Read.error();
  }
  const std::uint64_t Next =
      this->Segments.empty() ? 1 : *this->Segments.rbegin() + 1;
  if (auto Started = this->startSegment(Next); !Started)
    return Started.error();
  return this->Recovered;
}

Result<void, SystemError> JournalFolder::readHolderId() {
  const std::string Name = this->Path + "/" + HolderFile;
  if (const auto Known = readWhole(Name); Known && !Known->empty()) {
    this->Recovered.Self = HolderId(*Known);
    return success();
  }
  const std::string Fresh =
      boost::uuids::to_string(boost::uuids::random_generator()());
  const std::string Temporary = Name + ".new";
  const int Handle =
      ::open(Temporary.c_str(), O_CREAT | O_WRONLY | O_TRUNC, FileMode);
  if (Handle < 0)
    return lastError("create " + Temporary);
  const auto Written = writeAll(Handle, Fresh);
  const bool IsSynced = ::fsync(Handle) == 0;
  ::close(Handle);
  if (!Written)
    return Written.error();
  if (!IsSynced || ::rename(Temporary.c_str(), Name.c_str()) != 0)
    return lastError("write " + Name);
  this->Recovered.Self = HolderId(Fresh);
  return this->syncFolder();
}

Result<void, SystemError> JournalFolder::readSegment(std::uint64_t Number,
                                                     bool IsLast) {
  const std::string Name = this->segmentPath(Number);
  const auto Bytes = readWhole(Name);
  if (!Bytes)
    return lastError("read " + Name);
  std::size_t Offset = 0;
  while (Offset < Bytes->size()) {
    const auto Payload = payloadAt(*Bytes, Offset);
    const auto Length =
        Payload ? static_cast<std::uint32_t>(Payload->size()) : 0;
    const Place At{Number, Offset + HeadBytes, Length};
    if (!Payload || !this->takeFrame(*Payload, At)) {
      // What was torn in the last segment was never acknowledged.
      if (!IsLast)
        return SystemError{"damaged " + Name, 0};
      if (::truncate(Name.c_str(), static_cast<off_t>(Offset)) != 0)
        return lastError("truncate " + Name);
      return success();
    }
    Offset += HeadBytes + Length;
  }
  return success();
}

bool JournalFolder::takeFrame(const std::string &Payload, Place At) {
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

Result<void, SystemError> JournalFolder::startSegment(std::uint64_t Number) {
  if (this->File >= 0) {
    if (::fdatasync(this->File) != 0)
      return lastError("sync segment");
    ::close(this->File);
  }
  const std::string Name = this->segmentPath(Number);
  this->File = ::open(Name.c_str(), O_CREAT | O_WRONLY | O_APPEND, FileMode);
  if (this->File < 0)
    return lastError("create " + Name);
  this->Segments.insert(Number);
  this->Current = Number;
  this->CurrentBytes = 0;
  return this->syncFolder();
}

Result<void, SystemError> JournalFolder::syncFolder() const {
  const int Handle = ::open(this->Path.c_str(), O_RDONLY | O_DIRECTORY);
  if (Handle < 0)
    return lastError("open " + this->Path);
  const bool IsSynced = ::fsync(Handle) == 0;
  ::close(Handle);
  if (!IsSynced)
    return lastError("sync " + this->Path);
  return success();
}

Result<JournalFolder::Place, SystemError>
JournalFolder::write(const std::string &Payload) {
  if (this->CurrentBytes >= SegmentBytes) {
    if (auto Started = this->startSegment(this->Current + 1); !Started)
      return Started.error();
  }
  if (auto Written = writeAll(this->File, frameOf(Payload)); !Written)
    return Written.error();
  const Place At{this->Current, this->CurrentBytes + HeadBytes,
                 static_cast<std::uint32_t>(Payload.size())};
  this->CurrentBytes += HeadBytes + Payload.size();
  return At;
}

Result<void, SystemError>
JournalFolder::appendBatch(const AppendRecords &Batch) {
  const auto At = this->write(BatchKind + encodeMessage(Batch));
  if (!At)
    return At.error();
  this->Batches[{Batch.Shard, Batch.OwnerEpoch}].push_back(At.value());
  return success();
}

Result<void, SystemError> JournalFolder::appendFence(ShardId Shard,
                                                     Epoch Fence) {
  const auto At =
      this->write(FenceKind + encodeMessage(SealLog{Shard, Epoch(), Fence}));
  if (!At)
    return At.error();
  this->Fences[Shard] = {Fence, At.value().Segment};
  return success();
}

Result<void, SystemError> JournalFolder::sync() {
  if (::fdatasync(this->File) != 0)
    return lastError("sync segment");
  return success();
}

Result<std::vector<Record>, SystemError>
JournalFolder::readEpoch(ShardId Shard, Epoch Wanted) const {
  std::vector<Record> Records;
  const auto Found = this->Batches.find({Shard, Wanted});
  if (Found == this->Batches.end())
    return Records;
  for (const Place &At : Found->second) {
    std::ifstream File(this->segmentPath(At.Segment), std::ios::binary);
    std::string Payload(At.Length, '\0');
    File.seekg(static_cast<std::streamoff>(At.Offset));
    if (!File.read(Payload.data(), At.Length))
      return lastError("read " + this->segmentPath(At.Segment));
    const auto Body = decodeMessage(std::string_view(Payload).substr(1));
    const auto *Batch =
        Body ? std::get_if<AppendRecords>(&Body.value()) : nullptr;
    if (!Batch)
      return SystemError{"damaged " + this->segmentPath(At.Segment), 0};
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
  std::set<std::uint64_t> Used = {this->Current};
  for (const auto &[Key, Places] : this->Batches) {
    for (const Place &At : Places)
      Used.insert(At.Segment);
  }
  for (const auto &[Shard, Fence] : this->Fences)
    Used.insert(Fence.second);
  for (auto Number = this->Segments.begin(); Number != this->Segments.end();) {
    if (Used.count(*Number) > 0) {
      ++Number;
      continue;
    }
    ::unlink(this->segmentPath(*Number).c_str());
    Number = this->Segments.erase(Number);
  }
}

} // namespace tanagerlanding
