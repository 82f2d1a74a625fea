/// Tests when a relay accepts keys of teams: only while it can prove that its
/// configuration was the newest one a short time ago.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with strict revocation, whose configuration has one team with one
/// key. Times of heartbeats are offset, as in the process.
class ProofFixture : public RelayFixture {
public:
  static constexpr Milliseconds Limit{4750};
  static constexpr Milliseconds Step{25};

  explicit ProofFixture(bool IsStrict = true) {
    this->State.Options.IsRevocationStrict = IsStrict;
    this->State.HeartbeatOffset = Milliseconds(1000000);
    this->makeReady();
    this->addTeam(2);
    this->observeKey(5);
    this->Effects.clear();
  }

  static KeyDigest key() { return KeyDigest("digest"); }

  void addTeam(std::uint64_t Version) {
    RelayConfiguration Configuration = *this->State.Configuration;
    Configuration.Version = ConfigVersion(Version);
    Configuration.Teams[TeamId("x")].Team = TeamId("x");
    Configuration.TeamByKey[key().Value] = TeamId("x");
    this->apply(RelayConfigured{Configuration});
  }

  void observeKey(std::int64_t KeyRevision) {
    this->apply(ConfigurationKeyObserved{Revision(KeyRevision)});
  }

  /// Ticks in small steps, as a running process does.
  void run(Milliseconds Passed) {
    for (Milliseconds Done{0}; Done < Passed; Done += Step)
      this->passTime(Step);
  }

  Instant now() const { return this->State.Now; }

  void confirm(Instant AskedAt) { this->apply(DirectoryConfirmed{AskedAt}); }

  /// The replica vouches for the heartbeat that was sent at SentAt.
  void vouch(const std::string &Holder, std::int64_t KeyRevision,
             Instant SentAt) {
    const Heartbeat Beat = heartbeatOf(this->State, SentAt);
    this->apply(ReplicaMessageReceived{
        HolderId(Holder),
        ConfigurationVouch{Revision(KeyRevision), *Beat.SentAt}});
  }

  RequestId askKeyed(const std::string &Path = "/plain/x",
                     const std::string &Id = "k1",
                     std::optional<ProgramContext> Program = std::nullopt) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = Path;
    Inbound.Body = "input";
    Inbound.Credential = key();
    Inbound.Program = std::move(Program);
    const RequestId Request(++this->LastKeyed);
    this->apply(CallerRequestReceived{Request, Inbound});
    return Request;
  }

  /// Sends a request with the key and returns whether it is sent to a target.
  /// If not, it must have been refused as not run for want of a proof.
  bool isServed() {
    this->Effects.clear();
    const RequestId Request = this->askKeyed();
    const auto Sent = this->all<SendAttempt>();
    const auto Refused = this->all<RefuseCaller>();
    CHECK(Sent.size() + Refused.size() == 1);
    for (const RefuseCaller &Each : Refused) {
      CHECK(Each.Refusal.Reason == RelayRefusalReason::ConfigurationStale);
      CHECK(Each.Refusal.ExecutionStatus == Execution::NotRun);
      CHECK(Each.Refusal.RetryAfter == Milliseconds(400));
    }
    this->apply(RelayCallerDisconnected{Request});
    return !Sent.empty();
  }

  std::size_t logCount(const std::string &Event) const {
    std::size_t Count = 0;
    for (const LogLine &Each : this->all<LogLine>())
      Count += Each.Event == Event;
    return Count;
  }

private:
  std::uint64_t LastKeyed = 1000;
};

} // namespace

// Guards against a relay that keeps its proof for ever: cut off from all
// sources, it would accept a removed key without end.
TEST_CASE("Proof: expires at its limit and is regained by any later proof") {
  ProofFixture Fixture;
  Fixture.confirm(Fixture.now());
  CHECK(Fixture.isServed());
  Fixture.run(ProofFixture::Limit - ProofFixture::Step);
  CHECK(Fixture.isServed());
  Fixture.run(ProofFixture::Step);
  CHECK_FALSE(Fixture.isServed());
  Fixture.run(Milliseconds(60000));
  CHECK_FALSE(Fixture.isServed());
  CHECK(configurationProofAge(Fixture.State) ==
        ProofFixture::Limit + Milliseconds(60000));
  SECTION("its own watch") { Fixture.confirm(Fixture.now()); }
  SECTION("a replica") { Fixture.vouch("b", 5, Fixture.now()); }
  CHECK(Fixture.isServed());
}

