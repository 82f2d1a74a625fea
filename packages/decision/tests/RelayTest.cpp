/// Tests of a relay's answers, retries, refusals and turns.
#include "RelayWorld.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

TEST_CASE("Relay: without a configuration requests are refused as not run") {
  RelayWorld World;
  SECTION("at once after start-up") {
    World.passTime(World.State.Options.StartLimit);
    World.ask("/plain/x");
  }
  SECTION("at the end of start-up") {
    World.ask("/plain/x");
    World.passTime(World.State.Options.StartLimit - Milliseconds(1));
    CHECK(World.all<RefuseCaller>().empty());
    World.passTime(Milliseconds(1));
  }
  SECTION("once half of the caller's time is over") {
    World.ask("/plain/x", "r1", Milliseconds(400));
    World.passTime(Milliseconds(200));
  }
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::NotConfigured);
  CHECK(Refused[0].Refusal.Ran == Execution::NotRun);
  CHECK(Refused[0].Refusal.RetryAfter > Milliseconds(0));
}

TEST_CASE("Relay: a request that arrives during start-up is served") {
  RelayWorld World;
  World.ask("/plain/x");
  World.askTurn(1000, 100);
  World.configure();
  CHECK(World.all<RefuseCaller>().empty());
  World.addTarget("t1");
  // The turn needs the ledger too.
  CHECK(World.all<SendAttempt>().size() == 1);
  CHECK(World.sentToReplicas<OpenTurn>().empty());
  World.connectLedger();
  CHECK_FALSE(World.sentToReplicas<OpenTurn>().empty());
  CHECK(World.all<RefuseCaller>().empty());
  CHECK(World.State.EarlyRequests.empty());
}

TEST_CASE("Relay: the request of a caller that disconnects during start-up is "
          "dropped") {
  RelayWorld World;
  const RequestId Request = World.ask("/plain/x");
  World.apply(CallerGone{Request});
  CHECK(World.State.EarlyRequests.empty());
  World.configure();
  World.addTarget("t1");
  CHECK(World.all<SendAttempt>().empty());
}

TEST_CASE("Relay: without the ledger, turns are refused after start-up") {
  RelayWorld World;
  World.makeReady();
  for (const char *Name : {"a", "b", "c"})
    World.apply(ReplicaDisconnected{HolderId(Name)});
  World.askTurn(1000, 100);
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Reason ==
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
  RelayWorld World;
  World.configure(7);
  World.configure(5);
  CHECK(World.State.Configuration->Version == ConfigVersion(7));
}

TEST_CASE(
    "Relay: an idempotent request is retried up to the route's attempts") {
  RelayWorld World;
  World.makeReady();
  const RequestId Request = World.ask("/plain/x");
  auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(Sent[0].Target.Id == Sent[1].Target.Id);
  World.apply(AttemptEnded{Sent[1].Attempt, AttemptEnded::Kind::Broken});
  CHECK(World.all<SendAttempt>().size() == 2);
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Request == Request);
  CHECK(Refused[0].Refusal.Ran == Execution::Unknown);
}

TEST_CASE("Relay: a non-idempotent request is not retried after a broken "
          "connection") {
  RelayWorld World;
  World.makeReady();
  World.ask("/once/x");
  const auto Sent = World.all<SendAttempt>();
  World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  CHECK(World.all<SendAttempt>().size() == 1);
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::TargetFailed);
  CHECK(Refused[0].Refusal.Ran == Execution::Unknown);
}

TEST_CASE("Relay: a request that a target did not run goes to another target") {
  RelayWorld World;
  World.makeReady();
  World.ask("/once/x");
  auto Sent = World.all<SendAttempt>();
  SECTION("the request was never sent") {
    World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::NeverSent});
  }
  SECTION("the target refused the request") {
    TargetAnswerHead Head = RelayWorld::head(503);
    Head.IsNotRun = true;
    World.apply(AttemptHeadCame{Sent[0].Attempt, Head});
    World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  SECTION("another target serves at the address") {
    TargetAnswerHead Head = RelayWorld::head(421);
    Head.IsOtherTarget = true;
    World.apply(AttemptHeadCame{Sent[0].Attempt, Head});
    World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  // With no target left the refusal still guarantees that nothing has run.
  World.apply(AttemptEnded{Sent[1].Attempt, AttemptEnded::Kind::NeverSent});
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Ran == Execution::NotRun);
}

