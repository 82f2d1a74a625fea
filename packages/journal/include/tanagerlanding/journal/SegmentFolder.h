/// \file
/// Append-only segment files in a data folder.
#ifndef TANAGERLANDING_JOURNAL_SEGMENTFOLDER_H
#define TANAGERLANDING_JOURNAL_SEGMENTFOLDER_H

#include "tanagerlanding/decision/ledger/SegmentIndex.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace tanagerlanding {

/// Keeps payloads in checked frames, and the id of the folder itself.
///
/// open() reads what is there and cuts a torn end off; append() writes;
/// nothing is durable before sync(). Not for several threads at once, but
/// that read() may run beside the others for places that are durable. See
/// JournalFolder and LedgerFolder for what the payloads are.
class SegmentFolder {
public:
  /// Takes one payload found at the start; false means that it makes no sense.
  using Visitor =
      std::function<bool(const std::string &Payload, RecordPlace At)>;

  /// Hands out a segment's payloads in another way than by reading it. Returns
  /// false where that can't be done.
  using Shortcut = std::function<bool(std::uint64_t Segment)>;

  /// A segment is ended once it has SegmentBytes.
  SegmentFolder(std::string Path, std::uint64_t SegmentBytes);
  ~SegmentFolder();
  SegmentFolder(const SegmentFolder &) = delete;
  SegmentFolder &operator=(const SegmentFolder &) = delete;

  /// Reads the folder, and makes it with a new id where it is empty. Fails
  /// where the system does, and with ErrorNumber 0 where a segment other than
  /// the last is damaged. The last segment is always read whole, others only
  /// where TakeShortcut has returned false.
  Result<void, SystemError> open(
      const Visitor &Visit,
      const Shortcut &TakeShortcut = [](std::uint64_t) { return false; });

  /// Reads one ended segment.
  Result<void, SystemError> visitSegment(std::uint64_t Segment,
                                         const Visitor &Visit);

  /// Returns the folder's id, new when the folder was empty.
  const HolderId &holder() const { return this->Holder; }

  Result<RecordPlace, SystemError> append(const std::string &Payload);
  Result<void, SystemError> sync();
  Result<std::string, SystemError> read(RecordPlace At) const;
  /// Returns what tells an ended segment from others with its number.
  Result<SegmentIdentity, SystemError> identify(std::uint64_t Segment) const;

  /// Replaces a small file of the folder durably.
  Result<void, SystemError> writeFile(const std::string &Name,
                                      const std::string &Bytes) const;
  /// Returns a small file's bytes, empty where it isn't there.
  std::string readFile(const std::string &Name) const;
  /// Deletes a small file of the folder; nothing happens where it isn't there.
  void removeFile(const std::string &Name) const;

  /// Ends the present segment, so that it can be deleted later.
  Result<void, SystemError> rotate();
  /// Deletes a segment. Nothing happens to the present one, and to any while
  /// the folder is being opened.
  void remove(std::uint64_t Segment);

  std::uint64_t currentSegment() const { return this->Current; }
  const std::set<std::uint64_t> &segments() const { return this->Segments; }

private:
  Result<void, SystemError> listSegments();
  Result<void, SystemError> readHolderId();
  Result<void, SystemError> readSegment(std::uint64_t Number, bool IsLast,
                                        const Visitor &Visit);
  Result<void, SystemError> cutSegment(const std::string &Name,
                                       std::uint64_t Bytes) const;
  Result<void, SystemError> startSegment(std::uint64_t Number);
  Result<void, SystemError> syncFolder() const;
  std::string segmentPath(std::uint64_t Number) const;

  const std::string Path;
  const std::uint64_t SegmentBytes;
  HolderId Holder;
  int File = -1;
  std::uint64_t Current = 0;
  std::uint64_t CurrentBytes = 0;
  std::set<std::uint64_t> Segments;
};

} // namespace tanagerlanding

#endif