TEST_CASE("Proof: its loss and its return are logged once each") {
  ProofFixture Fixture;
  Fixture.confirm(Fixture.now());
  CHECK(Fixture.logCount("configuration_proof_gained") == 1);
  Fixture.run(Milliseconds(6000));
  CHECK(Fixture.logCount("configuration_proof_lost") == 1);
  Fixture.vouch("b", 5, Fixture.now());
  Fixture.run(Milliseconds(1000));
  CHECK(Fixture.logCount("configuration_proof_gained") == 2);
  CHECK(Fixture.logCount("configuration_proof_lost") == 1);
}

TEST_CASE("Proof: calls without a key, relays without teams and relays without "
          "strict revocation need none") {
  SECTION("no strict revocation") {
    ProofFixture Fixture(false);
    Fixture.run(Milliseconds(10000));
    CHECK(Fixture.isServed());
    CHECK_FALSE(heartbeatOf(Fixture.State, Fixture.now()).SentAt);
  }
  SECTION("no teams") {
    ProofFixture Fixture;
    RelayConfiguration Plain = *Fixture.State.Configuration;
    Plain.Version = ConfigVersion(3);
    Plain.Teams.clear();
    Plain.TeamByKey.clear();
    Fixture.apply(RelayConfigured{Plain});
    Fixture.Effects.clear();
    Fixture.ask("/plain/x");
    CHECK(Fixture.all<SendAttempt>().size() == 1);
    CHECK(Fixture.logCount("configuration_proof_lost") == 0);
  }
  SECTION("a public route") {
    ProofFixture Fixture;
    RelayConfiguration Open = *Fixture.State.Configuration;
    Open.Version = ConfigVersion(3);
    for (RelayRoute &Each : Open.Routes)
      Each.IsPublic = true;
    Fixture.apply(RelayConfigured{Open});
    Fixture.Effects.clear();
    Fixture.ask("/plain/x");
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  }
}

// A relay that is not ready would be taken out of service, and would then serve
// no request without a key either.
TEST_CASE("Proof: its loss leaves the relay ready") {
  ProofFixture Fixture;
  Fixture.run(Milliseconds(6000));
  for (const char *Name : {"a", "b", "c"})
    Fixture.apply(ReplicaMessageReceived{HolderId(Name), Heartbeat{}});
  CHECK_FALSE(Fixture.isServed());
  CHECK(isRelayReady(Fixture.State));
}

// Guards against a vouch that is timed from its arrival: delayed in a queue or
// read after the relay was suspended, it would prove too much.
TEST_CASE("Proof: a vouch counts from its heartbeat and not from its arrival") {
  ProofFixture Fixture;
  const Instant SentAt = Fixture.now();
  Fixture.run(Milliseconds(4000));
  Fixture.vouch("a", 5, SentAt);
  CHECK(Fixture.isServed());
  CHECK(configurationProofAge(Fixture.State) == Milliseconds(4000));
  Fixture.run(ProofFixture::Limit - Milliseconds(4000));
  CHECK_FALSE(Fixture.isServed());
  Fixture.vouch("b", 5, SentAt);
  CHECK_FALSE(Fixture.isServed());
}

TEST_CASE("Proof: an older proof does not replace a newer one") {
  ProofFixture Fixture;
  const Instant First = Fixture.now();
  Fixture.run(Milliseconds(3000));
  Fixture.confirm(Fixture.now());
  Fixture.vouch("a", 5, First);
  Fixture.confirm(First);
  Fixture.run(Milliseconds(3000));
  CHECK(Fixture.isServed());
}

// The replica may know of the removal of a key that this relay has not
// received.
TEST_CASE("Proof: a vouch for a newer configuration proves nothing until that "
          "configuration has arrived") {
  ProofFixture Fixture;
  const Instant SentAt = Fixture.now();
  Fixture.vouch("a", 6, SentAt);
  CHECK_FALSE(Fixture.isServed());
  Fixture.run(Milliseconds(1000));
  SECTION("that one") { Fixture.observeKey(6); }
  SECTION("a newer one") { Fixture.observeKey(7); }
  CHECK(Fixture.isServed());
  CHECK(configurationProofAge(Fixture.State) == Milliseconds(1000));
}

TEST_CASE("Proof: a vouch for an older configuration proves that no newer one "
          "existed at its time") {
  ProofFixture Fixture;
  Fixture.vouch("a", 4, Fixture.now());
  CHECK(Fixture.isServed());
}

