/// Hedged requests: a second send of a slow call, within limits.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with hedging on and three targets of 4 slots. The answers of the
/// service begin after 10 ms.
class HedgeFixture : public RelayFixture {
public:
  explicit HedgeFixture(double Share = 0.2) {
    this->makeReady();
    this->addTarget("t3");
    this->State.Options.HedgeShare = Share;
    this->State.Configuration->Routes[0].MaxAttempts = 3;
    this->State.Configuration->Routes[1].MaxAttempts = 3;
    for (int Number = 0; Number < 60; ++Number) {
      const std::string Id = "warm-" + std::to_string(Number);
      this->ask("/plain/x", Id);
      this->passTime(Milliseconds(10));
      this->answer(this->lastSent(), 200);
    }
    this->Effects.clear();
  }

  SendAttempt lastSent() const { return this->all<SendAttempt>().back(); }

  void head(const SendAttempt &Sent, std::uint16_t Status) {
    this->apply(AttemptHeadReceived{Sent.Attempt, RelayFixture::head(Status)});
  }
  void bytes(const SendAttempt &Sent, const std::string &Text) {
    this->apply(AttemptBytesReceived{Sent.Attempt, Text});
  }
  void end(const SendAttempt &Sent, AttemptEnded::Kind Kind) {
    this->apply(AttemptEnded{Sent.Attempt, Kind});
  }
  void answer(const SendAttempt &Sent, std::uint16_t Status,
              const std::string &Body = "body") {
    this->head(Sent, Status);
    this->bytes(Sent, Body);
    this->end(Sent, AttemptEnded::Kind::Complete);
  }

  /// Sends a call and lets it wait. Returns its attempts.
  std::vector<SendAttempt> sendSlow(const std::string &Path = "/plain/x",
                                    const std::string &Id = "slow") {
    this->Effects.clear();
    this->ask(Path, Id);
    this->passTime(Milliseconds(10));
    CHECK(this->all<SendAttempt>().size() == 1);
    this->passTime(Milliseconds(25));
    return this->all<SendAttempt>();
  }

  std::string body() const {
    std::string Body;
    for (const ContinueAnswer &Each : this->all<ContinueAnswer>())
      Body += Each.Bytes;
    return Body;
  }

  std::size_t counted(const std::string &Name, const std::string &Cause) const {
    std::size_t Count = 0;
    for (const CountMetric &Each : this->all<CountMetric>())
      Count += Each.Name == Name && Each.Cause == Cause ? 1 : 0;
    return Count;
  }

  void checkIdle() const {
    CHECK(this->State.Calls.empty());
    CHECK(this->State.Attempts.empty());
    for (const auto &[Id, Target] : this->State.Targets)
      CHECK(Target.Outstanding == 0);
  }
};

} // namespace

TEST_CASE("Hedge: a slow call is sent to another target, once") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(Sent[0].Target.Id == Sent[1].Target.Id);
  Fixture.passTime(Milliseconds(25));
  CHECK(Fixture.all<SendAttempt>().size() == 2);
  CHECK(Fixture.counted("relay_hedges_total", "sent") == 1);
}

TEST_CASE("Hedge: the first complete answer is forwarded whole, and nothing of "
          "the other one") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  const bool HasHedgeWon = GENERATE(true, false);
  const SendAttempt &Winner = Sent[HasHedgeWon ? 1 : 0];
  const SendAttempt &Loser = Sent[HasHedgeWon ? 0 : 1];
  Fixture.head(Winner, 200);
  Fixture.bytes(Winner, "win");
  Fixture.head(Loser, 200);
  Fixture.bytes(Loser, "lose");
  Fixture.bytes(Winner, "ner");
  Fixture.bytes(Loser, "r");
  Fixture.end(Winner, AttemptEnded::Kind::Complete);
  CHECK(Fixture.body() == "winner");
  CHECK(Fixture.all<BeginAnswer>().size() == 1);
  CHECK(Fixture.all<FinishAnswer>().size() == 1);
  const auto Cancelled = Fixture.all<CancelTargetAttempt>();
  REQUIRE(Cancelled.size() == 1);
  CHECK(Cancelled[0].Attempt == Loser.Attempt);
  CHECK(Fixture.counted("relay_hedges_total", "won") ==
        (HasHedgeWon ? 1U : 0U));
  CHECK(Fixture.counted("relay_hedges_total", "cancelled") ==
        (HasHedgeWon ? 0U : 1U));
  // What arrives of the loser after that is ignored.
  Fixture.end(Loser, AttemptEnded::Kind::Complete);
  CHECK(Fixture.all<FinishAnswer>().size() == 1);
  Fixture.checkIdle();
}

