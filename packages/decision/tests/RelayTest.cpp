/// Tests of a relay's answers, retries, refusals and turns.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

TEST_CASE("Relay: without a configuration requests are refused as not run") {
  RelayFixture Fixture;
  SECTION("at once after start-up") {
    Fixture.passTime(Fixture.State.Options.StartupGracePeriod);
    Fixture.ask("/plain/x");
  }
  SECTION("at the end of start-up") {
    Fixture.ask("/plain/x");
    Fixture.passTime(Fixture.State.Options.StartupGracePeriod -
                     Milliseconds(1));
    CHECK(Fixture.all<RefuseCaller>().empty());
    Fixture.passTime(Milliseconds(1));
  }
  SECTION("once half of the caller's time is over") {
    Fixture.ask("/plain/x", "r1", Milliseconds(400));
    Fixture.passTime(Milliseconds(200));
  }
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::NotConfigured);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
  CHECK(Refused[0].Refusal.RetryAfter > Milliseconds(0));
}

TEST_CASE("Relay: a request that arrives during start-up is served") {
  RelayFixture Fixture;
  Fixture.ask("/plain/x");
  Fixture.askTurn(1000, 100);
  Fixture.configure();
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.addTarget("t1");
  // The turn needs the ledger too.
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.sentToReplicas<OpenTurn>().empty());
  Fixture.connectLedger();
  CHECK_FALSE(Fixture.sentToReplicas<OpenTurn>().empty());
  CHECK(Fixture.all<RefuseCaller>().empty());
  CHECK(Fixture.State.DeferredRequests.empty());
}

TEST_CASE("Relay: the request of a caller that disconnects during start-up is "
          "dropped") {
  RelayFixture Fixture;
  const RequestId Request = Fixture.ask("/plain/x");
  Fixture.apply(RelayCallerDisconnected{Request});
  CHECK(Fixture.State.DeferredRequests.empty());
  Fixture.configure();
  Fixture.addTarget("t1");
  CHECK(Fixture.all<SendAttempt>().empty());
}

TEST_CASE("Relay: without the ledger, turns are refused after start-up") {
  RelayFixture Fixture;
  Fixture.makeReady();
  for (const char *Name : {"a", "b", "c"})
    Fixture.apply(ReplicaDisconnected{HolderId(Name)});
  Fixture.askTurn(1000, 100);
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::LedgerUnavailable);
}

TEST_CASE("Relay: the longest matching path prefix selects the route") {
  RelayConfiguration Configuration;
  for (const char *Prefix : {"/a/", "/a/b/", "/a/b/c/"}) {
    RelayRoute Route;
    Route.Name = RouteName(Prefix);
    Route.Host = "h";
    Route.PathPrefix = Prefix;
    Configuration.Routes.push_back(Route);
  }
  CHECK(findRoute(Configuration, "h", "/a/b/x")->Name == RouteName("/a/b/"));
  CHECK(findRoute(Configuration, "h", "/a/bx")->Name == RouteName("/a/"));
  CHECK(findRoute(Configuration, "other", "/a/b/x") == nullptr);
  CHECK(findRoute(Configuration, "h", "/b/") == nullptr);
}

TEST_CASE("Relay: an older configuration is ignored") {
  RelayFixture Fixture;
  Fixture.configure(7);
  Fixture.configure(5);
  CHECK(Fixture.State.Configuration->Version == ConfigVersion(7));
}

TEST_CASE(
    "Relay: an idempotent request is retried up to the route's attempts") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const RequestId Request = Fixture.ask("/plain/x");
  auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(Sent[0].Target.Id == Sent[1].Target.Id);
  Fixture.apply(AttemptEnded{Sent[1].Attempt, AttemptEnded::Kind::Broken});
  CHECK(Fixture.all<SendAttempt>().size() == 2);
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Request == Request);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::Unknown);
}

TEST_CASE("Relay: a non-idempotent request is not retried after a broken "
          "connection") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/once/x");
  const auto Sent = Fixture.all<SendAttempt>();
  Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::TargetFailed);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::Unknown);
}