TEST_CASE("Relay: a 503 without the target's not-run mark counts as unknown") {
  RelayWorld World;
  World.makeReady();
  World.ask("/once/x");
  const auto Sent = World.all<SendAttempt>();
  World.apply(AttemptHeadCame{Sent[0].Attempt, RelayWorld::head(503)});
  World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  CHECK(World.all<BeginAnswer>().empty());
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Ran == Execution::Unknown);
}

TEST_CASE(
    "Relay: targets stay if only the replicas notice a key-value outage") {
  RelayWorld World;
  World.makeReady();
  for (const char *Name : {"a", "b", "c"})
    World.apply(ReplicaReachTold{HolderId(Name), true});
  for (const char *Name : {"t1", "t2"})
    World.apply(TargetUnregistered{TargetId(Name)});
  World.ask("/plain/x");
  CHECK(World.all<SendAttempt>().size() == 1);
  CHECK(World.all<RefuseCaller>().empty());
  // Targets that are still missing after the grace period are removed.
  World.addTarget("t1");
  World.passTime(World.State.Options.MissingTargetGrace);
  CHECK(World.State.Targets.count(TargetId("t1")) == 1);
  CHECK(World.State.Targets.count(TargetId("t2")) == 0);
}

TEST_CASE("Relay: targets are removed if some replica reaches the key-value "
          "service") {
  RelayWorld World;
  World.makeReady();
  World.apply(ReplicaReachTold{HolderId("a"), true});
  World.apply(ReplicaReachTold{HolderId("b"), true});
  World.apply(ReplicaReachTold{HolderId("b"), false});
  World.apply(TargetUnregistered{TargetId("t1")});
  CHECK(World.State.Targets.count(TargetId("t1")) == 0);
}

TEST_CASE("Relay: the attempt of a caller that disconnects is cancelled") {
  RelayWorld World;
  World.makeReady();
  const RequestId Request = World.ask("/plain/x");
  World.apply(CallerGone{Request});
  CHECK(World.all<CancelTargetAttempt>().size() == 1);
  CHECK(World.State.Calls.empty());
  CHECK(World.State.Attempts.empty());
  for (const auto &[Id, Target] : World.State.Targets)
    CHECK(Target.Outstanding == 0);
}

TEST_CASE(
    "Relay: at the deadline a sent request is refused with unknown outcome") {
  RelayWorld World;
  World.makeReady();
  World.ask("/plain/x");
  World.passTime(Milliseconds(1000));
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::DeadlinePassed);
  CHECK(Refused[0].Refusal.Ran == Execution::Unknown);
  CHECK(World.all<CancelTargetAttempt>().size() == 1);
}

TEST_CASE("Relay: leaving and unregistered targets get no new requests") {
  RelayWorld World;
  World.makeReady();
  World.addTarget("t1", "a", true);
  World.apply(TargetUnregistered{TargetId("t2")});
  World.ask("/plain/x");
  CHECK(World.all<SendAttempt>().empty());
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::NoTarget);
}

TEST_CASE("Relay: registrations that lapse in a key-value outage may return") {
  RelayWorld World;
  World.makeReady();
  World.apply(DirectoryLost{});
  World.apply(TargetUnregistered{TargetId("t1")});
  World.apply(TargetUnregistered{TargetId("t2")});
  World.ask("/plain/x", "while away");
  CHECK(World.all<SendAttempt>().size() == 1);
  World.apply(DirectoryRegained{});
  World.addTarget("t1");
  World.passTime(Milliseconds(1900));
  CHECK(World.State.Targets.size() == 2);
  World.passTime(Milliseconds(200));
  CHECK(World.State.Targets.size() == 1);
}

