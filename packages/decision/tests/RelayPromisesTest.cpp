/// Tests of promises to callers and targets that ordinary traffic does not
/// show when they are broken; docs/PROOFS.md lists them.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

std::string bodyBytes(const RelayFixture &Fixture) {
  std::string Bytes;
  for (const ContinueAnswer &Each : Fixture.all<ContinueAnswer>())
    Bytes += Each.Bytes;
  return Bytes;
}

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: e\n\n";
}

} // namespace

TEST_CASE("Promises: each send carries only the time that is left") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/plain/x", "r1", Milliseconds(800));
  Fixture.passTime(Milliseconds(300));
  const auto First = Fixture.all<SendAttempt>()[0];
  CHECK(First.TimeLeft == Milliseconds(800));
  Fixture.apply(AttemptEnded{First.Attempt, AttemptEnded::Kind::Broken});
  REQUIRE(Fixture.all<SendAttempt>().size() == 2);
  CHECK(Fixture.all<SendAttempt>()[1].TimeLeft == Milliseconds(500));
}

TEST_CASE("Promises: no send carries more time than the route allows") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/plain/x", "r1", Milliseconds(60000));
  Fixture.ask("/plain/x", "r2");
  for (const SendAttempt &Each : Fixture.all<SendAttempt>())
    CHECK(Each.TimeLeft == Milliseconds(1000));
}

namespace {

/// Lets a turn wait until StartingLoadPerSlot is raised.
RequestId queueTurn(RelayFixture &Fixture) {
  Fixture.State.Options.StartingLoadPerSlot = 0;
  CallerRequest Inbound;
  Inbound.Id = CallerAttemptId("turn");
  Inbound.Host = "shop.example";
  Inbound.RequestTarget = "/turn/x";
  Inbound.Program =
      ProgramContext{ProgramId("p"), AgentId("s"), Milliseconds(5000), {}};
  const RequestId Request(900);
  Fixture.apply(CallerRequestReceived{Request, Inbound});
  return Request;
}

} // namespace

TEST_CASE("Promises: a queued turn whose caller has left is never sent") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const Milliseconds Waiting{200};
  const RequestId Request = queueTurn(Fixture);
  REQUIRE(Fixture.State.QueuedCalls.count(Request) == 1);
  Fixture.passTime(Waiting);
  Fixture.apply(RelayCallerDisconnected{Request});
  Fixture.State.Options.StartingLoadPerSlot = 1;
  Fixture.passTime(Waiting);
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.State.Calls.empty());
}

TEST_CASE("Promises: a turn whose caller left while it was opened is never "
          "sent") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const RequestId Request = Fixture.askTurn(1000, 50);
  Fixture.apply(RelayCallerDisconnected{Request});
  const auto Opens = Fixture.sentToReplicas<OpenTurn>();
  REQUIRE_FALSE(Opens.empty());
  for (const char *Holder : {"a", "b", "c"}) {
    TurnOpened Reply;
    Reply.Operation = Opens.back().Operation;
    Reply.Holder = HolderId(Holder);
    Fixture.apply(ReplicaMessageReceived{Reply.Holder, Reply});
  }
  CHECK(Fixture.all<SendAttempt>().empty());
  // Its claim is settled with no tokens.
  REQUIRE_FALSE(Fixture.sentToReplicas<CloseTurn>().empty());
  CHECK(*Fixture.sentToReplicas<CloseTurn>().back().Used == TokenCount{0});
}

