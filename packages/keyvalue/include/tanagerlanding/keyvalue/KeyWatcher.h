/// \file
/// Keeps a local view of keys in a key-value service up to date.
#ifndef TANAGERLANDING_KEYVALUE_KEYWATCHER_H
#define TANAGERLANDING_KEYVALUE_KEYWATCHER_H

#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace tanagerlanding {

/// Reads all keys with a prefix, then watches them for changes. If the service
/// has compacted the history, it reads all keys again and reports the
/// differences. Runs on the event loop only.
class KeyWatcher {
public:
  /// Receives key changes. Each change is delivered once and in order.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// Called with changes that arrived together. Deletions carry only the
    /// key.
    virtual void onKeysChanged(const std::vector<KeyChange> &Changes) = 0;
    /// Called when the service answers again or for the first time, after
    /// its current content has been delivered.
    virtual void onServiceAvailable() = 0;
    /// Called when a call fails; the content delivered so far may be out of
    /// date.
    virtual void onServiceUnavailable() = 0;
    /// Called just before a watch or the first page of a read is sent.
    virtual void onQueryStarted() {}
    /// Called once the changes in the answer to that query have been delivered:
    /// everything that the service had confirmed before AskedAt, the time of
    /// onQueryStarted(), has been delivered. Not called for a query that was
    /// not answered, reports a lost history, or was answered from an old state.
    virtual void onContentConfirmed(Instant AskedAt) { (void)AskedAt; }
    /// Called if a query of confirmNow() has confirmed nothing.
    virtual void onConfirmationFailed() {}
    /// Called when the service has lost its history: keys may have had states
    /// that are not reported.
    virtual void onHistoryLost() {}
    /// Called with a state in which a key was before the last reported one,
    /// which another process reported first.
    virtual void onOutdatedChange(const KeyChange & /*Change*/) {}
  };

  /// Configures which keys are watched and how.
  struct Options {
    /// Only keys with this prefix are reported; empty for all keys.
    std::string Prefix;
    /// Timeout of one watch. A watch that began before a change may miss it
    /// if the service compacts its history; the next watch doesn't.
    Milliseconds WatchTimeout{15000};
  };

  KeyWatcher(EventLoop &Loop, KeyValueClient &Service, Options Settings,
             Listener &Callbacks);
  KeyWatcher(const KeyWatcher &) = delete;
  KeyWatcher &operator=(const KeyWatcher &) = delete;

  /// Starts reading and watching.
  void start();

  /// Sets the delay between the answer to a watch and the next watch. Changes
  /// that occur during the delay are reported together by one call; none is
  /// missed.
  void setWatchDelay(Milliseconds WatchDelay) { this->WatchDelay = WatchDelay; }

  /// Asks the service for changes at once, beside a watch that may wait. Calls
  /// onContentConfirmed() or onConfirmationFailed() later.
  void confirmNow();

  /// Applies changes observed by another process. Ignores changes that are
  /// already known and deletions of unknown keys.
  void applyChanges(const std::vector<KeyChange> &Changes);

private:
  /// When a watch or read was sent, and NewestRevision at that time.
  struct Query {
    Instant AskedAt;
    Revision Known;
  };

  /// Returns a query that is sent now.
  Query makeQuery() const;
  void startQuery();
  /// Reports that the content is complete, unless the query was answered from
  /// an older state than was known when it was sent. Returns whether it was
  /// reported.
  bool confirmContent(const Query &Asked, Revision AnsweredAs);
  void failConfirmation();
  void readPage(std::string After);
  void finishReading();
  void watch();
  void scheduleWatch();
  void handleFailure();
  void markReachable();

  EventLoop &Loop;
  KeyValueClient &Service;
  const Options Settings;
  Listener &Callbacks;
  boost::asio::steady_timer DelayTimer;
  Milliseconds WatchDelay{0};
  /// The last reported state of a key.
  struct KnownKey {
    Revision ModRevision;
    bool IsDeleted = false;
  };

  bool isNewer(const KeyChange &Change) const;
  /// Returns whether a newer state of the change's key was reported before it.
  bool isOvertaken(const KeyChange &Change) const;
  void evictDeleted();

  /// Deleted keys are retained until the watch has passed the revision of
  /// their deletion, since other processes may still send an older state.
  std::map<std::string, KnownKey> KnownKeys;
  std::map<std::string, KeyValue> PendingItems;
  Revision AsOf;
  /// The newest revision known from any source.
  Revision NewestRevision;
  /// The present watch or read, other than those of confirmNow().
  Query Present;
  bool HasCompletedRead = false;
  /// Whether the keys are being read, for the first time or again.
  bool IsReading = false;
  bool IsReachable = false;
};

} // namespace tanagerlanding

#endif
