/// Tests of teams: which requests need a key, what happens when a key is
/// removed, and that no team reads or changes what the relay and the ledger
/// keep for another one.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr std::uint32_t TeamPriority = 7;

using TeamsByKey = std::map<std::string, std::string>;

/// A relay with the teams x and y, and a ledger that answers from the turns
/// that were closed and the tokens that were claimed.
class TeamFixture : public RelayFixture {
public:
  TeamFixture() {
    this->makeReady();
    this->setKeys({{"key-x", "x"}, {"key-y", "y"}});
    this->Effects.clear();
  }

  static KeyDigest digestOf(const std::string &Key) {
    return KeyDigest("digest of " + Key);
  }

  /// Replaces teams and keys by those of a new configuration.
  void setKeys(const TeamsByKey &Keys) {
    RelayConfiguration Next = *this->State.Configuration;
    Next.Version = ConfigVersion(Next.Version.Value + 1);
    Next.Teams.clear();
    Next.TeamByKey.clear();
    for (const auto &[Key, Team] : Keys) {
      TeamSettings Settings;
      Settings.Team = TeamId(Team);
      Settings.Priority = TeamPriority;
      Next.Teams[Settings.Team] = Settings;
      Next.TeamByKey[digestOf(Key).Value] = Settings.Team;
    }
    this->apply(RelayConfigured{Next});
  }

  RelayRoute &route(const std::string &Name) {
    for (RelayRoute &Each : this->State.Configuration->Routes) {
      if (Each.Name.Value == Name)
        return Each;
    }
    FAIL("no route " << Name);
    return this->State.Configuration->Routes.front();
  }

  RequestId send(CallerRequest Inbound) {
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.Body = "input";
    const RequestId Request(++this->LastRequest);
    this->apply(CallerRequestReceived{Request, std::move(Inbound)});
    return Request;
  }

  RequestId sendTo(const std::string &Path, CallerCredential Credential) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId("r-" + std::to_string(this->LastRequest));
    Inbound.RequestTarget = Path;
    Inbound.Credential = std::move(Credential);
    return this->send(std::move(Inbound));
  }

  /// Opens a turn of a program, and answers for the ledger.
  RequestId turn(const CallerCredential &Credential, const std::string &Id,
                 std::optional<TurnId> Previous = std::nullopt,
                 const std::string &Program = "p") {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.RequestTarget = "/turn/x";
    Inbound.Credential = Credential;
    Inbound.Program = ProgramContext{ProgramId(Program), AgentId("s"),
                                     Milliseconds(4000), TokenCount{100}};
    Inbound.MaxTokens = TokenCount{60};
    Inbound.PreviousTurn = std::move(Previous);
    const RequestId Request = this->send(std::move(Inbound));
    this->answerAsLedger();
    return Request;
  }

  /// Answers the open turns of this relay from the ledger's records.
  void answerAsLedger() {
    for (int Round = 0; Round < 3 && !this->State.PendingOpens.empty();
         ++Round) {
      const OpenTurn Open = this->sentToReplicas<OpenTurn>().back();
      if (Open.Claimed)
        this->Claims[Open.Program].push_back(
            TokenClaim{fingerprintOf(Open.Turn), *Open.Claimed, false});
      const bool HasPrevious = Open.Previous && this->isClosed(*Open.Previous);
      for (const char *Holder : {"a", "b"})
        this->answerOpen(Holder, HasPrevious, this->Claims[Open.Program],
                         HasPrevious ? std::optional<std::string>("history")
                                     : std::nullopt);
    }
  }

  SendAttempt lastAttempt() const {
    const auto Sent = this->all<SendAttempt>();
    REQUIRE_FALSE(Sent.empty());
    return Sent.back();
  }

  void sendEvent() {
    const RelayAttemptId Attempt = this->lastAttempt().Attempt;
    this->apply(AttemptHeadReceived{Attempt, head(200, true)});
    this->apply(AttemptBytesReceived{Attempt, "id: 1\ndata: x\n\n"});
  }

  void endAttempt(AttemptEnded::Kind Ended) {
    this->apply(AttemptEnded{this->lastAttempt().Attempt, Ended});
  }

  /// Runs the last turn sent to its end and makes it durable.
  void completeTurn() {
    this->sendEvent();
    this->endAttempt(AttemptEnded::Kind::Complete);
    this->confirmClose("a");
    this->confirmClose("b");
  }

  bool isClosed(const TurnId &Turn) const {
    for (const CloseTurn &Each : this->sentToReplicas<CloseTurn>()) {
      if (Each.IsKept && Each.Turn == Turn)
        return true;
    }
    return false;
  }

  /// Fills the slots of the only target with turns of team y.
  void fillTargets() {
    this->apply(TargetUnregistered{TargetId("t2")});
    this->passTime(Milliseconds(3000));
    // A growing rate of first turns would hold the last of them back.
    this->State.Options.StartRateNoise = 1000;
    for (int Number = 0; Number < 4; ++Number) {
      const std::string Id = "fill-" + std::to_string(Number);
      this->turn(digestOf("key-y"), Id, std::nullopt, Id);
    }
    REQUIRE(this->all<SendAttempt>().size() == 4);
  }

  std::size_t sent() const { return this->all<SendAttempt>().size(); }