TEST_CASE("Relay: a request that a target did not run goes to another target") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/once/x");
  auto Sent = Fixture.all<SendAttempt>();
  SECTION("the request was never sent") {
    Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::NeverSent});
  }
  SECTION("the target refused the request") {
    TargetAnswerHead Head = RelayFixture::head(503);
    Head.IsNotRun = true;
    Fixture.apply(AttemptHeadReceived{Sent[0].Attempt, Head});
    Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  SECTION("another target serves at the address") {
    TargetAnswerHead Head = RelayFixture::head(421);
    Head.IsMisdirected = true;
    Fixture.apply(AttemptHeadReceived{Sent[0].Attempt, Head});
    Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  // With no target left the refusal still guarantees that nothing has run.
  Fixture.apply(AttemptEnded{Sent[1].Attempt, AttemptEnded::Kind::NeverSent});
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
}

TEST_CASE("Relay: a 503 without the target's not-run mark counts as unknown") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/once/x");
  const auto Sent = Fixture.all<SendAttempt>();
  Fixture.apply(AttemptHeadReceived{Sent[0].Attempt, RelayFixture::head(503)});
  Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  CHECK(Fixture.all<BeginAnswer>().empty());
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.ExecutionStatus ==
        Execution::Unknown);
}

TEST_CASE("Relay: a success with the target's not-run mark counts as unknown") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/once/x");
  const auto Sent = Fixture.all<SendAttempt>();
  TargetAnswerHead Head = RelayFixture::head(200);
  Head.IsSigned = true;
  Head.IsNotRun = true;
  Fixture.apply(AttemptHeadReceived{Sent[0].Attempt, Head});
  Fixture.apply(AttemptBytesReceived{Sent[0].Attempt, "body"});
  Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<BeginAnswer>().empty());
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.ExecutionStatus ==
        Execution::Unknown);
}

TEST_CASE(
    "Relay: targets stay if only the replicas notice a key-value outage") {
  RelayFixture Fixture;
  Fixture.makeReady();
  for (const char *Name : {"a", "b", "c"})
    Fixture.apply(ReplicaReachabilityReported{HolderId(Name), true});
  for (const char *Name : {"t1", "t2"})
    Fixture.apply(TargetUnregistered{TargetId(Name)});
  Fixture.ask("/plain/x");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>().empty());
  // Targets that are still missing after the grace period are removed.
  Fixture.addTarget("t1");
  Fixture.passTime(Fixture.State.Options.MissingTargetGrace);
  CHECK(Fixture.State.Targets.count(TargetId("t1")) == 1);
  CHECK(Fixture.State.Targets.count(TargetId("t2")) == 0);
}

TEST_CASE("Relay: targets are removed if some replica reaches the key-value "
          "service") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.apply(ReplicaReachabilityReported{HolderId("a"), true});
  Fixture.apply(ReplicaReachabilityReported{HolderId("b"), true});
  Fixture.apply(ReplicaReachabilityReported{HolderId("b"), false});
  Fixture.apply(TargetUnregistered{TargetId("t1")});
  CHECK(Fixture.State.Targets.count(TargetId("t1")) == 0);
}

TEST_CASE("Relay: the attempt of a caller that disconnects is cancelled") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const RequestId Request = Fixture.ask("/plain/x");
  Fixture.apply(RelayCallerDisconnected{Request});
  CHECK(Fixture.all<CancelTargetAttempt>().size() == 1);
  CHECK(Fixture.State.Calls.empty());
  CHECK(Fixture.State.Attempts.empty());
  for (const auto &[Id, Target] : Fixture.State.Targets)
    CHECK(Target.Outstanding == 0);
}

TEST_CASE(
    "Relay: at the deadline a sent request is refused with unknown outcome") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/plain/x");
  Fixture.passTime(Milliseconds(1000));
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::DeadlinePassed);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::Unknown);
  CHECK(Fixture.all<CancelTargetAttempt>().size() == 1);
}

TEST_CASE("Relay: leaving and unregistered targets get no new requests") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.addTarget("t1", "a", true);
  Fixture.apply(TargetUnregistered{TargetId("t2")});
  Fixture.ask("/plain/x");
  CHECK(Fixture.all<SendAttempt>().empty());
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::NoTarget);
}