TEST_CASE("Proof: the number of vouches kept for later is limited") {
  ProofFixture Fixture;
  for (std::int64_t KeyRevision = 6; KeyRevision < 500; ++KeyRevision)
    Fixture.vouch("a", KeyRevision, Fixture.now());
  CHECK(Fixture.State.ConfigurationProof.PendingVouches.size() <= 16);
  Fixture.observeKey(500);
  CHECK(Fixture.State.ConfigurationProof.PendingVouches.empty());
}

// The clock of a process begins at 0, so the time of a former process of this
// host may look like a recent one of this process.
TEST_CASE("Proof: a vouch for a former process of the host is ignored") {
  ProofFixture Fixture;
  const Milliseconds Offset = Fixture.State.HeartbeatOffset;
  SECTION("a lower offset") { Fixture.State.HeartbeatOffset = Offset / 2; }
  SECTION("a higher offset") { Fixture.State.HeartbeatOffset = Offset * 2; }
  const Heartbeat Former = heartbeatOf(Fixture.State, Fixture.now());
  Fixture.State.HeartbeatOffset = Offset;
  Fixture.apply(ReplicaMessageReceived{
      HolderId("a"), ConfigurationVouch{Revision(5), *Former.SentAt}});
  CHECK_FALSE(Fixture.isServed());
  CHECK_FALSE(Fixture.State.ConfigurationProof.ProvenAt);
}

// Suspended with everything in its buffers, the relay handles on its return the
// requests, answers and vouches of before in any order.
TEST_CASE("Proof: a relay that was frozen serves no key by what it received "
          "before") {
  ProofFixture Fixture;
  const Instant Before = Fixture.now();
  Fixture.confirm(Before);
  Fixture.State.Now = Fixture.now() + Milliseconds(8000);
  CHECK_FALSE(Fixture.isServed());
  // The answer to a watch and a vouch that were received during that time.
  Fixture.confirm(Before + Milliseconds(500));
  Fixture.vouch("a", 5, Before + Milliseconds(800));
  CHECK_FALSE(Fixture.isServed());
  Fixture.confirm(Fixture.now());
  CHECK(Fixture.isServed());
}

// A starting relay may have its configuration from a replica's disk.
TEST_CASE("Proof: a starting relay defers keyed requests until its first "
          "proof, for as long as its start may take") {
  ProofFixture Fixture;
  Fixture.State.HasFinishedStartup = false;
  // Before the caller's deadline.
  Fixture.State.StartedAt = Fixture.now() - Milliseconds(100);
  Fixture.askKeyed();
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.all<RefuseCaller>().empty());
  SECTION("the proof arrives") {
    Fixture.run(Milliseconds(300));
    Fixture.vouch("a", 5, Fixture.now());
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  }
  SECTION("it does not") {
    Fixture.run(Milliseconds(1000));
    REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
    CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
          RelayRefusalReason::ConfigurationStale);
  }
}

TEST_CASE("Proof: a call that waits in the queue is checked before it is "
          "sent") {
  ProofFixture Fixture;
  Fixture.confirm(Fixture.now());
  const auto ReportLoad = [&](std::uint32_t Load) {
    for (auto &[Id, Target] : Fixture.State.Targets) {
      Target.Load.Report = TargetLoad{Load, 0, std::nullopt, std::nullopt};
      Target.Load.ReportedAt = Fixture.now();
    }
  };
  ReportLoad(6);
  // A program's first turn waits for a free slot.
  const RequestId Request = Fixture.askKeyed(
      "/turn/x", "k1",
      ProgramContext{ProgramId("p"), AgentId("s"), Milliseconds(60000), {}});
  RelayCall &Call = Fixture.State.Calls.at(Request);
  REQUIRE(Call.Phase == RelayPhase::Queued);
  Call.Deadline = Fixture.now() + Milliseconds(60000);
  for (int Step = 0; Step < 200; ++Step) {
    Fixture.passTime(ProofFixture::Step);
    ReportLoad(6);
  }
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.all<RefuseCaller>().empty());
  ReportLoad(0);
  Fixture.run(Milliseconds(50));
  CHECK(Fixture.all<SendAttempt>().empty());
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::ConfigurationStale);
}

TEST_CASE("Proof: a retry is checked before it is sent") {
  ProofFixture Fixture;
  Fixture.confirm(Fixture.now());
  const RequestId Request = Fixture.askKeyed();
  Fixture.State.Calls.at(Request).Deadline =
      Fixture.now() + Milliseconds(60000);
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  const RelayAttemptId Attempt = Fixture.all<SendAttempt>()[0].Attempt;
  Fixture.State.Now = Fixture.now() + Milliseconds(6000);
  Fixture.apply(AttemptEnded{Attempt, AttemptEnded::Kind::NeverSent});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::ConfigurationStale);
}