TEST_CASE("Hedge: the first answer to exceed the buffer is the one forwarded") {
  HedgeFixture Fixture;
  Fixture.State.Options.MaxBufferedAnswerBytes = 8;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  Fixture.head(Sent[0], 200);
  Fixture.bytes(Sent[0], "lose");
  Fixture.head(Sent[1], 200);
  Fixture.bytes(Sent[1], "123456789");
  CHECK(Fixture.all<CancelTargetAttempt>().size() == 1);
  Fixture.bytes(Sent[0], "loser");
  Fixture.bytes(Sent[1], "0");
  Fixture.end(Sent[1], AttemptEnded::Kind::Complete);
  CHECK(Fixture.body() == "1234567890");
  Fixture.checkIdle();
}

TEST_CASE("Hedge: while one attempt fails the other one goes on") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  const bool IsHedgeFirst = GENERATE(true, false);
  const SendAttempt &First = Sent[IsHedgeFirst ? 1 : 0];
  const SendAttempt &Second = Sent[IsHedgeFirst ? 0 : 1];
  SECTION("its connection breaks") {
    Fixture.end(First, AttemptEnded::Kind::Broken);
  }
  SECTION("it was not sent") {
    Fixture.end(First, AttemptEnded::Kind::NeverSent);
  }
  SECTION("the target fails") { Fixture.answer(First, 500, "failure"); }
  SECTION("the target did not run it") {
    TargetAnswerHead Full = RelayFixture::head(503);
    Full.IsNotRun = true;
    Fixture.apply(AttemptHeadReceived{First.Attempt, Full});
    Fixture.end(First, AttemptEnded::Kind::Complete);
  }
  SECTION("the answer is not signed") {
    TargetAnswerHead Unsigned = RelayFixture::head(200);
    Unsigned.IsSigned = false;
    Fixture.apply(AttemptHeadReceived{First.Attempt, Unsigned});
    Fixture.bytes(First, "unsigned");
    Fixture.end(First, AttemptEnded::Kind::Complete);
  }
  CHECK(Fixture.all<SendAttempt>().size() == 2);
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.answer(Second, 200, "answer");
  CHECK(Fixture.body() == "answer");
  Fixture.checkIdle();
}

TEST_CASE("Hedge: after both attempts have failed the call is retried within "
          "its attempts, then refused") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  Fixture.end(Sent[1], AttemptEnded::Kind::Broken);
  Fixture.end(Sent[0], AttemptEnded::Kind::Broken);
  REQUIRE(Fixture.all<SendAttempt>().size() == 3);
  Fixture.end(Fixture.lastSent(), AttemptEnded::Kind::Broken);
  CHECK(Fixture.all<SendAttempt>().size() == 3);
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::Unknown);
  Fixture.checkIdle();
}

TEST_CASE("Hedge: a silent attempt is given up for its hedge") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  Fixture.passTime(Milliseconds(600));
  const auto Cancelled = Fixture.all<CancelTargetAttempt>();
  REQUIRE_FALSE(Cancelled.empty());
  CHECK(Cancelled[0].Attempt == Sent[0].Attempt);
  Fixture.answer(Sent[1], 200, "answer");
  CHECK(Fixture.body() == "answer");
  Fixture.checkIdle();
}

TEST_CASE("Hedge: both attempts end with the call") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  SECTION("its caller is gone") {
    Fixture.apply(
        RelayCallerDisconnected{Fixture.State.Calls.begin()->second.Request});
  }
  SECTION("its deadline passes") {
    Fixture.passTime(Milliseconds(2000));
    const auto Refused = Fixture.all<RefuseCaller>();
    REQUIRE(Refused.size() == 1);
    CHECK(Refused[0].Refusal.ExecutionStatus == Execution::Unknown);
  }
  CHECK(Fixture.all<CancelTargetAttempt>().size() == 2);
  Fixture.checkIdle();
}

TEST_CASE("Hedge: none is sent where it is not allowed") {
  HedgeFixture Fixture;
  std::string Path = "/plain/x";
  std::string Cause;
  RelayOptions &Options = Fixture.State.Options;
  SECTION("hedging is off") { Options.HedgeShare = 0; }
  SECTION("the call is not idempotent") { Path = "/once/x"; }
  SECTION("the call is a stream") {
    Path = "/turn/x";
    Fixture.State.Configuration->Routes[2].IsIdempotent = true;
    Fixture.State.Configuration->Routes[2].MaxAttempts = 3;
  }
  SECTION("the route has no attempt left") {
    Fixture.State.Configuration->Routes[0].MaxAttempts = 1;
    Cause = "attempts";
  }
  SECTION("the share is used up") {
    Fixture.State.HedgeCredits[ServiceName("app")] = 0.7;
    Cause = "share";
  }
  SECTION("the service is loaded") {
    for (const char *Name : {"t1", "t2", "t3"}) {
      RelayTarget &Target = Fixture.State.Targets.at(TargetId(Name));
      Target.Load.Report = TargetLoad{3, 0, std::nullopt, std::nullopt};
      Target.Load.ReportedAt = Fixture.State.Now;
    }
    Cause = "load";
  }
  SECTION("the route needs a key meanwhile") {
    Fixture.State.Configuration->Teams[TeamId("x")] = TeamSettings();
    Fixture.State.Configuration->Routes[0].IsPublic = true;
    Cause = "key";
  }
  SECTION("there is no other target") {
    Fixture.apply(TargetUnregistered{TargetId("t2")});
    Fixture.apply(TargetUnregistered{TargetId("t3")});
    // The registrations are missed for the grace period only.
    Fixture.State.Targets.erase(TargetId("t2"));
    Fixture.State.Targets.erase(TargetId("t3"));
    Fixture.State.TargetsByService[ServiceName("app")] = {TargetId("t1")};
    Cause = "no_target";
  }
  SECTION("too few answers are known") { Fixture.State.FirstByteTimes.clear(); }
  Fixture.Effects.clear();
  Fixture.ask(Path, "slow");
  Fixture.State.Configuration->Routes[0].IsPublic = false;
  for (auto &[Request, Call] : Fixture.State.Calls)
    Call.Route.IsPublic = false;
  Fixture.passTime(Milliseconds(35));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  if (!Cause.empty())
    CHECK(Fixture.counted("relay_hedges_denied_total", Cause) == 1);
  Fixture.passTime(Milliseconds(25));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
}