TEST_CASE("Relay: registrations that lapse in a key-value outage may return") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.apply(DirectoryLost{});
  Fixture.apply(TargetUnregistered{TargetId("t1")});
  Fixture.apply(TargetUnregistered{TargetId("t2")});
  Fixture.ask("/plain/x", "while away");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  Fixture.apply(DirectoryRegained{});
  Fixture.addTarget("t1");
  Fixture.passTime(Milliseconds(1900));
  CHECK(Fixture.State.Targets.size() == 2);
  Fixture.passTime(Milliseconds(200));
  CHECK(Fixture.State.Targets.size() == 1);
}

TEST_CASE("Relay: a stream ends only once its turn is durable") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100, 20);
  CHECK(Fixture.sentToReplicas<OpenTurn>().size() == 3);
  Fixture.answerOpen("a");
  CHECK(Fixture.all<SendAttempt>().empty());
  Fixture.answerOpen("b");
  // This close to the end of the budget the claims are read a second time.
  CHECK(Fixture.all<SendAttempt>().empty());
  Fixture.answerOpen("a");
  Fixture.answerOpen("c");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Fixture.apply(
      AttemptHeadReceived{Sent[0].Attempt, RelayFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{Sent[0].Attempt, "id: 1\ndata: one\n"});
  CHECK(Fixture.all<BeginAnswer>().empty());
  Fixture.apply(
      AttemptBytesReceived{Sent[0].Attempt, "\nid: 2\ndata: two\n\n"});
  CHECK(Fixture.all<BeginAnswer>().size() == 1);
  Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  CHECK(Fixture.all<FinishAnswer>().empty());
  const auto Closes = Fixture.sentToReplicas<CloseTurn>();
  REQUIRE(Closes.size() == 3);
  CHECK(Closes[0].Used->Value == 20);
  CHECK(Closes[0].Input == "input");
  CHECK(Closes[0].Output == "one\ntwo\n");
  Fixture.confirmClose("a");
  CHECK(Fixture.all<FinishAnswer>().empty());
  Fixture.confirmClose("c");
  CHECK(Fixture.all<FinishAnswer>().size() == 1);
  CHECK(Fixture.State.Calls.empty());
  CHECK(Fixture.State.PendingCloses.empty());
}

TEST_CASE("Relay: an interrupted stream is aborted, not completed") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(1000, 20);
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Fixture.apply(
      AttemptHeadReceived{Sent[0].Attempt, RelayFixture::head(200, true)});
  Fixture.apply(
      AttemptBytesReceived{Sent[0].Attempt, "id: 1\ndata: one\n\nid: 2"});
  SECTION("the connection fails") {
    Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  }
  SECTION("the answer ends in the middle of an event") {
    Fixture.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  CHECK(Fixture.all<FinishAnswer>().empty());
  CHECK(Fixture.all<AbortAnswer>().size() == 1);
  // Events that the caller received count against the budget.
  REQUIRE_FALSE(Fixture.sentToReplicas<CloseTurn>().empty());
  CHECK(Fixture.sentToReplicas<CloseTurn>()[0].Used->Value == 10);
  CHECK_FALSE(Fixture.sentToReplicas<CloseTurn>()[0].IsKept);
}

TEST_CASE(
    "Relay: a turn is refused before it runs if the budget is exhausted") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100, 20);
  const std::vector<TokenClaim> Spent = {
      {Fingerprint(1), TokenCount{60}, true},
      {Fingerprint(2), TokenCount{40}, false}};
  Fixture.answerOpen("a", false, Spent);
  Fixture.answerOpen("b", false, Spent);
  CHECK(Fixture.all<SendAttempt>().empty());
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::BudgetExhausted);
  CHECK(Fixture.sentToReplicas<CloseTurn>()[0].Used->Value == 0);
}

TEST_CASE("Relay: a settled claim takes precedence over an older open one") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100, 20);
  // Replica a missed the close of the turn and still has the full claim.
  Fixture.answerOpen("a", false, {{Fingerprint(1), TokenCount{100}, false}});
  Fixture.answerOpen("b", false, {{Fingerprint(1), TokenCount{10}, true}});
  Fixture.answerOpen("a", false, {{Fingerprint(1), TokenCount{100}, false}});
  Fixture.answerOpen("b", false, {{Fingerprint(1), TokenCount{10}, true}});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
}

