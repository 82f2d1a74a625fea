/// \file
/// Program histories are durable, ordered and isolated from each other. Guards
/// against turns that are lost, reordered, duplicated or attributed to another
/// program when owners or replicas fail during or between turns.
#include "Site.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>
#include <thread>

using namespace tanagerlanding::test;

namespace {

constexpr std::chrono::seconds TakeoverLimit{30};

/// A program whose every turn is checked against all previous turns.
class Conversation {
public:
  Conversation(Site &Deployment, std::string Id)
      : Deployment(Deployment), Sender{std::move(Id)} {}

  /// Takes the next turn through entry Via and checks the response.
  void takeTurn(unsigned Via) {
    CHECK_THAT(this->describeTurnFault(Via), Catch::Matchers::Equals(""));
  }

  /// Takes the next turn through entry Via and retries it while it is refused.
  /// The response carries the number of messages that the engine received.
  /// Returns a description of a wrong response, or an empty string.
  std::string describeTurnFault(unsigned Via) {
    ++this->Turns;
    const std::string Content =
        this->Sender.Id + " turn " + std::to_string(this->Turns);
    const Response Result = sendWithRetry(
        chatRequest(this->Deployment.httpPort(Via), this->Sender, Content,
                    "turn-" + std::to_string(this->Turns)),
        nullptr, TakeoverLimit);
    const std::string Expected =
        "re[" + std::to_string(2 * this->Turns - 1) + "]: " + Content;
    if (Result.content().find(Expected) == 0)
      return std::string();
    return "expected " + Expected + ", got " + std::to_string(Result.Status) +
           " " + Result.Body;
  }

  const std::string &id() const { return this->Sender.Id; }

private:
  Site &Deployment;
  const Program Sender;
  int Turns = 0;
};

/// Returns an entry other than A and B.
unsigned otherEntry(unsigned A, unsigned B) {
  for (unsigned Entry = 0; Entry < 3; ++Entry) {
    if (Entry != A && Entry != B)
      return Entry;
  }
  return 0;
}

} // namespace

TEST_CASE("Proof03: owners are killed between turns, one after the other") {
  Site Deployment;
  Conversation Log(Deployment, "log-1");
  Log.takeTurn(0);
  for (int Round = 0; Round < 4; ++Round) {
    const unsigned Owner = Deployment.ownerOf(Log.id(), 0);
    const unsigned Via = otherEntry(Owner, Owner);
    Deployment.process(Site::entryName(Owner)).kill();
    Log.takeTurn(Via);
    Deployment.restart(Site::entryName(Owner));
    REQUIRE(Deployment.awaitReady());
    Log.takeTurn(Owner);
  }
}

TEST_CASE("Proof03: the owner is killed within a turn") {
  Site Deployment;
  Conversation Log(Deployment, "log-1");
  for (int Round = 0; Round < 4; ++Round) {
    Log.takeTurn(0);
    const unsigned Owner = Deployment.ownerOf(Log.id(), 0);
    const unsigned Via = otherEntry(Owner, Owner);
    auto Turn = std::async(std::launch::async,
                           [&] { return Log.describeTurnFault(Via); });
    std::this_thread::sleep_for(std::chrono::milliseconds(8 * Round));
    Deployment.process(Site::entryName(Owner)).kill();
    CHECK_THAT(Turn.get(), Catch::Matchers::Equals(""));
    Deployment.restart(Site::entryName(Owner));
    REQUIRE(Deployment.awaitReady());
  }
}

TEST_CASE("Proof03: a replica holder is lost, then the owner") {
  Site Deployment(SiteOptions().withShards(1));
  Conversation Log(Deployment, "log-1");
  Log.takeTurn(0);
  const unsigned Owner = Deployment.ownerOf(Log.id(), 0);
  const unsigned Second = otherEntry(Owner, Owner);
  const unsigned Third = otherEntry(Owner, Second);
  // One of the other two entries holds the second replica: kill each in turn
  // with time for repair, then the owner.
  for (const unsigned Lost : {Second, Third}) {
    Deployment.process(Site::entryName(Lost)).kill();
    Log.takeTurn(Owner);
    Deployment.deleteDataFolder(Site::entryName(Lost));
    Deployment.restart(Site::entryName(Lost));
    REQUIRE(Deployment.awaitReady());
    Log.takeTurn(Lost);
  }
  Deployment.process(Site::entryName(Owner)).kill();
  Log.takeTurn(Second);
  Log.takeTurn(Third);
}

