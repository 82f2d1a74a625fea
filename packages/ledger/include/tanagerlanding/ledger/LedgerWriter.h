/// \file
/// A thread that makes ledger batches durable in groups.
#ifndef TANAGERLANDING_LEDGER_LEDGERWRITER_H
#define TANAGERLANDING_LEDGER_LEDGERWRITER_H

#include "tanagerlanding/ledger/LedgerFolder.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace tanagerlanding {

/// Writes batches to a folder on a thread of its own, with one sync for all
/// that has gathered, so that a slow disk never holds up the loop.
class LedgerWriter {
public:
  /// Called on the writer's thread with LedgerBatchStored or
  /// LedgerBatchFailed, for all batches of a group.
  using Sink = std::function<void(std::vector<LedgerEvent>)>;

  LedgerWriter(LedgerFolder &Folder, Sink Report);
  ~LedgerWriter();
  LedgerWriter(const LedgerWriter &) = delete;
  LedgerWriter &operator=(const LedgerWriter &) = delete;

  void submit(PersistLedgerBatch Batch);

  /// Writes the directory after the batches at hand; a later one replaces one
  /// that still waits.
  void submitDirectory(DirectoryChanges Items);

private:
  void work();
  /// Waits for work; nothing is left once the writer stops.
  bool takeQueued();
  void writeDirectory();
  std::vector<LedgerEvent> writeGroup();

  LedgerFolder &Folder;
  const Sink Report;
  std::mutex Lock;
  std::condition_variable HasWork;
  std::vector<PersistLedgerBatch> Queued;
  std::optional<DirectoryChanges> QueuedDirectory;
  /// What the writer's thread has taken.
  std::vector<PersistLedgerBatch> Group;
  std::optional<DirectoryChanges> Directory;
  bool IsStopping = false;
  std::thread Worker;
};

} // namespace tanagerlanding

#endif