TEST_CASE("Relay: a turn is refused as unknown only by a quorum") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(1000, 20, "turn-2", TurnId("gone"));
  Fixture.answerOpen("a");
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.answerOpen("b");
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::UnknownTurn);
}

TEST_CASE("Relay: one replica that has the previous turn is sufficient") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(1000, 20, "turn-2", TurnId("turn-1"));
  Fixture.answerOpen("a");
  Fixture.answerOpen("b", true);
  // The first history source did not have the turn, so another is asked.
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.answerOpen("b", true, {}, "history");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].History == "history");
}

TEST_CASE(
    "Relay: without a quorum turns are refused and the relay is not ready") {
  RelayFixture Fixture;
  Fixture.makeReady();
  CHECK(isRelayReady(Fixture.State));
  Fixture.askTurn(1000, 20);
  Fixture.apply(ReplicaDisconnected{HolderId("a")});
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.apply(ReplicaDisconnected{HolderId("b")});
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::LedgerUnavailable);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.ExecutionStatus ==
        Execution::NotRun);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.RetryAfter > Milliseconds(0));
  Fixture.passTime(Milliseconds(400));
  CHECK_FALSE(isRelayReady(Fixture.State));
  Fixture.apply(ReplicaConnected{HolderId("a")});
  CHECK(isRelayReady(Fixture.State));
}

TEST_CASE(
    "Relay: replicas without heartbeats do not count towards the quorum") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const auto PassTicks = [&Fixture](int Millis) {
    for (int Passed = 0; Passed < Millis; Passed += 25)
      Fixture.passTime(Milliseconds(25));
  };
  PassTicks(500);
  Fixture.askTurn(1000, 50, "waits");
  PassTicks(225);
  // Refused at the replicas' heartbeat timeout, not at the ledger timeout.
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  Fixture.askTurn(1000, 50, "late");
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
  PassTicks(300);
  CHECK_FALSE(isRelayReady(Fixture.State));
  for (const char *Name : {"a", "c"})
    Fixture.apply(ReplicaMessageReceived{HolderId(Name), Heartbeat{}});
  CHECK(isRelayReady(Fixture.State));
  Fixture.askTurn(1000, 50, "back");
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
}

TEST_CASE(
    "Relay: after a stall of its own process, replicas still count as live") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.passTime(Milliseconds(3000));
  Fixture.askTurn(1000, 50);
  CHECK(Fixture.all<RefuseCaller>().empty());
}

TEST_CASE("Relay: not ready before the ledger is connected") {
  RelayFixture Fixture;
  Fixture.configure();
  CHECK_FALSE(isRelayReady(Fixture.State));
  Fixture.connectLedger();
  CHECK(isRelayReady(Fixture.State));
}

TEST_CASE("Relay: pending turns are reopened under a newer view") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(1000, 20);
  LedgerView View = Fixture.State.View;
  View.Version = ViewVersion(2);
  View.Current[2] = RelayFixture::member("d");
  Fixture.apply(ReplicaMessageReceived{
      HolderId("a"),
      LedgerRefused{Fixture.sentToReplicas<OpenTurn>()[0].Operation,
                    HolderId("a"), View}});
  CHECK(Fixture.State.View.Version == ViewVersion(2));
  CHECK(Fixture.sentToReplicas<OpenTurn>().back().View == ViewVersion(2));
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
}

