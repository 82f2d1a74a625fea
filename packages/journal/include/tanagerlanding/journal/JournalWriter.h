/// \file
/// A thread that writes journal batches with group commit.
#ifndef TANAGERLANDING_JOURNAL_JOURNALWRITER_H
#define TANAGERLANDING_JOURNAL_JOURNALWRITER_H

#include "tanagerlanding/journal/JournalFolder.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace tanagerlanding {

/// Performs a holder's effects on a journal folder on its own thread, with one
/// sync for all effects that are queued.
class JournalWriter {
public:
  /// Called on the writer's thread with an event for the holder.
  using EventSink = std::function<void(HolderEvent)>;
  /// Called on the writer's thread with a message for the entry on a host.
  using MessageSink = std::function<void(HostId, Message)>;

  JournalWriter(JournalFolder &Folder, EventSink Events, MessageSink Messages);
  ~JournalWriter();
  JournalWriter(const JournalWriter &) = delete;
  JournalWriter &operator=(const JournalWriter &) = delete;

  /// Queues an effect. Ignores SendFromHolder, which concerns no folder.
  void submit(HolderEffect Effect);

private:
  class GroupCommit;

  void run();
  std::vector<HolderEffect> takeQueued();

  JournalFolder &Folder;
  const EventSink Events;
  const MessageSink Messages;
  std::mutex Lock;
  std::condition_variable HasWork;
  std::vector<HolderEffect> Queued;
  bool IsStopping = false;
  std::thread Worker;
};

} // namespace tanagerlanding

#endif
