/// Tests what KeyWatcher reports when the service loses its history, fails, or
/// lags behind changes received from other processes.
#include "tanagerlanding/keyvalue.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace tanagerlanding;

namespace {

/// A watcher whose dialect returns scripted replies. The HTTP calls go to a
/// closed port; only their number and order matter.
class WatcherFixture : public KeyWatcher::Listener {
public:
  WatcherFixture()
      : Service(Loop, "http://127.0.0.1:1", makeDialect()),
        Watcher(Loop, Service, {"", Milliseconds(1000)}, *this) {}

  KeyValueDialect makeDialect() {
    KeyValueDialect Dialect;
    Dialect.Encode = [this](const KeyValueOperation &Operation)
        -> Result<KeyValueCall, PlatformError> {
      this->Operations.push_back(Operation);
      return KeyValueCall{"GET", "/", ""};
    };
    Dialect.Decode =
        [this](const KeyValueOperation &,
               const HttpOutcome &) -> Result<KeyValueReply, PlatformError> {
      if (this->Replies.empty())
        return PlatformError{PlatformError::Kind::Unreachable};
      KeyValueReply Reply = std::move(this->Replies.front());
      this->Replies.pop_front();
      return Reply;
    };
    return Dialect;
  }

  void onKeysChanged(const std::vector<KeyChange> &Changes) override {
    for (const KeyChange &Each : Changes)
      this->Notifications.push_back(
          Each.Item.Key + (Each.IsDeleted ? "-" : "=") + Each.Item.Value);
  }
  void onServiceAvailable() override { ++this->AvailableCount; }
  void onServiceUnavailable() override {
    ++this->UnavailableCount;
    this->Loop.stop();
  }

  static KeyValue item(const std::string &Key, const std::string &Value,
                       std::int64_t At) {
    return KeyValue{Key, Value, Revision(At)};
  }

  /// Runs the watcher with these replies; the service becomes unreachable
  /// after the last one.
  void runWithReplies(std::deque<KeyValueReply> Scripted) {
    this->Replies = std::move(Scripted);
    this->Watcher.start();
    this->Loop.run();
  }

  EventLoop Loop;
  std::vector<KeyValueOperation> Operations;
  std::deque<KeyValueReply> Replies;
  std::vector<std::string> Notifications;
  int AvailableCount = 0;
  int UnavailableCount = 0;
  KeyValueClient Service;
  KeyWatcher Watcher;
};

using Texts = std::vector<std::string>;

} // namespace

TEST_CASE("Watcher: reads all pages, then follows changes") {
  WatcherFixture Fixture;
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, true, Revision(9)},
       RangePage{{WatcherFixture::item("b", "2", 4)}, false, Revision(10)},
       WatchPage{{KeyChange{WatcherFixture::item("a", "5", 11), false},
                  KeyChange{WatcherFixture::item("b", "", 12), true}},
                 Revision(12),
                 false}});
  CHECK(Fixture.Notifications == Texts{"a=1", "b=2", "a=5", "b-"});
  CHECK(Fixture.AvailableCount == 1);
  CHECK(Fixture.UnavailableCount == 1);
  // The watch starts at the first page's revision, as the pages are not a
  // consistent snapshot.
  CHECK(std::get<WatchRange>(Fixture.Operations.at(2)).After == Revision(9));
}

TEST_CASE(
    "Watcher: rereads all keys after a lost history and finds deletions") {
  WatcherFixture Fixture;
  Fixture.runWithReplies({RangePage{{WatcherFixture::item("a", "1", 3),
                                     WatcherFixture::item("b", "2", 4)},
                                    false,
                                    Revision(9)},
                          WatchPage{{}, Revision(), true},
                          RangePage{{WatcherFixture::item("b", "2", 4),
                                     WatcherFixture::item("c", "3", 14)},
                                    false,
                                    Revision(20)}});
  CHECK(Fixture.Notifications == Texts{"a=1", "b=2", "a-", "c=3"});
}

TEST_CASE("Watcher: applies offered changes once and ignores outdated ones") {
  WatcherFixture Fixture;
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(9)}});
  Fixture.Notifications.clear();
  // A key deleted before the read, and an older revision of a known key.
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("gone", "x", 5), false}});
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "0", 2), false}});
  CHECK(Fixture.Notifications.empty());
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "2", 11), false}});
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "2", 11), false}});
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "", 12), true}});
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "2", 11), false}});
  CHECK(Fixture.Notifications == Texts{"a=2", "a-"});
}

TEST_CASE("Watcher: waits for the configured delay between watches") {
  constexpr Milliseconds Delay{40};
  WatcherFixture Fixture;
  Fixture.Watcher.setWatchDelay(Delay);
  const auto Change = [](const char *Value, std::int64_t At) {
    return KeyChange{WatcherFixture::item("a", Value, At), false};
  };
  const Instant Start = Fixture.Loop.now();
  Fixture.runWithReplies({RangePage{{}, false, Revision(1)},
                          WatchPage{{Change("2", 2)}, Revision(2), false},
                          WatchPage{{Change("3", 3)}, Revision(3), false},
                          WatchPage{{Change("4", 4)}, Revision(4), false}});
  CHECK(Fixture.Notifications == Texts{"a=2", "a=3", "a=4"});
  CHECK(Delay * 3 <= Fixture.Loop.now() - Start);
}