TEST_CASE("Relay: a stream ends only once its turn is durable") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(100, 20);
  CHECK(World.sentToReplicas<OpenTurn>().size() == 3);
  World.answerOpen("a");
  CHECK(World.all<SendAttempt>().empty());
  World.answerOpen("b");
  // This close to the end of the budget the claims are read a second time.
  CHECK(World.all<SendAttempt>().empty());
  World.answerOpen("a");
  World.answerOpen("c");
  const auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  World.apply(AttemptHeadCame{Sent[0].Attempt, RelayWorld::head(200, true)});
  World.apply(AttemptBytesCame{Sent[0].Attempt, "id: 1\ndata: one\n"});
  CHECK(World.all<BeginAnswer>().empty());
  World.apply(AttemptBytesCame{Sent[0].Attempt, "\nid: 2\ndata: two\n\n"});
  CHECK(World.all<BeginAnswer>().size() == 1);
  World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  CHECK(World.all<FinishAnswer>().empty());
  const auto Closes = World.sentToReplicas<CloseTurn>();
  REQUIRE(Closes.size() == 3);
  CHECK(Closes[0].Used->Value == 20);
  CHECK(Closes[0].Input == "input");
  CHECK(Closes[0].Output == "one\ntwo\n");
  World.confirmClose("a");
  CHECK(World.all<FinishAnswer>().empty());
  World.confirmClose("c");
  CHECK(World.all<FinishAnswer>().size() == 1);
  CHECK(World.State.Calls.empty());
  CHECK(World.State.Closes.empty());
}

TEST_CASE("Relay: an interrupted stream is aborted, not completed") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(1000, 20);
  World.answerOpen("a");
  World.answerOpen("b");
  const auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  World.apply(AttemptHeadCame{Sent[0].Attempt, RelayWorld::head(200, true)});
  World.apply(AttemptBytesCame{Sent[0].Attempt, "id: 1\ndata: one\n\nid: 2"});
  SECTION("the connection fails") {
    World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Broken});
  }
  SECTION("the answer ends in the middle of an event") {
    World.apply(AttemptEnded{Sent[0].Attempt, AttemptEnded::Kind::Complete});
  }
  CHECK(World.all<FinishAnswer>().empty());
  CHECK(World.all<BreakAnswer>().size() == 1);
  // Events that the caller received count against the budget.
  REQUIRE_FALSE(World.sentToReplicas<CloseTurn>().empty());
  CHECK(World.sentToReplicas<CloseTurn>()[0].Used->Value == 10);
  CHECK_FALSE(World.sentToReplicas<CloseTurn>()[0].IsKept);
}

TEST_CASE(
    "Relay: a turn is refused before it runs if the budget is exhausted") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(100, 20);
  const std::vector<TokenClaim> Spent = {
      {Fingerprint(1), TokenCount{60}, true},
      {Fingerprint(2), TokenCount{40}, false}};
  World.answerOpen("a", false, Spent);
  World.answerOpen("b", false, Spent);
  CHECK(World.all<SendAttempt>().empty());
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::BudgetExhausted);
  CHECK(World.sentToReplicas<CloseTurn>()[0].Used->Value == 0);
}

TEST_CASE("Relay: a settled claim takes precedence over an older open one") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(100, 20);
  // Replica a missed the close of the turn and still has the full claim.
  World.answerOpen("a", false, {{Fingerprint(1), TokenCount{100}, false}});
  World.answerOpen("b", false, {{Fingerprint(1), TokenCount{10}, true}});
  World.answerOpen("a", false, {{Fingerprint(1), TokenCount{100}, false}});
  World.answerOpen("b", false, {{Fingerprint(1), TokenCount{10}, true}});
  CHECK(World.all<SendAttempt>().size() == 1);
}

TEST_CASE("Relay: a turn is refused as unknown only by a quorum") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(1000, 20, "turn-2", TurnId("gone"));
  World.answerOpen("a");
  CHECK(World.all<RefuseCaller>().empty());
  World.answerOpen("b");
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::UnknownTurn);
}

TEST_CASE("Relay: one replica that has the previous turn is sufficient") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(1000, 20, "turn-2", TurnId("turn-1"));
  World.answerOpen("a");
  World.answerOpen("b", true);
  // The first history source did not have the turn, so another is asked.
  CHECK(World.all<RefuseCaller>().empty());
  World.answerOpen("b", true, {}, "history");
  const auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].History == "history");
}