// A removed key does not stop an answer that has begun, so neither may a
// missing proof.
TEST_CASE("Proof: an answer that has begun is resumed without a proof") {
  ProofFixture Fixture;
  RelayConfiguration Resumable = *Fixture.State.Configuration;
  Resumable.Version = ConfigVersion(3);
  RelayRoute &Route = Resumable.Routes.front();
  Route.IsStreaming = true;
  Route.IsResumable = true;
  Fixture.apply(RelayConfigured{Resumable});
  Fixture.confirm(Fixture.now());
  Fixture.Effects.clear();
  const RequestId Request = Fixture.askKeyed();
  Fixture.State.Calls.at(Request).Deadline =
      Fixture.now() + Milliseconds(60000);
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  const RelayAttemptId First = Fixture.all<SendAttempt>()[0].Attempt;
  Fixture.apply(AttemptHeadReceived{First, ProofFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{First, "id: 1\ndata: e1\n\n"});
  Fixture.State.Now = Fixture.now() + Milliseconds(6000);
  Fixture.apply(AttemptEnded{First, AttemptEnded::Kind::Broken});
  REQUIRE(Fixture.all<SendAttempt>().size() == 2);
  CHECK(Fixture.all<SendAttempt>()[1].ResumeAfter == std::uint64_t{1});
  CHECK_FALSE(Fixture.all<SendAttempt>()[1].SendBefore);
}

// An attempt may wait for its connection while the process is suspended.
TEST_CASE("Proof: an attempt says until when it may be sent, and one that is "
          "overdue is decided on again") {
  ProofFixture Fixture;
  const Instant ProvenAt = Fixture.now();
  Fixture.confirm(ProvenAt);
  Fixture.run(Milliseconds(1000));
  Fixture.askKeyed();
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  const SendAttempt Sent = Fixture.all<SendAttempt>()[0];
  REQUIRE(Sent.SendBefore);
  CHECK(*Sent.SendBefore - ProvenAt == ProofFixture::Limit);
  const std::uint32_t Failures =
      Fixture.State.Targets.at(Sent.Target.Id).ConsecutiveFailures;
  SECTION("without a proof it is refused") {
    Fixture.State.Now = *Sent.SendBefore;
    for (auto &[Request, Call] : Fixture.State.Calls)
      Call.Deadline = Fixture.now() + Milliseconds(5000);
    Fixture.apply(AttemptEnded{Sent.Attempt, AttemptEnded::Kind::Overdue});
    REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
    CHECK(Fixture.all<RefuseCaller>()[0].Refusal.ExecutionStatus ==
          Execution::NotRun);
  }
  SECTION("with a newer one it is sent again") {
    Fixture.confirm(Fixture.now());
    Fixture.apply(AttemptEnded{Sent.Attempt, AttemptEnded::Kind::Overdue});
    CHECK(Fixture.all<SendAttempt>().size() == 2);
  }
  // The target has no part in it.
  CHECK(Fixture.State.Targets.at(Sent.Target.Id).ConsecutiveFailures ==
        Failures);
}

TEST_CASE("Proof: a call without a team has no time by which it must be "
          "sent") {
  RelayFixture Fixture;
  Fixture.State.Options.IsRevocationStrict = true;
  Fixture.makeReady();
  Fixture.ask("/plain/x");
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  CHECK_FALSE(Fixture.all<SendAttempt>()[0].SendBefore);
}

// With one healthy source the proof must never run out, also if nothing changes
// at the store for hours.
TEST_CASE("Proof: the bounded watch renews the proof in time") {
  const WatchTiming Longest{Milliseconds(15000), Milliseconds(1000)};
  for (const int Limit : {750, 1750, 2750, 4750, 9750, 60000, 600000}) {
    INFO(Limit);
    const WatchTiming Timing = boundWatchTiming(Milliseconds(Limit), Longest);
    CHECK(Timing.Timeout <= Longest.Timeout);
    CHECK(Timing.Delay <= Longest.Delay);
    CHECK(Milliseconds(0) < Timing.Timeout);
    // Two waits, the delay between them, and slow answers.
    CHECK(Timing.Timeout * 2 + Timing.Delay + Milliseconds(Limit / 8) <
          Milliseconds(Limit));
  }
  // A target that writes every 1.2 s ends each watch before the bound does, so
  // the bound adds no calls.
  const WatchTiming Usual = boundWatchTiming(Milliseconds(4750), Longest);
  CHECK(Milliseconds(1200) < Usual.Timeout);
  CHECK(Usual.Delay == Longest.Delay);
}
