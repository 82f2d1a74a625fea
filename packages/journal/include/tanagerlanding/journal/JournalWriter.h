/// \file
/// A thread that makes batches durable in groups.
#ifndef TANAGERLANDING_JOURNAL_JOURNALWRITER_H
#define TANAGERLANDING_JOURNAL_JOURNALWRITER_H

#include "tanagerlanding/journal/JournalFolder.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace tanagerlanding {

/// Performs a holder's effects on a journal folder, on a thread of its own,
/// with one sync for all that has gathered.
class JournalWriter {
public:
  /// Called on the writer's thread with what is to be handed to the holder.
  using EventSink = std::function<void(HolderEvent)>;
  /// Called on the writer's thread with a message for the entry on a host.
  using MessageSink = std::function<void(HostId, Message)>;

  JournalWriter(JournalFolder &Folder, EventSink Events, MessageSink Messages);
  ~JournalWriter();
  JournalWriter(const JournalWriter &) = delete;
  JournalWriter &operator=(const JournalWriter &) = delete;

  /// Hands in an effect; SendFromHolder is not for here and is ignored.
  void submit(HolderEffect Effect);

private:
  class Performer;

  void work();
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
