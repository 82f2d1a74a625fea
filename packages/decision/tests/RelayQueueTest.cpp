/// Tests of the relay's queue: which turns are queued while targets are busy,
/// and in what order they are dispatched.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with one target of four slots, and turns of programs with deadlines.
class QueueFixture : public RelayFixture {
public:
  static constexpr Milliseconds ProgramTime{4000};

  QueueFixture() {
    this->makeReady();
    this->apply(TargetUnregistered{TargetId("t2")});
    this->passTime(Milliseconds(3000));
  }

  /// Opens a turn, which is sent to the target or queued.
  RequestId turn(const std::string &Program, bool IsFirst,
                 Milliseconds TimeLeft = ProgramTime) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId("turn-" + std::to_string(++this->Turns));
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/turn/x";
    Inbound.Body = "input";
    Inbound.Program = ProgramContext{ProgramId(Program), AgentId("s"), TimeLeft,
                                     TokenCount{100000}};
    Inbound.MaxTokens = TokenCount{50};
    const RequestId Request(1000 + this->Turns);
    this->apply(CallerRequestReceived{Request, Inbound});
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
  QueueFixture Fixture;
  const auto Busy = Fixture.fill();
  REQUIRE(Busy.size() == 4);
  const RequestId First = Fixture.turn("new", true);
  CHECK(Fixture.sent() == 0);
  Fixture.turn("old-0", false);
  CHECK(Fixture.sent() == 1);
  // The queued first turn is dispatched only once a slot is free.
  Fixture.end(Busy[0]);
  CHECK(Fixture.sent() == 1);
  Fixture.end(Busy[1]);
  REQUIRE(Fixture.sent() == 2);
  CHECK(Fixture.lastSent() == First);
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
}

TEST_CASE("Queue: the program with the earliest deadline goes first") {
  QueueFixture Fixture;
  const auto Busy = Fixture.fill();
  Fixture.turn("patient", true, Milliseconds(9000));
  const RequestId Earliest = Fixture.turn("pressed", true, Milliseconds(2000));
  Fixture.end(Busy[0]);
  REQUIRE(Fixture.sent() == 1);
  CHECK(Fixture.lastSent() == Earliest);
}

TEST_CASE("Queue: overdue programs yield to the others") {
  QueueFixture Fixture;
  const auto Busy = Fixture.fill();
  const RequestId Late = Fixture.turn("old-1", false, Milliseconds(0));
  const RequestId First = Fixture.turn("new", true);
  Fixture.end(Busy[0]);
  REQUIRE(Fixture.sent() == 1);
  CHECK(Fixture.lastSent() == First);
  Fixture.end(Busy[1]);
  Fixture.end(Busy[2]);
  REQUIRE(Fixture.sent() == 2);
  CHECK(Fixture.lastSent() == Late);
}

TEST_CASE("Queue: no turn is queued indefinitely") {
  QueueFixture Fixture;
  Fixture.fill();
  Fixture.turn("old-1", false, Milliseconds(0));
  // Half of the route's timeout of 1 s.
  Fixture.passTime(Milliseconds(499));
  CHECK(Fixture.sent() == 0);
  Fixture.passTime(Milliseconds(1));
  CHECK(Fixture.sent() == 1);
}

TEST_CASE(
    "Queue: at its time limit a turn is refused if targets are overloaded") {
  QueueFixture Fixture;
  Fixture.fill();
  // 2.5 requests per slot, the limit for all turns.
  for (int Number = 4; Number < 10; ++Number)
    Fixture.turn("old-" + std::to_string(Number), false);
  Fixture.turn("new", true);
  Fixture.passTime(Milliseconds(499));
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.passTime(Milliseconds(1));
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  const RelayRefusal Refusal = Fixture.all<RefuseCaller>()[0].Refusal;
  CHECK(Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refusal.ExecutionStatus == Execution::NotRun);
  CHECK(Refusal.RetryAfter > Milliseconds(0));
}

TEST_CASE(
    "Queue: turns leave it when the caller disconnects or time runs out") {
  QueueFixture Fixture;
  Fixture.fill();
  const RequestId Gone = Fixture.turn("new", true);
  Fixture.apply(RelayCallerDisconnected{Gone});
  CHECK(Fixture.State.QueuedCalls.empty());
  Fixture.turn("other", true);
  REQUIRE(Fixture.State.QueuedCalls.size() == 1);
  Fixture.State.Options.MaxQueueTimeFraction = 10;
  Fixture.passTime(Milliseconds(5000));
  CHECK(Fixture.State.QueuedCalls.empty());
  for (const RefuseCaller &Each : Fixture.all<RefuseCaller>())
    CHECK(Each.Refusal.Reason == RelayRefusalReason::DeadlinePassed);
}

TEST_CASE(
    "Queue: a target without a load report is assumed as busy as others") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.addTarget("t3");
  Fixture.passTime(Milliseconds(1000));
  // Two of three targets report full load from elsewhere.
  for (int Number = 0; Number < 3; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 3);
  for (int Number = 0; Number < 2; ++Number) {
    TargetAnswerHead Head = RelayFixture::head(200);
    Head.Load = TargetLoad{5, 0, std::nullopt, std::nullopt};
    Fixture.apply(AttemptHeadReceived{Sent[Number].Attempt, Head});
  }
  Fixture.Effects.clear();
  std::map<TargetId, int> Next;
  for (int Number = 3; Number < 9; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
  for (const SendAttempt &Each : Fixture.all<SendAttempt>())
    ++Next[Each.Target.Id];
  CHECK(Next[Sent[2].Target.Id] == 2);
}