TEST_CASE("Proof03: the owner's host is replaced by one without data") {
  Site Deployment;
  Conversation Log(Deployment, "log-1");
  Log.takeTurn(0);
  const unsigned Owner = Deployment.ownerOf(Log.id(), 0);
  Deployment.process(Site::entryName(Owner)).kill();
  Deployment.deleteDataFolder(Site::entryName(Owner));
  Deployment.restart(Site::entryName(Owner));
  Log.takeTurn(Owner);
  Log.takeTurn(otherEntry(Owner, Owner));
}

TEST_CASE("Proof03: a frozen owner resumes after the takeover") {
  Site Deployment;
  Conversation Log(Deployment, "log-1");
  for (int Round = 0; Round < 2; ++Round) {
    Log.takeTurn(0);
    const unsigned Owner = Deployment.ownerOf(Log.id(), 0);
    const unsigned Via = otherEntry(Owner, Owner);
    Deployment.process(Site::entryName(Owner)).signal(SIGSTOP);
    Log.takeTurn(Via);
    Deployment.process(Site::entryName(Owner)).signal(SIGCONT);
    Log.takeTurn(Owner);
    Log.takeTurn(Via);
    REQUIRE(Deployment.awaitReady());
  }
}

TEST_CASE("Proof03: a takeover of histories larger than one message") {
  Site Deployment(SiteOptions().withShards(1));
  const Program Log{"log-1"};
  const std::string Long(3 * 1024 * 1024, 'x');
  // Each turn is in the log as request and as response: 84 MB in all, more
  // than one message may carry.
  for (int Turn = 0; Turn < 14; ++Turn)
    REQUIRE(send(serviceRequest(Deployment.httpPort(0), Log, "/log",
                                Long + std::to_string(Turn),
                                "turn-" + std::to_string(Turn)))
                .Status == 200);
  REQUIRE(
      send(chatRequest(Deployment.httpPort(0), Log, "hello", "hello")).Status ==
      200);
  const unsigned Owner = Deployment.ownerOf(Log.Id, 0);
  const unsigned Via = otherEntry(Owner, Owner);
  Deployment.process(Site::entryName(Owner)).kill();
  const Response Next =
      sendWithRetry(chatRequest(Deployment.httpPort(Via), Log, "next", "next"),
                    nullptr, TakeoverLimit);
  CHECK(Next.content().find("re[3]: next") == 0);
}

TEST_CASE("Proof03: calls of one program through all entries are in order") {
  Site Deployment;
  const Program Log{"log-1"};
  constexpr unsigned CallCount = 9;
  std::vector<std::future<Response>> Callers;
  for (unsigned Number = 0; Number < CallCount; ++Number)
    Callers.push_back(std::async(std::launch::async, [&, Number] {
      return send(chatRequest(Deployment.httpPort(Number % 3), Log,
                              "call " + std::to_string(Number),
                              "k" + std::to_string(Number)));
    }));
  // Each call sees all previous turns: the message counts are distinct and
  // consecutive.
  std::set<std::string> Marks;
  for (auto &Each : Callers) {
    const Response Result = Each.get();
    REQUIRE(Result.Status == 200);
    Marks.insert(Result.content().substr(0, Result.content().find(':')));
  }
  std::set<std::string> Expected;
  for (unsigned Turn = 0; Turn < CallCount; ++Turn)
    Expected.insert("re[" + std::to_string(2 * Turn + 1) + "]");
  CHECK(Marks == Expected);
}

TEST_CASE("Proof03: many programs at once are never mixed") {
  Site Deployment;
  std::vector<std::future<std::string>> Callers;
  for (unsigned Caller = 0; Caller < 12; ++Caller)
    Callers.push_back(std::async(std::launch::async, [&, Caller] {
      Conversation Log(Deployment, "log-" + std::to_string(Caller));
      std::string Faults;
      for (unsigned Turn = 0; Turn < 8; ++Turn)
        Faults += Log.describeTurnFault((Caller + Turn) % 3);
      return Faults;
    }));
  for (auto &Each : Callers)
    CHECK_THAT(Each.get(), Catch::Matchers::Equals(""));
}

TEST_CASE("Proof03: a duplicate turn gets the stored response") {
  Site Deployment;
  const Program Log{"log-1"};
  const Response First =
      send(chatRequest(Deployment.httpPort(0), Log, "hello", "turn-1"));
  const Response Duplicate =
      send(chatRequest(Deployment.httpPort(1), Log, "hello", "turn-1"));
  CHECK(First.Body == Duplicate.Body);
  const Response Next =
      send(chatRequest(Deployment.httpPort(2), Log, "next", "turn-2"));
  CHECK(Next.content().find("re[3]: next") == 0);
}
