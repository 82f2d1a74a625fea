/// Tests what KeyWatcher reports when the service loses its history, fails, or
/// lags behind changes received from other processes.
#include "tanagerlanding/keyvalue.h"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

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
      if (this->Failures.count(this->Answers++) > 0)
        return PlatformError{PlatformError::Kind::Unreachable};
      if (this->Replies.empty()) {
        // Unlike the callback for an unavailable service, this also ends a run
        // in which no read was completed.
        this->Loop.stop();
        return PlatformError{PlatformError::Kind::Unreachable};
      }
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
  void onQueryStarted() override { this->QueryTimes.push_back(Loop.now()); }
  void onContentConfirmed(Instant AskedAt) override {
    this->Confirmed.push_back(AskedAt);
    this->ConfirmedAfter.push_back(this->Notifications.size());
  }
  void onConfirmationFailed() override { ++this->FailedConfirmations; }
  void onServiceAvailable() override {
    ++this->AvailableCount;
    if (this->IsConfirmedWhenAvailable)
      this->Watcher.confirmNow();
  }
  void onServiceUnavailable() override { ++this->UnavailableCount; }

  void onHistoryLost() override { ++this->HistoryLosses; }
  void onOutdatedChange(const KeyChange &Change) override {
    this->Outdated.push_back(Change.Item.Key + "=" + Change.Item.Value);
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
  /// The numbers of answers that fail although further ones are scripted.
  std::set<std::size_t> Failures;
  std::size_t Answers = 0;
  std::deque<KeyValueReply> Replies;
  std::vector<std::string> Notifications;
  std::vector<Instant> QueryTimes;
  std::vector<Instant> Confirmed;
  /// The number of notifications before each confirmation.
  std::vector<std::size_t> ConfirmedAfter;
  int AvailableCount = 0;
  int UnavailableCount = 0;
  int HistoryLosses = 0;
  int FailedConfirmations = 0;
  bool IsConfirmedWhenAvailable = false;
  std::vector<std::string> Outdated;
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

TEST_CASE("Watcher: an answer confirms the content as of when its query was "
          "sent, after its changes") {
  constexpr Milliseconds Delay{30};
  WatcherFixture Fixture;
  Fixture.Watcher.setWatchDelay(Delay);
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, true, Revision(9)},
       RangePage{{WatcherFixture::item("b", "2", 4)}, false, Revision(10)},
       WatchPage{{KeyChange{WatcherFixture::item("a", "5", 11), false}},
                 Revision(11),
                 false},
       WatchPage{{}, Revision(11), false}});
  // The pages of the read are one query. The last query is not answered.
  REQUIRE(Fixture.QueryTimes.size() == 4);
  REQUIRE(Fixture.Confirmed.size() == 3);
  for (std::size_t Number = 0; Number < 3; ++Number) {
    const Milliseconds Difference =
        Fixture.QueryTimes[Number] - Fixture.Confirmed[Number];
    CHECK(Milliseconds(0) <= Difference);
    CHECK(Difference <= Milliseconds(5));
  }
  CHECK(Delay <= Fixture.Confirmed[2] - Fixture.Confirmed[1]);
  CHECK(Fixture.ConfirmedAfter == std::vector<std::size_t>{2, 3, 3});
}

// An interrupted watch, or one whose history is lost, may have missed changes.
TEST_CASE("Watcher: errors, interrupted calls and a lost history confirm "
          "nothing") {
  WatcherFixture Fixture;
  SECTION("the first read is interrupted") {
    Fixture.runWithReplies({});
    CHECK(Fixture.Confirmed.empty());
  }
  SECTION("a later page is missing") {
    Fixture.runWithReplies(
        {RangePage{{WatcherFixture::item("a", "1", 3)}, true, Revision(9)}});
    CHECK(Fixture.Confirmed.empty());
  }
  SECTION("the watch is interrupted") {
    Fixture.runWithReplies({RangePage{{}, false, Revision(9)}});
    CHECK(Fixture.Confirmed.size() == 1);
  }
  SECTION("the history is lost and the read that follows is interrupted") {
    Fixture.runWithReplies(
        {RangePage{{}, false, Revision(9)}, WatchPage{{}, Revision(), true}});
    CHECK(Fixture.Confirmed.size() == 1);
  }
}

