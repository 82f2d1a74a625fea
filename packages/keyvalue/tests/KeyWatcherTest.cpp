/// Tests what KeyWatcher reports when the service loses its history, fails, or
/// lags behind changes received from other processes.
#include "tanagerlanding/keyvalue.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace tanagerlanding;

namespace {

/// A watcher whose dialect returns scripted replies. The HTTP calls go to a
/// closed port; only their number and order matter.
class WatchWorld : public KeyWatcher::Listener {
public:
  WatchWorld()
      : Service(Loop, "http://127.0.0.1:1", makeDialect()),
        Watcher(Loop, Service, {"", Milliseconds(1000)}, *this) {}

  KeyValueDialect makeDialect() {
    KeyValueDialect Dialect;
    Dialect.Encode = [this](const KeyValueOperation &Operation)
        -> Result<KeyValueCall, PlatformError> {
      this->Asked.push_back(Operation);
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
      this->Told.push_back(Each.Item.Key + (Each.IsDeleted ? "-" : "=") +
                           Each.Item.Value);
  }
  void onServiceRegained() override { ++this->Regained; }
  void onServiceLost() override {
    ++this->Lost;
    this->Loop.stop();
  }

  static KeyValue item(const std::string &Key, const std::string &Value,
                       std::int64_t At) {
    return KeyValue{Key, Value, Revision(At)};
  }

  /// Runs the watcher with these replies; the service becomes unreachable
  /// after the last one.
  void play(std::deque<KeyValueReply> Wanted) {
    this->Replies = std::move(Wanted);
    this->Watcher.start();
    this->Loop.run();
  }

  EventLoop Loop;
  std::vector<KeyValueOperation> Asked;
  std::deque<KeyValueReply> Replies;
  std::vector<std::string> Told;
  int Regained = 0;
  int Lost = 0;
  KeyValueClient Service;
  KeyWatcher Watcher;
};

using Texts = std::vector<std::string>;

} // namespace

TEST_CASE("Watcher: reads all pages, then follows changes") {
  WatchWorld World;
  World.play({RangePage{{WatchWorld::item("a", "1", 3)}, true, Revision(9)},
              RangePage{{WatchWorld::item("b", "2", 4)}, false, Revision(10)},
              WatchPage{{KeyChange{WatchWorld::item("a", "5", 11), false},
                         KeyChange{WatchWorld::item("b", "", 12), true}},
                        Revision(12),
                        false}});
  CHECK(World.Told == Texts{"a=1", "b=2", "a=5", "b-"});
  CHECK(World.Regained == 1);
  CHECK(World.Lost == 1);
  // The watch starts at the first page's revision, as the pages are not a
  // consistent snapshot.
  CHECK(std::get<WatchRange>(World.Asked.at(2)).After == Revision(9));
}

TEST_CASE(
    "Watcher: rereads all keys after a lost history and finds deletions") {
  WatchWorld World;
  World.play(
      {RangePage{{WatchWorld::item("a", "1", 3), WatchWorld::item("b", "2", 4)},
                 false,
                 Revision(9)},
       WatchPage{{}, Revision(), true},
       RangePage{
           {WatchWorld::item("b", "2", 4), WatchWorld::item("c", "3", 14)},
           false,
           Revision(20)}});
  CHECK(World.Told == Texts{"a=1", "b=2", "a-", "c=3"});
}

TEST_CASE("Watcher: applies offered changes once and ignores outdated ones") {
  WatchWorld World;
  World.play({RangePage{{WatchWorld::item("a", "1", 3)}, false, Revision(9)}});
  World.Told.clear();
  // A key deleted before the read, and an older revision of a known key.
  World.Watcher.offer({KeyChange{WatchWorld::item("gone", "x", 5), false}});
  World.Watcher.offer({KeyChange{WatchWorld::item("a", "0", 2), false}});
  CHECK(World.Told.empty());
  World.Watcher.offer({KeyChange{WatchWorld::item("a", "2", 11), false}});
  World.Watcher.offer({KeyChange{WatchWorld::item("a", "2", 11), false}});
  World.Watcher.offer({KeyChange{WatchWorld::item("a", "", 12), true}});
  World.Watcher.offer({KeyChange{WatchWorld::item("a", "2", 11), false}});
  CHECK(World.Told == Texts{"a=2", "a-"});
}

TEST_CASE("Watcher: waits for the configured delay between watches") {
  constexpr Milliseconds Pause{40};
  WatchWorld World;
  World.Watcher.setPause(Pause);
  const auto Change = [](const char *Value, std::int64_t At) {
    return KeyChange{WatchWorld::item("a", Value, At), false};
  };
  const Instant Start = World.Loop.now();
  World.play({RangePage{{}, false, Revision(1)},
              WatchPage{{Change("2", 2)}, Revision(2), false},
              WatchPage{{Change("3", 3)}, Revision(3), false},
              WatchPage{{Change("4", 4)}, Revision(4), false}});
  CHECK(World.Told == Texts{"a=2", "a=3", "a=4"});
  CHECK(Pause * 3 <= World.Loop.now() - Start);
}