TEST_CASE("Promises: a resumed stream has each event once and in order") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.State.Configuration->Routes[2].IsResumable = true;
  Fixture.State.Configuration->Routes[2].MaxAttempts = 2;
  Fixture.askTurn(1000, 50);
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  const auto First = Fixture.all<SendAttempt>().back();
  Fixture.apply(
      AttemptHeadReceived{First.Attempt, RelayFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{First.Attempt, event(1) + event(2) +
                                                        "id: 3\ndata: half"});
  Fixture.apply(AttemptEnded{First.Attempt, AttemptEnded::Kind::Broken});
  REQUIRE(Fixture.all<SendAttempt>().size() == 2);
  const auto Second = Fixture.all<SendAttempt>().back();
  REQUIRE(Second.ResumeAfter);
  CHECK(*Second.ResumeAfter == 2);
  Fixture.apply(
      AttemptHeadReceived{Second.Attempt, RelayFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{Second.Attempt, event(3) + event(4)});
  Fixture.apply(AttemptEnded{Second.Attempt, AttemptEnded::Kind::Complete});
  CHECK(bodyBytes(Fixture) == event(1) + event(2) + event(3) + event(4));
  CHECK(Fixture.all<BeginAnswer>().size() == 1);
}

namespace {

/// Lets target t1, the only one, state in an answer that it is leaving.
void announceLeaving(RelayFixture &Fixture) {
  Fixture.apply(TargetUnregistered{TargetId("t2")});
  Fixture.ask("/plain/x", "first");
  TargetAnswerHead Head = RelayFixture::head(200);
  Head.IsLeaving = true;
  const RelayAttemptId Attempt = Fixture.all<SendAttempt>().back().Attempt;
  Fixture.apply(AttemptHeadReceived{Attempt, Head});
  Fixture.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
  Fixture.Effects.clear();
}

bool isSentToFirstTarget(RelayFixture &Fixture) {
  Fixture.Effects.clear();
  Fixture.ask("/plain/x", "next");
  return !Fixture.all<SendAttempt>().empty();
}

RegisteredTarget firstTarget(const RelayFixture &Fixture) {
  return Fixture.State.Targets.at(TargetId("t1")).Entry;
}

} // namespace

TEST_CASE("Promises: no request is sent to a target that is leaving by its "
          "answer") {
  RelayFixture Fixture;
  Fixture.makeReady();
  RegisteredTarget Entry = firstTarget(Fixture);
  Entry.StartedAtMillis = 5;
  Fixture.apply(TargetRegistered{Entry});
  announceLeaving(Fixture);
  CHECK_FALSE(isSentToFirstTarget(Fixture));
  SECTION("its registration says that it serves") {
    Fixture.apply(TargetRegistered{Entry});
    CHECK_FALSE(isSentToFirstTarget(Fixture));
  }
  SECTION("its registration lapses and comes back") {
    Fixture.apply(TargetUnregistered{Entry.Id});
    Fixture.apply(TargetRegistered{Entry});
    CHECK_FALSE(isSentToFirstTarget(Fixture));
  }
  SECTION("another run under its id serves") {
    Entry.StartedAtMillis = 6;
    Fixture.apply(TargetRegistered{Entry});
    CHECK(isSentToFirstTarget(Fixture));
  }
}

TEST_CASE("Promises: neither queued nor retried requests are sent to a target "
          "that is leaving by its answer") {
  RelayFixture Fixture;
  Fixture.makeReady();
  SECTION("queued") {
    queueTurn(Fixture);
    REQUIRE(Fixture.State.QueuedCalls.size() == 1);
    announceLeaving(Fixture);
    Fixture.State.Options.StartingLoadPerSlot = 1;
    Fixture.passTime(Milliseconds(25));
  }
  SECTION("retried") {
    Fixture.apply(TargetUnregistered{TargetId("t2")});
    Fixture.addTarget("t3");
    Fixture.ask("/plain/x", "retried");
    const SendAttempt Sent = Fixture.all<SendAttempt>().back();
    const TargetId Other(Sent.Target.Id == TargetId("t1") ? "t3" : "t1");
    const TargetRun Run = Fixture.State.Targets.at(Other).Entry.run();
    Fixture.State.LeavingRuns[Run] = Fixture.State.Now;
    Fixture.Effects.clear();
    Fixture.apply(AttemptEnded{Sent.Attempt, AttemptEnded::Kind::Broken});
  }
  CHECK(Fixture.all<SendAttempt>().empty());
  // It was refused at once.
  CHECK(Fixture.State.Calls.empty());
}
