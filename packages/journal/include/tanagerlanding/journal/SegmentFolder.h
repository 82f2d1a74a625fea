/// \file
/// Append-only segment files in a data folder.
#ifndef TANAGERLANDING_JOURNAL_SEGMENTFOLDER_H
#define TANAGERLANDING_JOURNAL_SEGMENTFOLDER_H

#include "tanagerlanding/decision/ledger/SegmentIndex.h"
#include "tanagerlanding/journal/FileSystem.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A file of a data folder that can't be read back as it was stored.
struct FolderDamage {
  enum class Kind {
    /// A frame is incomplete or does not match its checksum.
    Corrupt,
    /// The disk reports an error.
    Unreadable,
  };

  Kind Reason = Kind::Corrupt;
  std::string File;
  /// The place of the damage, and the number of bytes from there to the end of
  /// the file.
  std::uint64_t Offset = 0;
  std::uint64_t Bytes = 0;

  /// Returns the names and values of a log line.
  std::vector<std::pair<std::string, std::string>> logFields() const;
};

/// Why a data folder can't be opened.
using OpenFailure = std::variant<SystemError, FolderDamage>;

/// Returns the failure as one of a system call, with ErrorNumber 0 for damage.
SystemError asSystemError(const OpenFailure &Failure);

/// What a start found in a data folder.
struct FolderRecovery {
  /// The end of the last segment that was cut off, since it held no whole
  /// frame.
  struct Cut {
    std::uint64_t Segment = 0;
    std::uint64_t Offset = 0;
    std::uint64_t Bytes = 0;
  };

  std::size_t Segments = 0;
  std::optional<Cut> TornEnd;

  /// Returns the names and values of a log line.
  std::vector<std::pair<std::string, std::string>> logFields() const;
};

/// Stores payloads in frames with checksums, and the id of the folder.
///
/// open() reads the existing segments, truncates a torn end, and makes what it
/// has read durable; append() writes; nothing is durable before sync(). Not
/// thread-safe, except that read() may run concurrently with the other
/// functions for payloads that are durable. JournalFolder and LedgerFolder
/// define the payloads.
class SegmentFolder {
public:
  /// Receives a payload that was read. Returns false if it can't be decoded,
  /// which ends open() with an error and changes nothing.
  using Visitor =
      std::function<bool(const std::string &Payload, BatchLocation At)>;

  /// Loads a segment from its index instead of its payloads. Returns false if
  /// it has no valid index.
  using IndexLoader = std::function<bool(std::uint64_t Segment)>;

  /// A segment is closed once it has SegmentBytes.
  SegmentFolder(std::string Path, std::uint64_t SegmentBytes,
                FileSystem &Files = hostFileSystem());
  ~SegmentFolder();
  SegmentFolder(const SegmentFolder &) = delete;
  SegmentFolder &operator=(const SegmentFolder &) = delete;

  /// Reads the folder, or creates it with a new id if it is empty. Fails with
  /// FolderDamage if a file other than the torn end of the last segment is
  /// damaged; the payloads that were visited are then incomplete. The last
  /// segment is always read as a whole, others only if LoadIndex returns false.
  Result<void, OpenFailure> open(
      const Visitor &Visit,
      const IndexLoader &LoadIndex = [](std::uint64_t) { return false; });

  /// Prepares a damaged folder for another open(), which finds it empty and
  /// with a new id, as after the loss of the disk. The files are kept under
  /// names that begin with "damaged-" and replace earlier ones.
  Result<void, SystemError> setAside(const FolderDamage &Damage);

  /// Returns what open() found.
  const FolderRecovery &recovery() const { return this->Recovery; }

  /// Reads one closed segment.
  Result<void, OpenFailure> visitSegment(std::uint64_t Segment,
                                         const Visitor &Visit);

  /// Returns the folder's id, which open() creates if the folder is empty.
  const HolderId &holder() const { return this->Holder; }

  Result<BatchLocation, SystemError> append(const std::string &Payload);
  /// Makes all payloads durable that were appended. Fails if one of those since
  /// the last call was lost, also if later ones are durable.
  Result<void, SystemError> sync();
  /// Returns a payload. Fails with ErrorNumber 0 if it is damaged.
  Result<std::string, SystemError> read(BatchLocation At) const;
  /// Returns the identity of a closed segment, which distinguishes it from
  /// others with the same number.
  Result<SegmentIdentity, SystemError> identify(std::uint64_t Segment) const;

  /// Replaces a small file of the folder atomically and durably.
  Result<void, SystemError> writeFile(const std::string &Name,
                                      const std::string &Bytes) const;
  /// Returns the bytes of a small file, which are empty if it doesn't exist.
  Result<std::string, OpenFailure> readFile(const std::string &Name) const;
  /// Deletes a small file of the folder if it exists.
  void removeFile(const std::string &Name) const;

  /// Closes the current segment and starts the next, so that the closed one can
  /// be deleted later.
  Result<void, SystemError> rotate();
  /// Deletes a segment. Does nothing for the current segment, or while the
  /// folder is being opened.
  void remove(std::uint64_t Segment);

  std::uint64_t currentSegment() const { return this->Current; }
  const std::set<std::uint64_t> &segments() const { return this->Segments; }

private:
  Result<void, SystemError> listSegments();
  Result<void, OpenFailure> readHolderId();
  Result<void, SystemError> createHolderId();
  Result<void, OpenFailure> readSegment(std::uint64_t Number, bool IsLast,
                                        const Visitor &Visit);
  Result<std::string, OpenFailure> readStored(const std::string &Name) const;
  Result<void, SystemError> moveFilesAside();
  Result<void, OpenFailure> resumeSettingAside();
  Result<void, SystemError> settleLastSegment(std::uint64_t Number,
                                              const std::string &Frames);
  Result<void, SystemError> startSegment(std::uint64_t Number);
  Result<void, SystemError> writeAll(FileHandle Target,
                                     std::string_view Bytes) const;
  Result<void, SystemError> overwrite(const std::string &File,
                                      const std::string &Bytes) const;
  Result<void, SystemError> syncFolder() const;
  Result<void, SystemError> cutRemains();
  Result<void, SystemError> makeDurable();
  void closeCurrent();
  std::string filePath(const std::string &Name) const;
  std::string segmentPath(std::uint64_t Number) const;

  const std::string Path;
  const std::uint64_t SegmentBytes;
  FileSystem &Files;
  HolderId Holder;
  FolderRecovery Recovery;
  /// The current segment.
  std::optional<FileHandle> File;
  std::uint64_t Current = 0;
  /// Bytes of whole frames in the current segment, and of those that are
  /// durable.
  std::uint64_t CurrentBytes = 0;
  std::uint64_t DurableBytes = 0;
  /// Whether the current segment has bytes of failed frames behind its whole
  /// ones.
  bool HasRemains = false;
  bool IsNameDurable = false;
  /// The cause for which frames since the last sync() were lost.
  std::optional<SystemError> LostFrames;
  std::set<std::uint64_t> Segments;
};

} // namespace tanagerlanding

#endif
