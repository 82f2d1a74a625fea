/// \file
/// A prefix of a key-value service, kept up to date by watching it.
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
    virtual void onKeysChanged(const std::string &Prefix,
                               const std::vector<KeyChange> &Changes) = 0;
    /// The service answers again, or for the first time; what it holds has
    /// been told.
    virtual void onServiceRegained(const std::string &Prefix) = 0;
    /// A call failed; what was told may be out of date.
    virtual void onServiceLost(const std::string &Prefix) = 0;
  };

  KeyWatcher(EventLoop &Loop, KeyValueClient &Service, std::string Prefix,
             Listener &Heard);
  KeyWatcher(const KeyWatcher &) = delete;
  KeyWatcher &operator=(const KeyWatcher &) = delete;

  /// Begins to read and watch.
  void start();

private:
  void readPage(std::string After);
  void finishReading();
  void watch();
  void takeChanges(const WatchPage &Page);
  void handleFailure();
  void markReachable();

  EventLoop &Loop;
  KeyValueClient &Service;
  const std::string Prefix;
  Listener &Heard;
  boost::asio::steady_timer Pause;
  /// The revision of each key as last told.
  std::map<std::string, Revision> Known;
  std::map<std::string, KeyValue> Reading;
  Revision AsOf;
  bool HasRead = false;
  bool IsReachable = false;
};

} // namespace tanagerlanding

#endif