// A lagging copy of the service may answer from before a known change.
TEST_CASE("Watcher: an answer from an older state than is known confirms "
          "nothing") {
  WatcherFixture Fixture;
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "2", 11), false}});
  SECTION("a read") {
    Fixture.runWithReplies({RangePage{{}, false, Revision(10)}});
    CHECK(Fixture.Confirmed.empty());
  }
  SECTION("a watch") {
    Fixture.runWithReplies({RangePage{{}, false, Revision(11)},
                            WatchPage{{}, Revision(10), false},
                            WatchPage{{}, Revision(11), false}});
    CHECK(Fixture.Confirmed.size() == 2);
  }
}

TEST_CASE("Watcher: reports that it may have missed states of keys, as the "
          "service has lost its history") {
  WatcherFixture Fixture;
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(9)},
       WatchPage{{}, Revision(), true},
       RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(20)}});
  CHECK(Fixture.HistoryLosses == 1);
}

TEST_CASE("Watcher: reports a state that another process has overtaken, as it "
          "was in force for some time") {
  WatcherFixture Fixture;
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(9)}});
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "3", 12), false}});
  Fixture.Notifications.clear();
  Fixture.Watcher.applyChanges(
      {KeyChange{WatcherFixture::item("a", "2", 11), false}});
  CHECK(Fixture.Notifications.empty());
  CHECK(Fixture.Outdated == Texts{"a=2"});
}

TEST_CASE(
    "Watcher: reads all keys again if a later page of a read fails, as it "
    "has delivered none") {
  WatcherFixture Fixture;
  Fixture.Failures = {3};
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(9)},
       WatchPage{{}, Revision(), true},
       RangePage{{WatcherFixture::item("a", "1", 3)}, true, Revision(20)},
       RangePage{{WatcherFixture::item("a", "1", 3)}, true, Revision(21)},
       RangePage{{WatcherFixture::item("b", "2", 14)}, false, Revision(21)}});
  CHECK(Fixture.Notifications == Texts{"a=1", "b=2"});
}

TEST_CASE("Watcher: confirms the content by a query that does not wait, beside "
          "the watch") {
  WatcherFixture Fixture;
  Fixture.IsConfirmedWhenAvailable = true;
  const WatchPage Page{{KeyChange{WatcherFixture::item("a", "2", 11), false}},
                       Revision(11),
                       false};
  Fixture.runWithReplies(
      {RangePage{{WatcherFixture::item("a", "1", 3)}, false, Revision(9)}, Page,
       Page});
  const auto &Query = std::get<WatchRange>(Fixture.Operations.at(1));
  CHECK(Query.After == Revision(9));
  CHECK(Query.Timeout < Milliseconds(10));
  CHECK(std::get<WatchRange>(Fixture.Operations.at(2)).Timeout ==
        Milliseconds(1000));
  CHECK(Fixture.Notifications == Texts{"a=1", "a=2"});
  CHECK(Fixture.Confirmed.size() == 3);
  CHECK(Fixture.FailedConfirmations == 0);
}

TEST_CASE("Watcher: a query beside the watch confirms nothing without the "
          "changes since the last answer") {
  WatcherFixture Fixture;
  SECTION("the history is lost") {
    Fixture.IsConfirmedWhenAvailable = true;
    const WatchPage Lost{{}, Revision(), true};
    Fixture.runWithReplies({RangePage{{}, false, Revision(9)}, Lost, Lost});
    CHECK(Fixture.Confirmed.size() == 1);
  }
  SECTION("the keys are being read") {
    Fixture.Replies = {RangePage{{}, false, Revision(9)}};
    Fixture.Watcher.start();
    Fixture.Watcher.confirmNow();
    Fixture.Loop.run();
    CHECK(std::holds_alternative<ReadRange>(Fixture.Operations.at(0)));
    CHECK(Fixture.Confirmed.size() == 1);
  }
  CHECK(Fixture.FailedConfirmations == 1);
}
