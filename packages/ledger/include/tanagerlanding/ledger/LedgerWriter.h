/// \file
/// A thread that writes ledger batches with group commit.
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

/// Writes batches to a folder on its own thread, with one sync for all batches
/// that are queued, so that a slow disk does not block the event loop.
class LedgerWriter {
public:
  /// Called on the writer's thread with a LedgerBatchStored or
  /// LedgerBatchFailed event for each batch of a group.
  using Sink = std::function<void(std::vector<LedgerEvent>)>;

  LedgerWriter(LedgerFolder &Folder, Sink Report);
  ~LedgerWriter();
  LedgerWriter(const LedgerWriter &) = delete;
  LedgerWriter &operator=(const LedgerWriter &) = delete;

  void submit(PersistLedgerBatch Batch);

  /// Writes the directory after the queued batches. Replaces a directory that
  /// is still queued.
  void submitDirectory(DirectoryChanges Items);

  /// Writes the evidence against contents. Replaces one that is still queued.
  void submitSuspects(SuspectList Suspects);

private:
  void run();
  /// Waits for queued work and takes it. Returns false once the writer is
  /// stopping and the queue is empty.
  bool takeQueued();
  void writeDirectory();
  void writeSuspects();
  std::vector<LedgerEvent> writeGroup();

  LedgerFolder &Folder;
  const Sink Report;
  std::mutex Lock;
  std::condition_variable HasWork;
  std::vector<PersistLedgerBatch> Queued;
  std::optional<DirectoryChanges> QueuedDirectory;
  std::optional<SuspectList> QueuedSuspects;
  /// The work that the writer's thread has taken from the queue.
  std::vector<PersistLedgerBatch> Group;
  std::optional<DirectoryChanges> Directory;
  std::optional<SuspectList> Suspects;
  bool IsStopping = false;
  std::thread Worker;
};

} // namespace tanagerlanding

#endif
