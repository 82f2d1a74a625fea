/// Tests of the starts of programs as a relay and the deciding replica handle
/// them. They guard against relays that together start more programs than their
/// targets can serve, and against starts that wait for an answer that never
/// comes.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

const ServiceName Service("app");

/// A relay with a team, so that starts are limited, and public routes.
class StartFixture : public RelayFixture {
public:
  StartFixture() {
    this->makeReady();
    RelayConfiguration Configuration = *this->State.Configuration;
    Configuration.Teams[TeamId("team")] = TeamSettings{TeamId("team"), 0, {}};
    for (RelayRoute &Route : Configuration.Routes)
      Route.IsPublic = true;
    Configuration.Version = ConfigVersion(2);
    this->apply(RelayConfigured{Configuration});
    this->passTime(Milliseconds(100));
    this->AreStartsGranted = false;
    this->Effects.clear();
  }

  /// Receives a turn of a program that has Left until its deadline, which the
  /// replicas open with the given claims of other turns.
  RequestId receiveTurn(const std::string &Program, Milliseconds Left,
                        const std::vector<TokenClaim> &Claims = {}) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId("turn-" + std::to_string(++this->LastTurn));
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/turn/" + Program;
    Inbound.TimeLeft = Milliseconds(1000);
    Inbound.Program = ProgramContext{ProgramId(Program), AgentId("s"), Left,
                                     TokenCount{1000000}};
    Inbound.MaxTokens = TokenCount{50};
    const RequestId Request(1000 + this->LastTurn);
    this->apply(CallerRequestReceived{Request, Inbound});
    this->answerOpen("a", false, Claims);
    this->answerOpen("b", false, Claims);
    return Request;
  }

  std::vector<ProgramStartRequest> startRequests() const {
    return this->sentToReplicas<ProgramStartRequest>();
  }

  HolderId lastAsked() const {
    HolderId Found;
    for (const SendToReplica &Each : this->all<SendToReplica>()) {
      if (std::holds_alternative<ProgramStartRequest>(Each.Body))
        Found = Each.Holder;
    }
    return Found;
  }

  void grant(std::uint32_t Count, Milliseconds NextIn = Milliseconds(0)) {
    ProgramStartGrant Grant = grantAll(this->startRequests().back());
    Grant.Count = Count;
    Grant.NextIn = NextIn;
    this->apply(ReplicaMessageReceived{this->lastAsked(), Grant});
  }

  std::size_t sent() const { return this->all<SendAttempt>().size(); }

private:
  std::uint64_t LastTurn = 0;
};

/// A replica that decides on starts.
class DeciderFixture {
public:
  ProgramStartGrant ask(const std::string &Relay,
                        std::vector<WaitingStarts> Waiting,
                        std::uint32_t InFlight, std::uint64_t LastGrant = 0) {
    ProgramStartRequest Request;
    Request.Service = Service;
    Request.Waiting = std::move(Waiting);
    Request.InFlight = InFlight;
    Request.Slots = 100;
    Request.LoadLimit = 0.8;
    Request.LastGrant = LastGrant;
    for (const LedgerEffect &Each :
         reduce(this->State, LedgerMessageReceived{HostId(Relay), Request})) {
      if (const auto *Sent = std::get_if<SendHost>(&Each))
        return std::get<ProgramStartGrant>(Sent->Body);
    }
    FAIL("no answer");
    return ProgramStartGrant();
  }

  void passTime(Milliseconds Time) {
    this->State.Now = this->State.Now + Time;
    reduce(this->State, LedgerTick{this->State.Now});
  }

  LedgerState State;
};

} // namespace

TEST_CASE("Program starts: a first turn is sent once its start is granted") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(2000));
  CHECK(Relay.sent() == 0);
  REQUIRE(Relay.startRequests().size() == 1);
  CHECK(Relay.startRequests()[0].Waiting.size() == 1);
  CHECK(Relay.startRequests()[0].Slots == 8);
  Relay.grant(1);
  CHECK(Relay.sent() == 1);
}

TEST_CASE("Program starts: turns of programs in progress need no start") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(2000),
                    {TokenClaim{Fingerprint(7), TokenCount{5}, true}});
  CHECK(Relay.sent() == 1);
  CHECK(Relay.startRequests().empty());
}

TEST_CASE("Program starts: a program whose first turn was refused has not "
          "begun") {
  // A refused turn leaves a settled claim of no tokens. Taken for a turn of a
  // program in progress, each refused program would be started when its caller
  // returns, whatever the load.
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(5000),
                    {TokenClaim{Fingerprint(7), TokenCount{0}, true}});
  CHECK(Relay.sent() == 0);
  REQUIRE(Relay.startRequests().size() == 1);
  CHECK(Relay.startRequests()[0].Waiting[0].Priority == 0);
}

TEST_CASE("Program starts: a program that has lost too much time starts after "
          "all others") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(700),
                    {TokenClaim{Fingerprint(7), TokenCount{0}, true}});
  REQUIRE(Relay.startRequests().size() == 1);
  CHECK(Relay.startRequests()[0].Waiting[0].Priority == OverdueStartPriority);
}