private:
  std::uint64_t LastRequest = 1000;
  std::map<ProgramId, std::vector<TokenClaim>> Claims;
};

void checkRefused(const TeamFixture &Fixture, RelayRefusalReason Reason,
                  Execution Ran = Execution::NotRun) {
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(toString(Refused[0].Refusal.Reason) == std::string(toString(Reason)));
  CHECK(Refused[0].Refusal.ExecutionStatus == Ran);
}

const KeyDigest X = TeamFixture::digestOf("key-x");
const KeyDigest Y = TeamFixture::digestOf("key-y");
const KeyDigest Unknown = TeamFixture::digestOf("key-unknown");

} // namespace

TEST_CASE("Team: a request without a team's key is refused before anything is "
          "claimed, queued or sent") {
  TeamFixture Fixture;
  RelayRefusalReason Expected = RelayRefusalReason::UnknownKey;
  CallerCredential Credential;
  SECTION("no key") {}
  SECTION("unknown key") { Credential = Unknown; }
  SECTION("bad form") {
    Credential = InvalidCredential();
    Expected = RelayRefusalReason::InvalidCredential;
  }
  SECTION("a key whose team the caller also has by name") {
    Credential = KeyDigest("x");
  }
  CallerRequest Inbound;
  Inbound.Id = CallerAttemptId("r1");
  Inbound.RequestTarget = "/turn/x";
  Inbound.Credential = Credential;
  Inbound.Program =
      ProgramContext{ProgramId("p"), AgentId("s"), {}, TokenCount{100}};
  Fixture.send(Inbound);
  checkRefused(Fixture, Expected);
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.all<SendToReplica>().empty());
  CHECK(Fixture.State.Calls.empty());
  CHECK(Fixture.State.PathsByRoute.empty());
}

TEST_CASE("Team: a missing route is reported before a missing key") {
  TeamFixture Fixture;
  Fixture.sendTo("/elsewhere/x", InvalidCredential());
  checkRefused(Fixture, RelayRefusalReason::NoRoute);
}

TEST_CASE("Team: a relay without a configuration never blames the key") {
  TeamFixture Fixture;
  Fixture.State.Configuration.reset();
  Fixture.sendTo("/plain/x", Unknown);
  Fixture.passTime(Fixture.State.Options.StartupGracePeriod);
  checkRefused(Fixture, RelayRefusalReason::NotConfigured);
}

