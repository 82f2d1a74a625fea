/// \file
/// Storage of ledger records in a data folder.
#ifndef TANAGERLANDING_LEDGER_LEDGERFOLDER_H
#define TANAGERLANDING_LEDGER_LEDGERFOLDER_H

#include "tanagerlanding/decision/ledger/LedgerReducer.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Stores batches of ledger records, the last view of the membership, the last
/// state of the directory, and the evidence against contents.
///
/// Closed segments get an index without the text of their turns, so that the
/// next start need not read the text. append(), sync(), writeDirectory(),
/// writeSuspects() and indexNext() are called on LedgerWriter's thread, all
/// other functions on the event loop's thread.
class LedgerFolder {
public:
  explicit LedgerFolder(const std::string &Path,
                        FileSystem &Files = hostFileSystem());
  LedgerFolder(const LedgerFolder &) = delete;
  LedgerFolder &operator=(const LedgerFolder &) = delete;

  /// Reads the folder and calls Visit with each batch and its location.
  /// Batches of indexed segments lack the text of their turns; see
  /// IndexedBatch. Fails as SegmentFolder::open() does.
  Result<void, OpenFailure>
  open(const std::function<void(LedgerBatch, BatchLocation)> &Visit);

  /// Replaces a damaged folder by an empty one with a new holder id, which has
  /// to be opened again; see SegmentFolder::setAside().
  Result<void, SystemError> setAside(const FolderDamage &Damage);
  /// Returns what open() found.
  const FolderRecovery &recovery() const { return this->Folder.recovery(); }

  const HolderId &holder() const { return this->Folder.holder(); }
  /// Returns the view that open() has read, or an empty one.
  const LedgerView &view() const { return this->View; }
  Result<void, SystemError> writeView(const LedgerView &View) const;

  /// Returns the directory that was last written, or an empty one if there is
  /// none or it can't be read.
  DirectoryChanges readDirectory() const;
  Result<void, SystemError> writeDirectory(const DirectoryChanges &Items) const;

  /// Returns the evidence against contents that was last written, or an empty
  /// list if there is none or it can't be read.
  SuspectList readSuspects() const;
  Result<void, SystemError> writeSuspects(const SuspectList &Suspects) const;

  /// Writes a batch, which is durable after sync(). Its segment is not deleted
  /// before release().
  Result<BatchLocation, SystemError> append(const LedgerBatch &Batch);
  /// States that the owner of the folder knows an appended batch, or that it
  /// has failed.
  void release(BatchLocation Place);
  Result<void, SystemError> sync();

  /// Writes the index of one closed segment that has none. Returns whether
  /// there was such a segment.
  Result<bool, SystemError> indexNext();

  Result<LedgerBatch, SystemError> readBatch(BatchLocation At) const;
  /// Returns a turn of the batch at a location.
  Result<TurnRecord, SystemError> readTurn(const TurnId &Turn,
                                           BatchLocation At) const;
  /// Returns the concatenated inputs and outputs of turns.
  Result<std::string, SystemError>
  readHistory(const std::vector<std::pair<TurnId, BatchLocation>> &Turns) const;

  /// Deletes a segment, unless it is the current one or has batches that were
  /// not released.
  void remove(std::uint64_t Segment);
  /// Deletes all segments that are not in Needed.
  void removeOthers(const std::set<std::uint64_t> &Needed);

private:
  Result<void, OpenFailure> readView();
  template <typename Content> Content readCache(const std::string &Name) const;
  bool readIndex(std::uint64_t Segment,
                 const std::function<void(LedgerBatch, BatchLocation)> &Visit);
  Result<std::string, SystemError> makeIndex(std::uint64_t Segment);
  std::optional<std::uint64_t> nextWithoutIndex();
  void removeSegment(std::uint64_t Segment);

  SegmentFolder Folder;
  LedgerView View;
  /// Segments that have an index or for which none could be written.
  std::set<std::uint64_t> Indexed;
  /// Number of appended batches in each segment that were not released.
  std::map<std::uint64_t, std::size_t> Unreported;
  /// Guards the segments and Unreported: the writer's thread adds segments and
  /// the loop's thread deletes them.
  std::mutex Lock;
};

/// Returns the current wall-clock time in milliseconds since the Unix epoch.
std::int64_t wallClockMillis();

} // namespace tanagerlanding

#endif