TEST_CASE("Program starts: a start that is not granted in time is refused with "
          "the expected delay") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(2000));
  Relay.grant(0, Milliseconds(900));
  Relay.passTime(Milliseconds(100));
  CHECK(Relay.all<RefuseCaller>().empty());
  Relay.passTime(Milliseconds(100));
  const auto Refused = Relay.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
  CHECK(Refused[0].Refusal.RetryAfter >= Milliseconds(700));
}

TEST_CASE("Program starts: without an answer the next replica is asked") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(5000));
  const HolderId First = Relay.lastAsked();
  for (int Tick = 0; Tick < 8; ++Tick)
    Relay.passTime(Milliseconds(25));
  CHECK_FALSE(Relay.lastAsked() == First);
  Relay.grant(1);
  CHECK(Relay.sent() == 1);
}

TEST_CASE("Program starts: a grant that is late is not used") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(5000));
  const ProgramStartGrant Late =
      RelayFixture::grantAll(Relay.startRequests()[0]);
  const HolderId Decider = Relay.lastAsked();
  Relay.passTime(Milliseconds(210));
  Relay.apply(ReplicaMessageReceived{Decider, Late});
  CHECK(Relay.sent() == 0);
}

TEST_CASE("Program starts: without replicas the relay decides by the load that "
          "it knows") {
  StartFixture Relay;
  Relay.receiveTurn("p1", Milliseconds(5000));
  CHECK(Relay.sent() == 0);
  // None of the replicas sends anything any more.
  for (int Tick = 0; Tick < 30; ++Tick)
    Relay.passTime(Milliseconds(25));
  CHECK(Relay.sent() + Relay.all<RefuseCaller>().size() == 1);
}

TEST_CASE("Program starts: turns past their program's deadline are refused "
          "soon when the service is full") {
  StartFixture Relay;
  const std::vector<TokenClaim> Begun = {
      TokenClaim{Fingerprint(7), TokenCount{5}, true}};
  for (int Turn = 0; Turn < 10; ++Turn)
    Relay.receiveTurn("p" + std::to_string(Turn), Milliseconds(5000), Begun);
  Relay.Effects.clear();
  Relay.receiveTurn("late", Milliseconds(0), Begun);
  CHECK(Relay.sent() == 0);
  for (int Tick = 0; Tick < 10; ++Tick)
    Relay.passTime(Milliseconds(25));
  const auto Refused = Relay.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::Overloaded);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
}

TEST_CASE("Program starts: all relays together get what the slots allow") {
  DeciderFixture Decider;
  std::uint32_t Granted = 0;
  for (const char *Relay : {"r1", "r2", "r3", "r4"})
    Granted += Decider.ask(Relay, {WaitingStarts{0, 50}}, 10).Count;
  // 80 turns, of which each relay has 10 in progress once it has reported.
  CHECK(Granted <= 70);
  CHECK(Granted >= 40);
  for (const char *Relay : {"r1", "r2", "r3", "r4"})
    CHECK(Decider.ask(Relay, {WaitingStarts{0, 50}}, 30).Count == 0);
}

TEST_CASE("Program starts: a grant counts until the relay reports it, or can't "
          "have used it") {
  DeciderFixture Decider;
  CHECK(Decider.ask("r1", {WaitingStarts{0, 100}}, 0).Count == 80);
  CHECK(Decider.ask("r2", {WaitingStarts{0, 1}}, 0).Count == 0);
  CHECK(Decider.ask("r1", {}, 20, 1).Count == 0);
  CHECK(Decider.ask("r2", {WaitingStarts{0, 100}}, 0).Count == 60);
  Decider.passTime(Milliseconds(250));
  CHECK(Decider.ask("r2", {WaitingStarts{0, 100}}, 0).Count == 60);
}

TEST_CASE("Program starts: urgent ones go first wherever they wait, overdue "
          "ones leave slots free") {
  DeciderFixture Decider;
  Decider.ask("r1", {}, 78);
  CHECK(Decider.ask("r2", {WaitingStarts{0, 5}}, 0).Count == 2);
  Decider.ask("r1", {}, 78);
  // r2 still waits with three urgent starts.
  CHECK(Decider.ask("r3", {WaitingStarts{1, 3}}, 0).Count == 0);
  Decider.passTime(Milliseconds(600));
  Decider.ask("r1", {}, 60);
  CHECK(Decider.ask("r2", {WaitingStarts{OverdueStartPriority, 5}}, 0).Count ==
        0);
  Decider.ask("r1", {}, 50);
  CHECK(Decider.ask("r2", {WaitingStarts{OverdueStartPriority, 5}}, 0).Count ==
        5);
}

TEST_CASE("Program starts: the use of a relay that is lost is forgotten") {
  DeciderFixture Decider;
  Decider.ask("r1", {}, 80);
  CHECK(Decider.ask("r2", {WaitingStarts{0, 5}}, 0).Count == 0);
  Decider.passTime(Milliseconds(600));
  CHECK(Decider.ask("r2", {WaitingStarts{0, 5}}, 0).Count == 5);
}
