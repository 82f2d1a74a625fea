#include "tanagerlanding/journal/SegmentFolder.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fcntl.h>
#include <flatbuffers/base.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace tanagerlanding {

namespace {

namespace fs = std::filesystem;

/// A frame: payload length (4 bytes), payload hash (8 bytes), payload.
constexpr std::size_t HeaderBytes = 12;
constexpr std::size_t HashOffset = 4;
constexpr const char *HolderFile = "holder-id";
constexpr const char *SegmentPrefix = "segment-";
constexpr const char *TemporarySuffix = ".new";
constexpr int FileMode = 0644;

SystemError lastError(const std::string &Operation) {
  return SystemError{Operation, errno};
}

/// Returns the number in the file name of a segment; absent for other files.
std::optional<std::uint64_t> segmentNumberOf(const std::string &Name) {
  const std::string Start(SegmentPrefix);
  if (Name.compare(0, Start.size(), Start) != 0)
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

SegmentFolder::SegmentFolder(std::string Path, std::uint64_t SegmentBytes)
    : Path(std::move(Path)), SegmentBytes(SegmentBytes) {}

SegmentFolder::~SegmentFolder() {
  if (this->File >= 0)
    ::close(this->File);
}

std::string SegmentFolder::segmentPath(std::uint64_t Number) const {
  return this->Path + "/" + SegmentPrefix + std::to_string(Number);
}

Result<void, SystemError> SegmentFolder::open(const Visitor &Visit,
                                              const IndexLoader &LoadIndex) {
  std::error_code Error;
  fs::create_directories(this->Path, Error);
  if (Error)
    return SystemError{"create " + this->Path, Error.value()};
  if (auto Read = this->readHolderId(); !Read)
    return Read.error();

  if (auto Listed = this->listSegments(); !Listed)
    return Listed;
  const std::set<std::uint64_t> Found = this->Segments;
  for (const std::uint64_t Number : Found) {
    const bool IsLast = Number == *Found.rbegin();
    if (!IsLast && LoadIndex(Number))
      continue;
    if (auto Read = this->readSegment(Number, IsLast, Visit); !Read)
      return Read.error();
  }
  const std::uint64_t Next =
      this->Segments.empty() ? 1 : *this->Segments.rbegin() + 1;
  return this->startSegment(Next);
}

Result<void, SystemError> SegmentFolder::listSegments() {
  std::error_code Error;
  for (const fs::directory_entry &Entry :
       fs::directory_iterator(this->Path, Error)) {
    const auto Number = segmentNumberOf(Entry.path().filename().string());
    if (Number)
      this->Segments.insert(*Number);
  }
  if (Error)
    return SystemError{"list " + this->Path, Error.value()};
  return success();
}

Result<void, SystemError> SegmentFolder::readHolderId() {
  const std::string Known = this->readFile(HolderFile);
  if (!Known.empty()) {
    this->Holder = HolderId(Known);
    return success();
  }
  const std::string Fresh =
      boost::uuids::to_string(boost::uuids::random_generator()());
  if (auto Written = this->writeFile(HolderFile, Fresh); !Written)
    return Written;
  this->Holder = HolderId(Fresh);
  return success();
}

std::string SegmentFolder::readFile(const std::string &Name) const {
  return readWhole(this->Path + "/" + Name).value_or(std::string());
}

Result<void, SystemError>
SegmentFolder::writeFile(const std::string &Name,
                         const std::string &Bytes) const {
  const std::string Final = this->Path + "/" + Name;
  const std::string Temporary = Final + TemporarySuffix;
  const int Handle =
      ::open(Temporary.c_str(), O_CREAT | O_WRONLY | O_TRUNC, FileMode);
  if (Handle < 0)
    return lastError("create " + Temporary);
  const auto Written = writeAll(Handle, Bytes);
  const bool IsSynced = ::fsync(Handle) == 0;
  ::close(Handle);
  if (!Written)
    return Written.error();
  if (!IsSynced || ::rename(Temporary.c_str(), Final.c_str()) != 0)
    return lastError("write " + Final);
  return this->syncFolder();
}

Result<void, SystemError> SegmentFolder::visitSegment(std::uint64_t Segment,
                                                      const Visitor &Visit) {
  return this->readSegment(Segment, false, Visit);
}

void SegmentFolder::removeFile(const std::string &Name) const {
  ::unlink((this->Path + "/" + Name).c_str());
}

Result<void, SystemError> SegmentFolder::readSegment(std::uint64_t Number,
                                                     bool IsLast,
                                                     const Visitor &Visit) {
  const std::string Name = this->segmentPath(Number);
  const auto Bytes = readWhole(Name);
  if (!Bytes)
    return lastError("read " + Name);
  std::size_t Offset = 0;
  while (Offset < Bytes->size()) {
    const auto Payload = payloadAt(*Bytes, Offset);
    const auto Length =
        Payload ? static_cast<std::uint32_t>(Payload->size()) : 0;
    const BatchLocation At{Number, Offset + HeaderBytes, Length};
    if (!Payload || !Visit(*Payload, At)) {
      // A torn frame at the end of the last segment was never acknowledged.
      if (!IsLast)
        return SystemError{"damaged " + Name, 0};
      return this->truncateSegment(Name, Offset);
    }
    Offset += HeaderBytes + Length;
  }
  return success();
}

/// Truncates a segment durably. This has to happen before another segment is
/// started, since a torn end in any segment but the last counts as damage.
Result<void, SystemError>
SegmentFolder::truncateSegment(const std::string &Name,
                               std::uint64_t Bytes) const {
  const int Handle = ::open(Name.c_str(), O_WRONLY);
  if (Handle < 0)
    return lastError("open " + Name);
  const bool IsCut = ::ftruncate(Handle, static_cast<off_t>(Bytes)) == 0 &&
                     ::fsync(Handle) == 0;
  ::close(Handle);
  if (!IsCut)
    return lastError("truncate " + Name);
  return success();
}

Result<void, SystemError> SegmentFolder::startSegment(std::uint64_t Number) {
  if (this->File >= 0) {
    if (::fdatasync(this->File) != 0)
      return lastError("sync segment");
    ::close(this->File);
    this->File = -1;
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

Result<void, SystemError> SegmentFolder::rotate() {
  return this->startSegment(this->Current + 1);
}

Result<void, SystemError> SegmentFolder::syncFolder() const {
  const int Handle = ::open(this->Path.c_str(), O_RDONLY | O_DIRECTORY);
  if (Handle < 0)
    return lastError("open " + this->Path);
  const bool IsSynced = ::fsync(Handle) == 0;
  ::close(Handle);
  if (!IsSynced)
    return lastError("sync " + this->Path);
  return success();
}

Result<BatchLocation, SystemError>
SegmentFolder::append(const std::string &Payload) {
  if (this->CurrentBytes >= this->SegmentBytes || this->File < 0) {
    if (auto Started = this->rotate(); !Started)
      return Started.error();
  }
  if (auto Written = writeAll(this->File, encodeFrame(Payload)); !Written) {
    // Part of the frame may have been written; no later frame may follow it.
    if (::ftruncate(this->File, static_cast<off_t>(this->CurrentBytes)) != 0) {
      ::close(this->File);
      this->File = -1;
    }
    return Written.error();
  }
  const BatchLocation At{this->Current, this->CurrentBytes + HeaderBytes,
                         static_cast<std::uint32_t>(Payload.size())};
  this->CurrentBytes += HeaderBytes + Payload.size();
  return At;
}

Result<void, SystemError> SegmentFolder::sync() {
  if (::fdatasync(this->File) != 0)
    return lastError("sync segment");
  return success();
}

Result<std::string, SystemError> SegmentFolder::read(BatchLocation At) const {
  const std::string Name = this->segmentPath(At.Segment);
  std::ifstream File(Name, std::ios::binary);
  std::string Payload(At.Length, '\0');
  File.seekg(static_cast<std::streamoff>(At.Offset));
  if (!File.read(Payload.data(), At.Length))
    return lastError("read " + Name);
  return Payload;
}

Result<SegmentIdentity, SystemError>
SegmentFolder::identify(std::uint64_t Segment) const {
  const std::string Name = this->segmentPath(Segment);
  std::ifstream File(Name, std::ios::binary);
  SegmentIdentity Identity;
  File.seekg(0, std::ios::end);
  if (!File)
    return lastError("read " + Name);
  Identity.Bytes = static_cast<std::uint64_t>(File.tellg());
  if (Identity.Bytes == 0)
    return Identity;
  std::string Header(HeaderBytes, '\0');
  File.seekg(0);
  if (!File.read(Header.data(), static_cast<std::streamsize>(Header.size())))
    return lastError("read " + Name);
  Identity.FirstPayload = Fingerprint(
      flatbuffers::ReadScalar<std::uint64_t>(Header.data() + HashOffset));
  return Identity;
}

void SegmentFolder::remove(std::uint64_t Segment) {
  if (Segment >= this->Current)
    return;
  ::unlink(this->segmentPath(Segment).c_str());
  this->Segments.erase(Segment);
}

} // namespace tanagerlanding
