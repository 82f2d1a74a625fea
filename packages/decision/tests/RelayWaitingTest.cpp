/// Tests of the relay's queue: which turns are queued while targets are busy,
/// and in what order they are dispatched.
#include "RelayWorld.h"

#include <catch2/catch.hpp>

#include <map>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with one target of four slots, and turns of programs with deadlines.
class WaitingWorld : public RelayWorld {
public:
  static constexpr Milliseconds ProgramTime{4000};

  WaitingWorld() {
    this->makeReady();
    this->apply(TargetUnregistered{TargetId("t2")});
    this->passTime(Milliseconds(3000));
  }

  /// Opens a turn, which is sent to the target or queued.
  RequestId turn(const std::string &Program, bool IsFirst,
                 Milliseconds TimeLeft = ProgramTime) {
    CallerRequest Asked;
    Asked.Id = CallerAttemptId("turn-" + std::to_string(++this->Turns));
    Asked.Method = "POST";
    Asked.Host = "shop.example";
    Asked.Target = "/turn/x";
    Asked.Body = "input";
    Asked.Program = ProgramContext{ProgramId(Program), AgentId("s"), TimeLeft,
                                   TokenCount{100000}};
    Asked.MostTokens = TokenCount{50};
    const RequestId Request(1000 + this->Turns);
    this->apply(CallerAsked{Request, Asked});
    const std::vector<TokenClaim> Claims =
        IsFirst ? std::vector<TokenClaim>()
                : std::vector<TokenClaim>{
                      TokenClaim{Fingerprint(7), TokenCount{5}, true}};
    this->answerOpen("a", false, Claims);
    this->answerOpen("b", false, Claims);
    return Request;
  }

  /// Fills the target's four slots and returns the attempts there.
  std::vector<SendAttempt> fill() {
    for (int Number = 0; Number < 4; ++Number)
      this->turn("old-" + std::to_string(Number), false);
    auto Sent = this->all<SendAttempt>();
    this->Effects.clear();
    return Sent;
  }

  void end(const SendAttempt &Attempt) {
    this->apply(AttemptEnded{Attempt.Attempt, AttemptEnded::Kind::Broken});
  }

  std::size_t sent() const { return this->all<SendAttempt>().size(); }

  /// Returns the request of the last attempt sent.
  RequestId lastSent() const { return this->all<SendAttempt>().back().Request; }

private:
  std::uint64_t Turns = 0;
};

} // namespace

TEST_CASE("Queue: programs in progress take precedence over new ones") {
  WaitingWorld World;
  const auto Busy = World.fill();
  REQUIRE(Busy.size() == 4);
  const RequestId First = World.turn("new", true);
  CHECK(World.sent() == 0);
  World.turn("old-0", false);
  CHECK(World.sent() == 1);
  // The queued first turn is dispatched only once a slot is free.
  World.end(Busy[0]);
  CHECK(World.sent() == 1);
  World.end(Busy[1]);
  REQUIRE(World.sent() == 2);
  CHECK(World.lastSent() == First);
  CHECK(World.all<RefuseCaller>().size() == 2);
}

TEST_CASE("Queue: the program with the earliest deadline goes first") {
  WaitingWorld World;
  const auto Busy = World.fill();
  World.turn("patient", true, Milliseconds(9000));
  const RequestId Pressed = World.turn("pressed", true, Milliseconds(2000));
  World.end(Busy[0]);
  REQUIRE(World.sent() == 1);
  CHECK(World.lastSent() == Pressed);
}

TEST_CASE("Queue: overdue programs yield to the others") {
  WaitingWorld World;
  const auto Busy = World.fill();
  const RequestId Late = World.turn("old-1", false, Milliseconds(0));
  const RequestId First = World.turn("new", true);
  World.end(Busy[0]);
  REQUIRE(World.sent() == 1);
  CHECK(World.lastSent() == First);
  World.end(Busy[1]);
  World.end(Busy[2]);
  REQUIRE(World.sent() == 2);
  CHECK(World.lastSent() == Late);
}

TEST_CASE("Queue: no turn is queued indefinitely") {
  WaitingWorld World;
  World.fill();
  World.turn("old-1", false, Milliseconds(0));
  // Half of the route's time-out of 1 s.
  World.passTime(Milliseconds(499));
  CHECK(World.sent() == 0);
  World.passTime(Milliseconds(1));
  CHECK(World.sent() == 1);
}

TEST_CASE(
    "Queue: at its time limit a turn is refused if targets are overloaded") {
  WaitingWorld World;
  World.fill();
  // 2.5 requests per slot, the limit for all turns.
  for (int Number = 4; Number < 10; ++Number)
    World.turn("old-" + std::to_string(Number), false);
  World.turn("new", true);
  World.passTime(Milliseconds(499));
  CHECK(World.all<RefuseCaller>().empty());
  World.passTime(Milliseconds(1));
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  const RelayRefusal Refusal = World.all<RefuseCaller>()[0].Refusal;
  CHECK(Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refusal.Ran == Execution::NotRun);
  CHECK(Refusal.RetryAfter > Milliseconds(0));
}

TEST_CASE(
    "Queue: turns leave it when the caller disconnects or time runs out") {
  WaitingWorld World;
  World.fill();
  const RequestId Gone = World.turn("new", true);
  World.apply(CallerGone{Gone});
  CHECK(World.State.Waiting.empty());
  World.turn("other", true);
  REQUIRE(World.State.Waiting.size() == 1);
  World.State.Options.WaitShare = 10;
  World.passTime(Milliseconds(5000));
  CHECK(World.State.Waiting.empty());
  for (const RefuseCaller &Each : World.all<RefuseCaller>())
    CHECK(Each.Refusal.Reason == RelayRefusalReason::DeadlinePassed);
}

TEST_CASE(
    "Queue: a target without a load report is assumed as busy as others") {
  RelayWorld World;
  World.makeReady();
  World.addTarget("t3");
  World.passTime(Milliseconds(1000));
  // Two of three targets report full load from elsewhere.
  for (int Number = 0; Number < 3; ++Number)
    World.ask("/plain/x", "r" + std::to_string(Number));
  const auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 3);
  for (int Number = 0; Number < 2; ++Number) {
    TargetAnswerHead Head = RelayWorld::head(200);
    Head.Load = 5;
    World.apply(AttemptHeadCame{Sent[Number].Attempt, Head});
  }
  World.Effects.clear();
  std::map<TargetId, int> Next;
  for (int Number = 3; Number < 9; ++Number)
    World.ask("/plain/x", "r" + std::to_string(Number));
  for (const SendAttempt &Each : World.all<SendAttempt>())
    ++Next[Each.Target.Id];
  CHECK(Next[Sent[2].Target.Id] == 2);
}