TEST_CASE(
    "Relay: without a quorum turns are refused and the relay is not ready") {
  RelayWorld World;
  World.makeReady();
  CHECK(isRelayReady(World.State));
  World.askTurn(1000, 20);
  World.apply(ReplicaDisconnected{HolderId("a")});
  CHECK(World.all<RefuseCaller>().empty());
  World.apply(ReplicaDisconnected{HolderId("b")});
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::LedgerUnavailable);
  CHECK(World.all<RefuseCaller>()[0].Refusal.Ran == Execution::NotRun);
  CHECK(World.all<RefuseCaller>()[0].Refusal.RetryAfter > Milliseconds(0));
  World.passTime(Milliseconds(400));
  CHECK_FALSE(isRelayReady(World.State));
  World.apply(ReplicaConnected{HolderId("a")});
  CHECK(isRelayReady(World.State));
}

TEST_CASE(
    "Relay: replicas without heartbeats do not count towards the quorum") {
  RelayWorld World;
  World.makeReady();
  const auto PassTicks = [&World](int Millis) {
    for (int Passed = 0; Passed < Millis; Passed += 25)
      World.passTime(Milliseconds(25));
  };
  PassTicks(500);
  World.askTurn(1000, 50, "waits");
  PassTicks(225);
  // Refused at the replicas' heartbeat time-out, not at the ledger time-out.
  REQUIRE(World.all<RefuseCaller>().size() == 1);
  World.askTurn(1000, 50, "late");
  CHECK(World.all<RefuseCaller>().size() == 2);
  PassTicks(300);
  CHECK_FALSE(isRelayReady(World.State));
  for (const char *Name : {"a", "c"})
    World.apply(ReplicaSaid{HolderId(Name), Heartbeat{}});
  CHECK(isRelayReady(World.State));
  World.askTurn(1000, 50, "back");
  CHECK(World.all<RefuseCaller>().size() == 2);
}

TEST_CASE(
    "Relay: after a stall of its own process, replicas still count as live") {
  RelayWorld World;
  World.makeReady();
  World.passTime(Milliseconds(3000));
  World.askTurn(1000, 50);
  CHECK(World.all<RefuseCaller>().empty());
}

TEST_CASE("Relay: not ready before the ledger is connected") {
  RelayWorld World;
  World.configure();
  CHECK_FALSE(isRelayReady(World.State));
  World.connectLedger();
  CHECK(isRelayReady(World.State));
}

TEST_CASE("Relay: pending turns are reopened under a newer view") {
  RelayWorld World;
  World.makeReady();
  World.askTurn(1000, 20);
  LedgerView View = World.State.View;
  View.Version = ViewVersion(2);
  View.Current[2] = RelayWorld::member("d");
  World.apply(
      ReplicaSaid{HolderId("a"),
                  LedgerRefused{World.sentToReplicas<OpenTurn>()[0].Operation,
                                HolderId("a"), View}});
  CHECK(World.State.View.Version == ViewVersion(2));
  CHECK(World.sentToReplicas<OpenTurn>().back().View == ViewVersion(2));
  World.answerOpen("a");
  World.answerOpen("b");
  CHECK(World.all<SendAttempt>().size() == 1);
}