TEST_CASE(
    "Relay: a replica with an older view gets the view and the request again") {
  RelayFixture Fixture;
  Fixture.makeReady();
  LedgerView Behind;
  SECTION("when a turn is opened") {
    Fixture.askTurn(1000, 50);
    Fixture.apply(ReplicaDisconnected{HolderId("c")});
    Fixture.answerOpen("a");
    const auto RequestedTurn = Fixture.sentToReplicas<OpenTurn>().back();
    Fixture.Effects.clear();
    Fixture.apply(ReplicaMessageReceived{
        HolderId("b"),
        LedgerRefused{RequestedTurn.Operation, HolderId("b"), Behind}});
    REQUIRE(Fixture.sentToReplicas<OpenTurn>().size() == 1);
    CHECK(Fixture.sentToReplicas<OpenTurn>()[0].Claimed ==
          RequestedTurn.Claimed);
    Fixture.answerOpen("b");
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  }
  SECTION("when a turn is closed") {
    Fixture.askTurn(1000, 50);
    Fixture.answerOpen("a");
    Fixture.answerOpen("b");
    const RelayAttemptId Attempt = Fixture.all<SendAttempt>()[0].Attempt;
    Fixture.apply(AttemptHeadReceived{Attempt, RelayFixture::head(200, true)});
    Fixture.apply(AttemptBytesReceived{Attempt, "id: 1\ndata: e\n\n"});
    Fixture.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
    const auto RequestedTurn = Fixture.sentToReplicas<CloseTurn>().back();
    Fixture.Effects.clear();
    Fixture.apply(ReplicaMessageReceived{
        HolderId("b"),
        LedgerRefused{RequestedTurn.Operation, HolderId("b"), Behind}});
    REQUIRE(Fixture.sentToReplicas<CloseTurn>().size() == 1);
    CHECK(Fixture.sentToReplicas<CloseTurn>()[0].Output ==
          RequestedTurn.Output);
  }
  REQUIRE(Fixture.sentToReplicas<ViewOffer>().size() == 1);
  CHECK(Fixture.sentToReplicas<ViewOffer>()[0].View.Version == ViewVersion(1));
  CHECK(Fixture.all<RefuseCaller>().empty());
}

TEST_CASE("Relay: a received part of the history is not requested again") {
  RelayFixture Fixture;
  Fixture.makeReady();
  // This close to the end of the budget the claims are read a second time.
  Fixture.askTurn(100, 50, "turn-3", TurnId("turn-2"));
  TurnOpened Part;
  Part.Operation = Fixture.sentToReplicas<OpenTurn>().back().Operation;
  Part.HasPrevious = true;
  Part.History = "in2;out2;";
  Part.HistoryEnd = TurnId("turn-2");
  Part.MissingTurn = TurnId("turn-1");
  Part.Holder = Fixture.State.Calls.begin()->second.Ledger.HistorySource;
  Fixture.apply(ReplicaMessageReceived{Part.Holder, Part});
  Fixture.Effects.clear();
  const HolderId Other =
      Part.Holder == HolderId("b") ? HolderId("c") : HolderId("b");
  Part.History.reset();
  Part.MissingTurn.reset();
  Fixture.apply(ReplicaMessageReceived{Other, Part});
  for (const OpenTurn &Again : Fixture.sentToReplicas<OpenTurn>())
    CHECK_FALSE(Again.IsHistoryRequested);
}

TEST_CASE("Relay: a late answer to an earlier question does not repeat a part "
          "of the history") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100000, 50, "turn-3", TurnId("turn-2"));
  const auto Asked = [&Fixture] {
    return Fixture.sentToReplicas<OpenTurn>().back();
  };
  const OpenTurn First = Asked();
  Fixture.answer(First, "b", true);
  Fixture.answer(First, "c", true);
  // Replica a is asked first and answers late, b knows the newer part only.
  REQUIRE(Fixture.State.Calls.begin()->second.Ledger.HistorySource ==
          HolderId("a"));
  Fixture.passTime(Milliseconds(150));
  Fixture.answer(Asked(), "b", true, {}, "2;", TurnId("turn-1"));
  REQUIRE(Asked().Previous == TurnId("turn-1"));
  Fixture.answer(First, "a", true, {}, "1;2;");
  Fixture.answer(Asked(), "a", true, {}, "1;");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].History == "1;2;");
}

TEST_CASE("Relay: an answer that a replica sends twice does not repeat a part "
          "of the history") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100000, 50, "turn-3", TurnId("turn-2"));
  const OpenTurn First = Fixture.sentToReplicas<OpenTurn>().back();
  Fixture.answer(First, "a", true, {}, "2;", TurnId("turn-1"));
  Fixture.answer(First, "a", true, {}, "2;", TurnId("turn-1"));
  Fixture.answer(First, "b", true);
  const OpenTurn Rest = Fixture.sentToReplicas<OpenTurn>().back();
  REQUIRE(Rest.IsHistoryRequested);
  Fixture.answer(Rest,
                 Fixture.State.Calls.begin()->second.Ledger.HistorySource.Value,
                 true, {}, "1;");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].History == "1;2;");
}