TEST_CASE("Team: a public route needs no key, and a known one sets the team") {
  TeamFixture Fixture;
  Fixture.route("plain").IsPublic = true;
  for (const CallerCredential &Each :
       {CallerCredential(), CallerCredential(Unknown),
        CallerCredential(InvalidCredential())}) {
    Fixture.sendTo("/plain/x", Each);
    CHECK_FALSE(Fixture.lastAttempt().Team);
    CHECK(Fixture.lastAttempt().IsCredentialWithheld);
  }
  Fixture.sendTo("/plain/x", X);
  CHECK(Fixture.lastAttempt().Team == TeamId("x"));
  CHECK(Fixture.sent() == 4);
}

TEST_CASE("Team: a key sets the team and its priority, not the route's") {
  TeamFixture Fixture;
  Fixture.route("plain").Priority = 3;
  const RequestId Keyed = Fixture.sendTo("/plain/x", X);
  CHECK(Fixture.lastAttempt().Team == TeamId("x"));
  CHECK(Fixture.lastAttempt().IsCredentialWithheld);
  CHECK(Fixture.State.Calls.at(Keyed).Team == TeamId("x"));
  CHECK(Fixture.State.Calls.at(Keyed).Priority == TeamPriority);
  Fixture.route("plain").IsPublic = true;
  const RequestId Keyless = Fixture.sendTo("/plain/x", std::monostate());
  CHECK(Fixture.State.Calls.at(Keyless).Priority == 3);
}

TEST_CASE("Team: without teams no key is needed and all headers are "
          "forwarded") {
  TeamFixture Fixture;
  Fixture.setKeys({});
  for (const CallerCredential &Each : {CallerCredential(), CallerCredential(X),
                                       CallerCredential(InvalidCredential())})
    Fixture.sendTo("/plain/x", Each);
  REQUIRE(Fixture.sent() == 3);
  for (const SendAttempt &Each : Fixture.all<SendAttempt>()) {
    CHECK_FALSE(Each.Team);
    CHECK_FALSE(Each.IsCredentialWithheld);
  }
}

TEST_CASE("Team: a turn of another team is an unknown turn") {
  // Guards against a turn's key at the ledger that lacks the team.
  TeamFixture Fixture;
  Fixture.turn(Y, "turn-1");
  Fixture.completeTurn();
  REQUIRE(Fixture.sent() == 1);
  Fixture.turn(X, "turn-2", TurnId("turn-1"));
  CHECK(Fixture.sent() == 1);
  checkRefused(Fixture, RelayRefusalReason::UnknownTurn);
  Fixture.Effects.erase(
      std::remove_if(Fixture.Effects.begin(), Fixture.Effects.end(),
                     [](const RelayEffect &Each) {
                       return std::holds_alternative<RefuseCaller>(Each);
                     }),
      Fixture.Effects.end());
  Fixture.turn(Y, "turn-3", TurnId("turn-1"));
  CHECK(Fixture.all<RefuseCaller>().empty());
  CHECK(Fixture.lastAttempt().History == "history");
}

TEST_CASE("Team: one attempt id in two teams names two turns") {
  TeamFixture Fixture;
  Fixture.turn(X, "turn-1");
  Fixture.completeTurn();
  Fixture.turn(Y, "turn-1");
  Fixture.completeTurn();
  std::set<TurnId> Kept;
  for (const CloseTurn &Each : Fixture.sentToReplicas<CloseTurn>())
    Kept.insert(Each.Turn);
  CHECK(Kept.size() == 2);
}

TEST_CASE("Team: a program id in two teams names two programs with budgets of "
          "their own") {
  TeamFixture Fixture;
  // Two turns of 60 tokens exceed the budget of 100 that each program has.
  Fixture.turn(X, "turn-1");
  Fixture.turn(X, "turn-2");
  REQUIRE(Fixture.sent() == 2);
  Fixture.turn(Y, "turn-3");
  CHECK(Fixture.sent() == 3);
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.turn(X, "turn-4");
  CHECK(Fixture.sent() == 3);
  checkRefused(Fixture, RelayRefusalReason::BudgetExhausted);
}