TEST_CASE(
    "Relay: a replica with an older view gets the view and the request again") {
  RelayWorld World;
  World.makeReady();
  LedgerView Behind;
  SECTION("when a turn is opened") {
    World.askTurn(1000, 50);
    World.apply(ReplicaDisconnected{HolderId("c")});
    World.answerOpen("a");
    const auto Asked = World.sentToReplicas<OpenTurn>().back();
    World.Effects.clear();
    World.apply(ReplicaSaid{
        HolderId("b"), LedgerRefused{Asked.Operation, HolderId("b"), Behind}});
    REQUIRE(World.sentToReplicas<OpenTurn>().size() == 1);
    CHECK(World.sentToReplicas<OpenTurn>()[0].Claimed == Asked.Claimed);
    World.answerOpen("b");
    CHECK(World.all<SendAttempt>().size() == 1);
  }
  SECTION("when a turn is closed") {
    World.askTurn(1000, 50);
    World.answerOpen("a");
    World.answerOpen("b");
    const RelayAttemptId Attempt = World.all<SendAttempt>()[0].Attempt;
    World.apply(AttemptHeadCame{Attempt, RelayWorld::head(200, true)});
    World.apply(AttemptBytesCame{Attempt, "id: 1\ndata: e\n\n"});
    World.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
    const auto Asked = World.sentToReplicas<CloseTurn>().back();
    World.Effects.clear();
    World.apply(ReplicaSaid{
        HolderId("b"), LedgerRefused{Asked.Operation, HolderId("b"), Behind}});
    REQUIRE(World.sentToReplicas<CloseTurn>().size() == 1);
    CHECK(World.sentToReplicas<CloseTurn>()[0].Output == Asked.Output);
  }
  REQUIRE(World.sentToReplicas<ViewOffer>().size() == 1);
  CHECK(World.sentToReplicas<ViewOffer>()[0].View.Version == ViewVersion(1));
  CHECK(World.all<RefuseCaller>().empty());
}

TEST_CASE("Relay: a received part of the history is not requested again") {
  RelayWorld World;
  World.makeReady();
  // This close to the end of the budget the claims are read a second time.
  World.askTurn(100, 50, "turn-3", TurnId("turn-2"));
  TurnOpened Part;
  Part.Operation = World.sentToReplicas<OpenTurn>().back().Operation;
  Part.KnowsPrevious = true;
  Part.History = "in2;out2;";
  Part.MissingTurn = TurnId("turn-1");
  Part.Holder = World.State.Calls.begin()->second.Ledger.HistoryAsked;
  World.apply(ReplicaSaid{Part.Holder, Part});
  World.Effects.clear();
  const HolderId Other =
      Part.Holder == HolderId("b") ? HolderId("c") : HolderId("b");
  Part.History.reset();
  Part.MissingTurn.reset();
  World.apply(ReplicaSaid{Other, Part});
  for (const OpenTurn &Again : World.sentToReplicas<OpenTurn>())
    CHECK_FALSE(Again.WantsHistory);
}

TEST_CASE("Relay: shutdown first fails readiness, then exits once idle") {
  RelayWorld World;
  World.makeReady();
  const RequestId Request = World.ask("/plain/x");
  World.apply(RelayTerminationAsked{});
  CHECK_FALSE(isRelayReady(World.State));
  World.passTime(Milliseconds(500));
  CHECK(World.all<StopAccepting>().empty());
  World.apply(CallerGone{Request});
  World.passTime(Milliseconds(3000));
  CHECK(World.all<StopAccepting>().size() == 1);
  CHECK(World.all<ExitRelay>().size() == 1);
}

TEST_CASE("Relay: a program's turns go to the target that caches its prompt") {
  RelayWorld World;
  World.makeReady();
  World.addTarget("t3", "b");
  std::set<TargetId> Used;
  for (int Turn = 0; Turn < 8; ++Turn) {
    const RequestId Request =
        World.askTurn(100000, 20, "turn-" + std::to_string(Turn));
    World.answerOpen("a");
    World.answerOpen("b");
    Used.insert(World.all<SendAttempt>().back().Target.Id);
    World.apply(CallerGone{Request});
  }
  CHECK(Used.size() == 1);
}

TEST_CASE("Relay: under load requests are distributed evenly over targets") {
  RelayWorld World;
  World.makeReady();
  std::map<TargetId, int> Sent;
  for (int Number = 0; Number < 8; ++Number)
    World.ask("/plain/x", "r" + std::to_string(Number));
  for (const SendAttempt &Each : World.all<SendAttempt>())
    ++Sent[Each.Target.Id];
  REQUIRE(Sent.size() == 2);
  CHECK(Sent.begin()->second == 4);
}

TEST_CASE("Relay: requests far beyond the targets' slots are refused at once") {
  RelayWorld World;
  World.makeReady();
  for (int Number = 0; Number < 30; ++Number)
    World.ask("/plain/x", "r" + std::to_string(Number));
  const auto Refused = World.all<RefuseCaller>();
  REQUIRE_FALSE(Refused.empty());
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refused[0].Refusal.Ran == Execution::NotRun);
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
