/// \file
/// Keys of a key-value service, kept up to date by watching them.
#ifndef TANAGERLANDING_KEYVALUE_KEYWATCHER_H
#define TANAGERLANDING_KEYVALUE_KEYWATCHER_H

#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace tanagerlanding {

/// Reads all keys of a prefix, then follows their changes; where the history
/// is lost it reads them again and reports the difference. All on the loop.
class KeyWatcher {
public:
  /// Hears of keys. Each change is told once and in order.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// Changes that arrived together. Deletions carry the key only.
    virtual void onKeysChanged(const std::vector<KeyChange> &Changes) = 0;
    /// The service answers again, or for the first time; what it holds has
    /// been told.
    virtual void onServiceRegained() = 0;
    /// A call failed; what was told may be out of date.
    virtual void onServiceLost() = 0;
  };

  /// What is watched, and how.
  struct Options {
    /// Keys that begin with this are told; empty for all.
    std::string Prefix;
    /// How long a watch may wait: one that began before a change may miss it
    /// where the service forgets its history, the next one doesn't.
    Milliseconds Wait{15000};
  };

  KeyWatcher(EventLoop &Loop, KeyValueClient &Service, Options Wanted,
             Listener &Heard);
  KeyWatcher(const KeyWatcher &) = delete;
  KeyWatcher &operator=(const KeyWatcher &) = delete;

  /// Begins to read and watch.
  void start();

  /// Sets how long after an answer the next watch begins. Changes that come
  /// meanwhile are told together, for one call; none is missed.
  void setPause(Milliseconds BetweenWatches) {
    this->BetweenWatches = BetweenWatches;
  }

  /// Takes changes that another process saw. Those that are known are
  /// dropped, and so is a deletion of a key that isn't.
  void offer(const std::vector<KeyChange> &Changes);

private:
  void readPage(std::string After);
  void finishReading();
  void watch();
  void watchAfterPause();
  void handleFailure();
  void markReachable();

  KeyValueClient &Service;
  const Options Wanted;
  Listener &Heard;
  boost::asio::steady_timer Pause;
  Milliseconds BetweenWatches{0};
  /// A key as last told.
  struct Seen {
    Revision At;
    bool IsDeleted = false;
  };

  bool isNews(const KeyChange &Change) const;
  void forgetDeleted();

  /// Deleted keys stay until the watch itself is past their deletion, as
  /// other processes may still offer an older state.
  std::map<std::string, Seen> Known;
  std::map<std::string, KeyValue> Reading;
  Revision AsOf;
  bool HasRead = false;
  bool IsReachable = false;
};

} // namespace tanagerlanding

#endif
