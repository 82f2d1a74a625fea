/// \file
/// The ledger's records in a data folder.
#ifndef TANAGERLANDING_LEDGER_LEDGERFOLDER_H
#define TANAGERLANDING_LEDGER_LEDGERFOLDER_H

#include "tanagerlanding/decision/ledger/LedgerReducer.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Keeps batches of ledger records and the view that they were written under.
///
/// An ended segment gets an index without the turns' text, so that the next
/// start need not read the text again. append(), sync() and indexNext() are
/// for LedgerWriter's thread; the rest is for the loop's.
class LedgerFolder {
public:
  explicit LedgerFolder(const std::string &Path);
  LedgerFolder(const LedgerFolder &) = delete;
  LedgerFolder &operator=(const LedgerFolder &) = delete;

  /// Reads the folder and hands out each batch with its place, some without
  /// the turns' text; see IndexedBatch.
  Result<void, SystemError>
  open(const std::function<void(LedgerBatch, RecordPlace)> &Visit);

  const HolderId &holder() const { return this->Folder.holder(); }
  /// Returns the view as last written; an empty one if there is none.
  LedgerView readView() const;
  Result<void, SystemError> writeView(const LedgerView &View) const;

  /// Returns the directory as last written; an empty one if there is none.
  DirectoryChanges readDirectory() const;
  Result<void, SystemError> writeDirectory(const DirectoryChanges &Items) const;

  /// Writes a batch; it is durable after sync().
  Result<RecordPlace, SystemError> append(const LedgerBatch &Batch);
  Result<void, SystemError> sync();

  /// Writes the index of one ended segment that has none. Returns whether there
  /// was such a segment.
  Result<bool, SystemError> indexNext();

  Result<LedgerBatch, SystemError> readBatch(RecordPlace At) const;
  /// Returns the inputs and outputs of turns, one after the other.
  Result<std::string, SystemError>
  readHistory(const std::vector<std::pair<TurnId, RecordPlace>> &Turns) const;

  void remove(std::uint64_t Segment);
  /// Deletes all segments that are not in Needed.
  void removeOthers(const std::set<std::uint64_t> &Needed);

private:
  bool readIndex(std::uint64_t Segment,
                 const std::function<void(LedgerBatch, RecordPlace)> &Visit);
  Result<std::string, SystemError> makeIndex(std::uint64_t Segment);
  std::optional<std::uint64_t> nextWithoutIndex();
  void removeSegment(std::uint64_t Segment);

  SegmentFolder Folder;
  /// Segments that have an index, and those of which none can be made.
  std::set<std::uint64_t> Indexed;
  /// Segments are begun by the writer and deleted by the loop.
  std::mutex Lock;
};

/// Returns the present wall-clock time in milliseconds since the Unix epoch.
std::int64_t wallClockMillis();

} // namespace tanagerlanding

#endif