TEST_CASE("Team: without a team the ledger gets the caller's ids as they are") {
  // Guards against losing what data folders hold from the time before teams.
  TeamFixture Fixture;
  Fixture.setKeys({});
  Fixture.turn(std::monostate(), "turn-1");
  const OpenTurn Open = Fixture.sentToReplicas<OpenTurn>().back();
  CHECK(Open.Turn == TurnId("turn-1"));
  CHECK(Open.Program == ProgramId("p"));
  Fixture.completeTurn();
  Fixture.turn(std::monostate(), "turn-2", TurnId("turn-1"));
  CHECK(Fixture.sentToReplicas<OpenTurn>().back().Previous == TurnId("turn-1"));
  CHECK(Fixture.sentToReplicas<CloseTurn>().back().Turn == TurnId("turn-1"));
  CHECK(Fixture.sentToReplicas<CloseTurn>().back().Program == ProgramId("p"));
}

TEST_CASE("Team: ids at the ledger begin with the team") {
  // Guards the meaning of stored records, which outlive the process.
  TeamFixture Fixture;
  Fixture.turn(X, "turn-1");
  const OpenTurn Open = Fixture.sentToReplicas<OpenTurn>().back();
  CHECK(Open.Turn == TurnId("x\x1fturn-1"));
  CHECK(Open.Program == ProgramId("x\x1fp"));
}

TEST_CASE("Team: a call that is queued when its key is removed is refused as "
          "not run") {
  TeamFixture Fixture;
  Fixture.fillTargets();
  const RequestId Queued =
      Fixture.turn(X, "turn-1", std::nullopt, "new program");
  REQUIRE(Fixture.State.QueuedCalls.count(Queued) == 1);
  RelayRefusalReason Expected = RelayRefusalReason::UnknownKey;
  SECTION("removed") { Fixture.setKeys({{"key-y", "y"}}); }
  SECTION("replaced") { Fixture.setKeys({{"new-key", "x"}, {"key-y", "y"}}); }
  SECTION("given to another team") {
    Fixture.setKeys({{"key-x", "y"}, {"key-y", "y"}});
  }
  SECTION("removed with all teams") { Fixture.setKeys({}); }
  SECTION("kept") {
    Fixture.setKeys({{"key-x", "x"}, {"key-y", "y"}});
    Expected = RelayRefusalReason::Malformed;
  }
  Fixture.Effects.clear();
  for (const auto &[Attempt, Request] : std::map(Fixture.State.Attempts))
    Fixture.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Broken});
  std::vector<RelayRefusal> OfQueued;
  for (const RefuseCaller &Each : Fixture.all<RefuseCaller>()) {
    if (Each.Request == Queued)
      OfQueued.push_back(Each.Refusal);
  }
  if (Expected == RelayRefusalReason::Malformed) {
    CHECK(OfQueued.empty());
    CHECK(Fixture.lastAttempt().Request == Queued);
    return;
  }
  REQUIRE(OfQueued.size() == 1);
  CHECK(OfQueued[0].Reason == Expected);
  CHECK(OfQueued[0].ExecutionStatus == Execution::NotRun);
  CHECK(Fixture.sent() == 0);
  // The tokens that the turn has claimed are given back.
  CHECK(Fixture.sentToReplicas<CloseTurn>().back().Used->Value == 0);
}

TEST_CASE("Team: a call whose turn is being opened when its key is removed is "
          "refused as not run") {
  TeamFixture Fixture;
  CallerRequest Inbound;
  Inbound.Id = CallerAttemptId("turn-1");
  Inbound.RequestTarget = "/turn/x";
  Inbound.Credential = X;
  Inbound.Program =
      ProgramContext{ProgramId("p"), AgentId("s"), {}, TokenCount{100}};
  Inbound.MaxTokens = TokenCount{10};
  Fixture.send(Inbound);
  Fixture.setKeys({{"key-y", "y"}});
  Fixture.answerAsLedger();
  CHECK(Fixture.sent() == 0);
  checkRefused(Fixture, RelayRefusalReason::UnknownKey);
}