TEST_CASE("Relay: an answer is completed once a new view makes its turn "
          "durable, though no further replica confirms it") {
  RelayFixture Fixture;
  Fixture.makeReady();
  LedgerView View;
  View.Version = ViewVersion(2);
  View.Current = {RelayFixture::member("a"), RelayFixture::member("b")};
  View.Next = {RelayFixture::member("b"), RelayFixture::member("d")};
  Fixture.apply(RelayLedgerViewObserved{View});
  Fixture.apply(ReplicaConnected{HolderId("d")});
  Fixture.askTurn(100000, 50);
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  Fixture.answerOpen("d");
  const RelayAttemptId Attempt = Fixture.all<SendAttempt>().at(0).Attempt;
  Fixture.apply(AttemptHeadReceived{Attempt, RelayFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{Attempt, "id: 1\ndata: e\n\n"});
  Fixture.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
  // Replica a has lost its disk and does not confirm.
  Fixture.confirmClose("b");
  Fixture.confirmClose("d");
  REQUIRE(Fixture.all<FinishAnswer>().empty());
  View.Version = ViewVersion(3);
  View.Current = View.Next;
  View.Next.clear();
  Fixture.apply(RelayLedgerViewObserved{View});
  CHECK(Fixture.all<FinishAnswer>().size() == 1);
  CHECK(Fixture.State.Calls.empty());
}

TEST_CASE("Relay: shutdown first fails readiness, then exits once idle") {
  RelayFixture Fixture;
  Fixture.makeReady();
  const RequestId Request = Fixture.ask("/plain/x");
  Fixture.apply(RelayShutdownRequested{});
  CHECK_FALSE(isRelayReady(Fixture.State));
  Fixture.passTime(Milliseconds(500));
  CHECK(Fixture.all<StopAccepting>().empty());
  Fixture.apply(RelayCallerDisconnected{Request});
  Fixture.passTime(Milliseconds(3000));
  CHECK(Fixture.all<StopAccepting>().size() == 1);
  CHECK(Fixture.all<ExitRelay>().size() == 1);
}

TEST_CASE("Relay: a program's turns go to the target that caches its prompt") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.addTarget("t3", "b");
  std::set<TargetId> Used;
  for (int Turn = 0; Turn < 8; ++Turn) {
    const RequestId Request =
        Fixture.askTurn(100000, 20, "turn-" + std::to_string(Turn));
    Fixture.answerOpen("a");
    Fixture.answerOpen("b");
    Used.insert(Fixture.all<SendAttempt>().back().Target.Id);
    Fixture.apply(RelayCallerDisconnected{Request});
  }
  CHECK(Used.size() == 1);
}

TEST_CASE("Relay: under load requests are distributed evenly over targets") {
  RelayFixture Fixture;
  Fixture.makeReady();
  std::map<TargetId, int> Sent;
  for (int Number = 0; Number < 8; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
  for (const SendAttempt &Each : Fixture.all<SendAttempt>())
    ++Sent[Each.Target.Id];
  REQUIRE(Sent.size() == 2);
  CHECK(Sent.begin()->second == 4);
}

TEST_CASE("Relay: requests far beyond the targets' slots are refused at once") {
  RelayFixture Fixture;
  Fixture.makeReady();
  for (int Number = 0; Number < 30; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE_FALSE(Refused.empty());
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
}

TEST_CASE("Events: the events do not depend on how the stream is split") {
  const std::string Stream =
      "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n";
  for (std::size_t Step = 1; Step < Stream.size(); ++Step) {
    EventSplitter Splitter;
    std::vector<StreamEvent> Events;
    for (std::size_t At = 0; At < Stream.size(); At += Step) {
      for (StreamEvent &Each :
           Splitter.append(std::string_view(Stream).substr(At, Step)))
        Events.push_back(std::move(Each));
    }
    REQUIRE(Events.size() == 3);
    CHECK(Events[0].Data == "a");
    CHECK_FALSE(Events[1].HasData);
    CHECK(Events[2].Data == "b\nc");
    CHECK(*Events[2].Id == 2);
    CHECK(Events[0].Bytes + Events[1].Bytes + Events[2].Bytes == Stream);
    CHECK_FALSE(Splitter.hasPartialEvent());
  }
}