TEST_CASE("Hedge: a suspect content is never sent twice at once") {
  HedgeFixture Fixture;
  Fixture.Effects.clear();
  Fixture.ask("/plain/x", "slow");
  const Fingerprint Content = Fixture.State.Calls.begin()->second.Content;
  recordCrash(Fixture.State.Quarantine, Content, TargetRun{TargetId("t9"), 1},
              {CrashExposure::BeforeOutput, Fixture.State.Now});
  Fixture.passTime(Milliseconds(35));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.counted("relay_hedges_denied_total", "suspect") == 1);
}

TEST_CASE("Hedge: a target that states a limit gets one only with a permit") {
  HedgeFixture Fixture;
  Fixture.Effects.clear();
  Fixture.ask("/plain/x", "slow");
  const TargetId Used = Fixture.lastSent().Target.Id;
  TargetAnswerHead Limited = RelayFixture::head(200);
  for (const char *Name : {"t1", "t2", "t3"}) {
    if (TargetId(Name) == Used)
      continue;
    const TargetRun Run = Fixture.State.Targets.at(TargetId(Name)).Entry.run();
    Fixture.apply(ReplicaMessageReceived{
        HolderId("a"), TargetLimitNotice{Run, RequestRate{5}, Milliseconds(1),
                                         Milliseconds(1)}});
  }
  Fixture.passTime(Milliseconds(35));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
}

TEST_CASE("Hedge: lost hedges count as evidence against a content like any "
          "send") {
  HedgeFixture Fixture;
  const auto Sent = Fixture.sendSlow();
  REQUIRE(Sent.size() == 2);
  Fixture.end(Sent[1], AttemptEnded::Kind::Broken);
  const auto Lost = Fixture.State.Losses.find(Sent[1].Target.run());
  REQUIRE(Lost != Fixture.State.Losses.end());
  REQUIRE(Lost->second.Attempts.size() == 1);
  CHECK(Lost->second.Attempts[0].Request == CallerAttemptId("slow"));
}

TEST_CASE("Hedge: hedges stay within the share when every answer is slow") {
  const double Share = GENERATE(0.02, 0.05, 0.2);
  HedgeFixture Fixture(Share);
  Fixture.State.HedgeCredits.clear();
  constexpr int RequestCount = 1000;
  std::size_t Hedges = 0;
  for (int Number = 0; Number < RequestCount; ++Number) {
    Fixture.Effects.clear();
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
    // Longer each time, so that each one exceeds the percentile.
    Fixture.passTime(Milliseconds(50 + Number / 4));
    const auto Sent = Fixture.all<SendAttempt>();
    Hedges += Sent.size() - 1;
    Fixture.answer(Sent.front(), 200);
  }
  CHECK(static_cast<double>(Hedges) <= Share * RequestCount);
  CHECK(Share * RequestCount * 0.8 <= static_cast<double>(Hedges));
}

TEST_CASE("Hedge: the delay grows with the work that a request states") {
  HedgeFixture Fixture;
  const auto Send = [&Fixture](std::uint64_t Tokens) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId("tokens");
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/plain/x";
    Inbound.PromptTokens = TokenCount{Tokens};
    static std::uint64_t Next = 5000;
    Fixture.Effects.clear();
    Fixture.apply(CallerRequestReceived{RequestId(++Next), Inbound});
  };
  for (int Number = 0; Number < 40; ++Number) {
    Send(1000);
    Fixture.passTime(Milliseconds(20));
    Fixture.answer(Fixture.lastSent(), 200);
  }
  Send(4000);
  Fixture.passTime(Milliseconds(80));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  Fixture.passTime(Milliseconds(10));
  CHECK(Fixture.all<SendAttempt>().size() == 2);
}