TEST_CASE(
    "Team: a call is not sent again once its key is removed, and what may "
    "have run is reported so") {
  TeamFixture Fixture;
  Fixture.sendTo("/plain/x", X);
  Fixture.setKeys({{"key-y", "y"}});
  SECTION("the target did not run it") {
    Fixture.endAttempt(AttemptEnded::Kind::NeverSent);
    checkRefused(Fixture, RelayRefusalReason::UnknownKey);
  }
  SECTION("the target may have run it") {
    Fixture.endAttempt(AttemptEnded::Kind::Broken);
    checkRefused(Fixture, RelayRefusalReason::UnknownKey, Execution::Unknown);
  }
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("Team: an attempt in flight is answered although its key is "
          "removed") {
  TeamFixture Fixture;
  const RequestId Request = Fixture.sendTo("/plain/x", X);
  Fixture.setKeys({{"key-y", "y"}});
  Fixture.apply(AttemptHeadReceived{Fixture.lastAttempt().Attempt,
                                    RelayFixture::head(200)});
  Fixture.endAttempt(AttemptEnded::Kind::Complete);
  CHECK(Fixture.all<RefuseCaller>().empty());
  REQUIRE(Fixture.all<FinishAnswer>().size() == 1);
  CHECK(Fixture.all<FinishAnswer>()[0].Request == Request);
}

TEST_CASE("Team: a stream that has begun is resumed although its key is "
          "removed") {
  TeamFixture Fixture;
  RelayRoute &Route = Fixture.route("turn");
  Route.KeepsHistory = false;
  Route.IsResumable = true;
  Route.MaxAttempts = 2;
  Fixture.sendTo("/turn/x", X);
  Fixture.sendEvent();
  Fixture.setKeys({{"key-y", "y"}});
  Fixture.endAttempt(AttemptEnded::Kind::Broken);
  REQUIRE(Fixture.sent() == 2);
  CHECK(Fixture.lastAttempt().ResumeAfter == 1);
  CHECK(Fixture.lastAttempt().Team == TeamId("x"));
  // A configuration without teams must not make the relay forward the key.
  Fixture.setKeys({});
  CHECK(Fixture.lastAttempt().IsCredentialWithheld);
}

TEST_CASE("Team: a call that was admitted before there were teams needs a key "
          "once there are") {
  TeamFixture Fixture;
  Fixture.setKeys({});
  CallerCredential Credential;
  bool IsSent = false;
  SECTION("it has none") {}
  SECTION("it has an unknown one") { Credential = Unknown; }
  SECTION("it has one") {
    Credential = X;
    IsSent = true;
  }
  Fixture.sendTo("/plain/x", Credential);
  Fixture.setKeys({{"key-x", "x"}});
  Fixture.endAttempt(AttemptEnded::Kind::NeverSent);
  if (IsSent) {
    CHECK(Fixture.sent() == 2);
    CHECK_FALSE(Fixture.lastAttempt().Team);
    CHECK(Fixture.lastAttempt().IsCredentialWithheld);
    return;
  }
  CHECK(Fixture.sent() == 1);
  checkRefused(Fixture, RelayRefusalReason::UnknownKey);
}

TEST_CASE("Team: crashes of one team's content do not hold back another "
          "team's") {
  TeamFixture Fixture;
  for (int Number = 3; Number <= 9; ++Number)
    Fixture.addTarget("t" + std::to_string(Number));
  for (int Crash = 0; Crash < 4; ++Crash) {
    Fixture.sendTo("/once/x", X);
    Fixture.endAttempt(AttemptEnded::Kind::Broken);
    Fixture.apply(
        TargetConnectionProbed{Fixture.all<ProbeTargetConnection>().back().Run,
                               TargetConnectionProbed::Outcome::Refused});
    Fixture.apply(TargetUnregistered{Fixture.lastAttempt().Target.Id});
    Fixture.passTime(Milliseconds(100));
  }
  Fixture.Effects.clear();
  Fixture.sendTo("/once/x", Y);
  CHECK(Fixture.sent() == 1);
  Fixture.sendTo("/once/x", X);
  CHECK(Fixture.sent() == 1);
  checkRefused(Fixture, RelayRefusalReason::Quarantined);
}

TEST_CASE("Team: one path that several teams request does not count as several "
          "paths") {
  // Guards against accusing a whole path on a route with few paths.
  TeamFixture Fixture;
  TeamsByKey Keys;
  for (std::size_t Team = 0; Team < 2 * Fixture.State.Options.MinDistinctPaths;
       ++Team)
    Keys["key-" + std::to_string(Team)] = "team-" + std::to_string(Team);
  Fixture.setKeys(Keys);
  for (const auto &[Key, Team] : Keys)
    Fixture.apply(RelayCallerDisconnected{
        Fixture.sendTo("/once/x", TeamFixture::digestOf(Key))});
  const RequestId Last =
      Fixture.sendTo("/once/x?q", TeamFixture::digestOf("key-0"));
  const RelayCall &Call = Fixture.State.Calls.at(Last);
  const Fingerprint Content = Call.Content;
  REQUIRE_FALSE(Content == Call.PathContent);
  Fixture.endAttempt(AttemptEnded::Kind::Broken);
  REQUIRE(Fixture.State.Losses.size() == 1);
  CHECK(Fixture.State.Losses.begin()->second.Attempts.back().Content ==
        Content);
}

TEST_CASE("Team: prompt cache locations of a program id are kept per team") {
  TeamFixture Fixture;
  Fixture.turn(X, "turn-1");
  const std::size_t OfOneTeam = Fixture.State.PromptCacheLocations.size();
  Fixture.turn(Y, "turn-2");
  CHECK(Fixture.State.PromptCacheLocations.size() == 2 * OfOneTeam);
}

TEST_CASE("Team: the origin of a stream is kept for the team that began it") {
  TeamFixture Fixture;
  RelayRoute &Route = Fixture.route("turn");
  Route.KeepsHistory = false;
  Route.IsResumable = true;
  CallerRequest Inbound;
  Inbound.Id = CallerAttemptId("begun");
  Inbound.RequestTarget = "/turn/x";
  Inbound.Credential = X;
  Fixture.send(Inbound);
  Fixture.sendEvent();
  REQUIRE(Fixture.sentToReplicas<StreamStarted>().size() == 3);
  const CallerAttemptId Begun =
      Fixture.sentToReplicas<StreamStarted>().back().Attempt;
  Inbound.Id = CallerAttemptId("next");
  Inbound.ResumedAttempt = CallerAttemptId("begun");
  Fixture.send(Inbound);
  CHECK(Fixture.sentToReplicas<OpenTurn>().back().ResumedAttempt == Begun);
  Inbound.Credential = Y;
  Fixture.send(Inbound);
  CHECK(Fixture.sentToReplicas<OpenTurn>().back().ResumedAttempt);
  CHECK_FALSE(Fixture.sentToReplicas<OpenTurn>().back().ResumedAttempt ==
              Begun);
}

TEST_CASE("Team: a call's log lines name its team and never its key") {
  TeamFixture Fixture;
  Fixture.turn(X, "turn-1");
  Fixture.completeTurn();
  Fixture.sendTo("/plain/x", Unknown);
  std::size_t WithTeam = 0;
  for (const LogLine &Line : Fixture.all<LogLine>()) {
    for (const auto &[Name, Value] : Line.Fields) {
      INFO(Line.Event << ' ' << Name);
      CHECK(Value.find("key-") == std::string::npos);
      WithTeam += Name == "team" && Value == "x";
    }
  }
  CHECK(WithTeam >= 2);
}
