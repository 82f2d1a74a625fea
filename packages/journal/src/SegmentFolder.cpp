#include "tanagerlanding/journal/SegmentFolder.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <flatbuffers/base.h>

#include <cerrno>
#include <charconv>
#include <optional>

namespace tanagerlanding {

namespace {

/// A frame: payload length (4 bytes), payload hash (8 bytes), payload.
constexpr std::size_t HeaderBytes = 12;
constexpr std::size_t HashOffset = 4;
constexpr const char *HolderFile = "holder-id";
constexpr const char *SegmentPrefix = "segment-";
constexpr const char *TemporarySuffix = ".new";
constexpr const char *AsidePrefix = "damaged-";
constexpr const char *AsideMarker = "setting-aside";

bool startsWith(const std::string &Text, const std::string &Start) {
  return Text.compare(0, Start.size(), Start) == 0;
}

std::string segmentName(std::uint64_t Number) {
  return SegmentPrefix + std::to_string(Number);
}

const char *toString(FolderDamage::Kind Reason) {
  switch (Reason) {
  case FolderDamage::Kind::Corrupt:
    return "corrupt";
  case FolderDamage::Kind::Unreadable:
    return "unreadable";
  }
  return "";
}

/// Returns the number in the file name of a segment; absent for other files.
std::optional<std::uint64_t> segmentNumberOf(const std::string &Name) {
  const std::string Start(SegmentPrefix);
  if (!startsWith(Name, Start))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Name.data() + Name.size();
  const auto Read = std::from_chars(Name.data() + Start.size(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

std::string encodeFrame(const std::string &Payload) {
  std::string Frame(HeaderBytes, '\0');
  flatbuffers::WriteScalar(Frame.data(),
                           static_cast<std::uint32_t>(Payload.size()));
  flatbuffers::WriteScalar(Frame.data() + HashOffset, hashBytes(Payload));
  return Frame + Payload;
}

/// Returns the payload of the frame at Offset; absent if the frame is
/// incomplete or damaged.
std::optional<std::string> payloadAt(const std::string &Bytes,
                                     std::size_t Offset) {
  if (Bytes.size() - Offset < HeaderBytes)
    return std::nullopt;
  const char *Header = Bytes.data() + Offset;
  const auto Length = flatbuffers::ReadScalar<std::uint32_t>(Header);
  const auto Hash = flatbuffers::ReadScalar<std::uint64_t>(Header + HashOffset);
  if (Bytes.size() - Offset - HeaderBytes < Length)
    return std::nullopt;
  std::string Payload = Bytes.substr(Offset + HeaderBytes, Length);
  if (hashBytes(Payload) != Hash)
    return std::nullopt;
  return Payload;
}

} // namespace

std::vector<std::pair<std::string, std::string>>
FolderRecovery::logFields() const {
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"segments", std::to_string(this->Segments)}};
  if (!this->TornEnd)
    return Fields;
  Fields.emplace_back("cut_segment", std::to_string(this->TornEnd->Segment));
  Fields.emplace_back("cut_offset", std::to_string(this->TornEnd->Offset));
  Fields.emplace_back("cut_bytes", std::to_string(this->TornEnd->Bytes));
  return Fields;
}

std::vector<std::pair<std::string, std::string>>
FolderDamage::logFields() const {
  return {{"file", this->File},
          {"reason", toString(this->Reason)},
          {"offset", std::to_string(this->Offset)},
          {"bytes", std::to_string(this->Bytes)}};
}

SystemError asSystemError(const OpenFailure &Failure) {
  if (const auto *Damage = std::get_if<FolderDamage>(&Failure))
    return SystemError{std::string(toString(Damage->Reason)) + " " +
                           Damage->File + " at " +
                           std::to_string(Damage->Offset),
                       0};
  return std::get<SystemError>(Failure);
}

SegmentFolder::SegmentFolder(std::string Path, std::uint64_t SegmentBytes,
                             FileSystem &Files)
    : Path(std::move(Path)), SegmentBytes(SegmentBytes), Files(Files) {}

SegmentFolder::~SegmentFolder() { this->closeCurrent(); }

void SegmentFolder::closeCurrent() {
  if (this->File)
    this->Files.close(*this->File);
  this->File.reset();
}

std::string SegmentFolder::filePath(const std::string &Name) const {
  return this->Path + "/" + Name;
}

std::string SegmentFolder::segmentPath(std::uint64_t Number) const {
  return this->filePath(segmentName(Number));
}

Result<void, OpenFailure> SegmentFolder::open(const Visitor &Visit,
                                              const IndexLoader &LoadIndex) {
  this->Recovery = FolderRecovery();
  if (auto Created = this->Files.createFolder(this->Path); !Created)
    return Created.error();
  if (auto Resumed = this->resumeSettingAside(); !Resumed)
    return Resumed;
  if (auto Read = this->readHolderId(); !Read)
    return Read;
  if (auto Listed = this->listSegments(); !Listed)
    return Listed.error();

  const std::set<std::uint64_t> Found = this->Segments;
  this->Recovery.Segments = Found.size();
  for (const std::uint64_t Number : Found) {
    const bool IsLast = Number == *Found.rbegin();
    if (!IsLast && LoadIndex(Number))
      continue;
    if (auto Read = this->readSegment(Number, IsLast, Visit); !Read)
      return Read;
  }
  const std::uint64_t Next = Found.empty() ? 1 : *Found.rbegin() + 1;
  if (auto Started = this->startSegment(Next); !Started)
    return Started.error();
  if (auto Synced = this->makeDurable(); !Synced)
    return Synced.error();
  return success();
}

Result<void, SystemError> SegmentFolder::listSegments() {
  this->Segments.clear();
  const auto Names = this->Files.list(this->Path);
  if (!Names)
    return Names.error();
  for (const std::string &Name : Names.value()) {
    if (const auto Number = segmentNumberOf(Name))
      this->Segments.insert(*Number);
  }
  return success();
}

Result<void, OpenFailure> SegmentFolder::readHolderId() {
  const auto Known = this->readFile(HolderFile);
  if (!Known)
    return Known.error();
  if (Known.value().empty()) {
    if (auto Created = this->createHolderId(); !Created)
      return Created.error();
    return success();
  }
  this->Holder = HolderId(Known.value());
  return success();
}

Result<void, SystemError> SegmentFolder::createHolderId() {
  const std::string Fresh =
      boost::uuids::to_string(boost::uuids::random_generator()());
  if (auto Written = this->writeFile(HolderFile, Fresh); !Written)
    return Written;
  this->Holder = HolderId(Fresh);
  return success();
}

Result<void, SystemError> SegmentFolder::setAside(const FolderDamage &Damage) {
  if (auto Marked = this->writeFile(AsideMarker, Damage.File); !Marked)
    return Marked;
  return this->moveFilesAside();
}

/// The marker is there until all files are moved and the new id is durable, so
/// that no start takes the files that are left for the whole folder.
Result<void, SystemError> SegmentFolder::moveFilesAside() {
  const auto Names = this->Files.list(this->Path);
  if (!Names)
    return Names.error();
  for (const std::string &Name : Names.value()) {
    const bool IsKept = Name == HolderFile || Name == AsideMarker ||
                        startsWith(Name, AsidePrefix);
    if (IsKept)
      continue;
    const auto Moved = this->Files.rename(this->filePath(Name),
                                          this->filePath(AsidePrefix + Name));
    if (!Moved)
      return Moved;
  }
  if (auto Synced = this->syncFolder(); !Synced)
    return Synced;
  if (auto Created = this->createHolderId(); !Created)
    return Created;
  if (auto Removed = this->Files.remove(this->filePath(AsideMarker)); !Removed)
    return Removed;
  return this->syncFolder();
}

/// Completes a setAside() during which the process ended.
Result<void, OpenFailure> SegmentFolder::resumeSettingAside() {
  const auto Marker = this->readFile(AsideMarker);
  if (!Marker)
    return Marker.error();
  if (Marker.value().empty())
    return success();
  if (auto Moved = this->moveFilesAside(); !Moved)
    return Moved.error();
  return success();
}

/// Reads a file; an error of the disk counts as damage.
Result<std::string, OpenFailure>
SegmentFolder::readStored(const std::string &Name) const {
  auto Bytes = this->Files.read(this->filePath(Name));
  if (Bytes)
    return std::move(Bytes.value());
  if (Bytes.error().ErrorNumber == EIO)
    return FolderDamage{FolderDamage::Kind::Unreadable, Name, 0, 0};
  return Bytes.error();
}

Result<std::string, OpenFailure>
SegmentFolder::readFile(const std::string &Name) const {
  auto Bytes = this->readStored(Name);
  const auto *Failed =
      Bytes ? nullptr : std::get_if<SystemError>(&Bytes.error());
  if (Failed && Failed->ErrorNumber == ENOENT)
    return std::string();
  return Bytes;
}

Result<void, SystemError>
SegmentFolder::writeAll(FileHandle Target, std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const auto Count = this->Files.write(Target, Bytes);
    if (!Count)
      return Count.error();
    Bytes.remove_prefix(Count.value());
  }
  return success();
}

/// Replaces the contents of a file durably; its name is not synced.
Result<void, SystemError>
SegmentFolder::overwrite(const std::string &File,
                         const std::string &Bytes) const {
  const auto Target = this->Files.openForAppend(File);
  if (!Target)
    return Target.error();
  auto Done = this->Files.truncate(Target.value(), 0);
  if (Done)
    Done = this->writeAll(Target.value(), Bytes);
  if (Done)
    Done = this->Files.sync(Target.value());
  this->Files.close(Target.value());
  return Done;
}

Result<void, SystemError>
SegmentFolder::writeFile(const std::string &Name,
                         const std::string &Bytes) const {
  const std::string Final = this->filePath(Name);
  const std::string Temporary = Final + TemporarySuffix;
  if (auto Written = this->overwrite(Temporary, Bytes); !Written)
    return Written;
  if (auto Renamed = this->Files.rename(Temporary, Final); !Renamed)
    return Renamed;
  return this->syncFolder();
}

Result<void, OpenFailure> SegmentFolder::visitSegment(std::uint64_t Segment,
                                                      const Visitor &Visit) {
  return this->readSegment(Segment, false, Visit);
}

void SegmentFolder::removeFile(const std::string &Name) const {
  (void)this->Files.remove(this->filePath(Name));
}

Result<void, OpenFailure> SegmentFolder::readSegment(std::uint64_t Number,
                                                     bool IsLast,
                                                     const Visitor &Visit) {
  const auto Bytes = this->readStored(segmentName(Number));
  if (!Bytes)
    return Bytes.error();
  const std::size_t Size = Bytes.value().size();
  std::size_t Offset = 0;
  while (Offset < Size) {
    const auto Payload = payloadAt(Bytes.value(), Offset);
    if (!Payload)
      break;
    const auto Length = static_cast<std::uint32_t>(Payload->size());
    // It was written by another version, which can still read it.
    if (!Visit(*Payload, BatchLocation{Number, Offset + HeaderBytes, Length}))
      return SystemError{"decode " + this->segmentPath(Number) + " at " +
                             std::to_string(Offset),
                         0};
    Offset += HeaderBytes + Length;
  }
  if (!IsLast && Offset < Size)
    return FolderDamage{FolderDamage::Kind::Corrupt, segmentName(Number),
                        Offset, Size - Offset};
  if (!IsLast)
    return success();
  if (Offset < Size)
    this->Recovery.TornEnd = {Number, Offset, Size - Offset};
  if (auto Settled =
          this->settleLastSegment(Number, Bytes.value().substr(0, Offset));
      !Settled)
    return Settled.error();
  return success();
}

/// Cuts off a torn end, which was never acknowledged, and makes the frames
/// before it durable: the process that wrote them may have ended before it had
/// synced them. Both have to happen before another segment is started, since a
/// torn end in any segment but the last counts as damage.
///
/// The frames are written anew, since a sync of the file does not cover what an
/// earlier one has failed to write. Only if there is no room for them, the file
/// itself is synced.
Result<void, SystemError>
SegmentFolder::settleLastSegment(std::uint64_t Number,
                                 const std::string &Frames) {
  const auto Written = this->writeFile(segmentName(Number), Frames);
  if (Written || Written.error().ErrorNumber != ENOSPC)
    return Written;
  const auto Segment = this->Files.openForAppend(this->segmentPath(Number));
  if (!Segment)
    return Segment.error();
  auto Done = this->Files.truncate(Segment.value(), Frames.size());
  if (Done)
    Done = this->Files.sync(Segment.value());
  this->Files.close(Segment.value());
  return Done;
}

/// Continues with a new segment. The current one has to be durable.
Result<void, SystemError> SegmentFolder::startSegment(std::uint64_t Number) {
  const auto Opened = this->Files.openForAppend(this->segmentPath(Number));
  if (!Opened)
    return Opened.error();
  this->closeCurrent();
  this->File = Opened.value();
  this->Segments.insert(Number);
  this->Current = Number;
  this->CurrentBytes = 0;
  this->DurableBytes = 0;
  this->IsNameDurable = false;
  return success();
}

Result<void, SystemError> SegmentFolder::rotate() {
  if (auto Done = this->makeDurable(); !Done)
    return Done;
  return this->startSegment(this->Current + 1);
}

Result<void, SystemError> SegmentFolder::syncFolder() const {
  return this->Files.syncFolder(this->Path);
}

Result<BatchLocation, SystemError>
SegmentFolder::append(const std::string &Payload) {
  if (this->CurrentBytes >= this->SegmentBytes) {
    if (auto Started = this->rotate(); !Started)
      return Started.error();
  }
  if (auto Cut = this->cutRemains(); !Cut)
    return Cut.error();
  if (auto Written = this->writeAll(*this->File, encodeFrame(Payload));
      !Written) {
    this->HasRemains = true;
    (void)this->cutRemains();
    return Written.error();
  }
  const BatchLocation At{this->Current, this->CurrentBytes + HeaderBytes,
                         static_cast<std::uint32_t>(Payload.size())};
  this->CurrentBytes += HeaderBytes + Payload.size();
  return At;
}

/// Cuts off the remains of frames that failed. No frame may follow them.
Result<void, SystemError> SegmentFolder::cutRemains() {
  if (!this->File)
    return SystemError{"write to " + this->Path + ", which is not open", 0};
  if (!this->HasRemains)
    return success();
  if (auto Cut = this->Files.truncate(*this->File, this->CurrentBytes); !Cut)
    return Cut;
  this->HasRemains = false;
  return success();
}

Result<void, SystemError> SegmentFolder::sync() {
  const auto Done = this->makeDurable();
  if (!this->LostFrames)
    return Done;
  const SystemError Cause = *this->LostFrames;
  this->LostFrames.reset();
  return Cause;
}

Result<void, SystemError> SegmentFolder::makeDurable() {
  if (auto Cut = this->cutRemains(); !Cut)
    return Cut;
  if (auto Synced = this->Files.sync(*this->File); !Synced) {
    // The system may forget what it could not write, so a later sync would not
    // cover these frames.
    if (this->DurableBytes < this->CurrentBytes)
      this->LostFrames = Synced.error();
    this->CurrentBytes = this->DurableBytes;
    this->HasRemains = true;
    (void)this->cutRemains();
    return Synced;
  }
  this->DurableBytes = this->CurrentBytes;
  if (this->IsNameDurable)
    return success();
  if (auto Synced = this->syncFolder(); !Synced)
    return Synced;
  this->IsNameDurable = true;
  return success();
}

Result<std::string, SystemError> SegmentFolder::read(BatchLocation At) const {
  const std::string Name = this->segmentPath(At.Segment);
  const auto Frame = this->Files.readPart(Name, At.Offset - HeaderBytes,
                                          HeaderBytes + At.Length);
  if (!Frame)
    return Frame.error();
  auto Payload = payloadAt(Frame.value(), 0);
  if (!Payload || Payload->size() != At.Length)
    return SystemError{"damaged " + Name + " at " + std::to_string(At.Offset),
                       0};
  return std::move(*Payload);
}

Result<SegmentIdentity, SystemError>
SegmentFolder::identify(std::uint64_t Segment) const {
  const std::string Name = this->segmentPath(Segment);
  SegmentIdentity Identity;
  const auto Size = this->Files.size(Name);
  if (!Size)
    return Size.error();
  Identity.Bytes = Size.value();
  if (Identity.Bytes == 0)
    return Identity;
  const auto Header = this->Files.readPart(Name, 0, HeaderBytes);
  if (!Header)
    return Header.error();
  if (Header.value().size() < HeaderBytes)
    return SystemError{"read " + Name, 0};
  Identity.FirstPayload = Fingerprint(flatbuffers::ReadScalar<std::uint64_t>(
      Header.value().data() + HashOffset));
  return Identity;
}

void SegmentFolder::remove(std::uint64_t Segment) {
  if (Segment >= this->Current)
    return;
  (void)this->Files.remove(this->segmentPath(Segment));
  this->Segments.erase(Segment);
}

} // namespace tanagerlanding
