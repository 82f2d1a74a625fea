/// Streams go on only at the software version that began them.
#include "RelayFixture.h"

#include "relay/RequestContent.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

const StreamOrigin AppV1{ServiceName("app"), SoftwareVersion("v1")};

/// A relay with a resumable route and two targets of version v1, t1 and t2.
class StreamFixture : public RelayFixture {
public:
  explicit StreamFixture(std::uint32_t MaxAttempts = 1) {
    this->makeReady();
    RelayRoute &Route = this->State.Configuration->Routes[2];
    Route.KeepsHistory = false;
    Route.IsResumable = true;
    Route.MaxAttempts = MaxAttempts;
  }

  void removeTarget(const std::string &Name) {
    this->apply(TargetUnregistered{TargetId(Name)});
  }

  RequestId askStream(const std::string &Id,
                      std::optional<CallerAttemptId> Resumed = std::nullopt,
                      std::optional<Milliseconds> TimeLeft = std::nullopt) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/turn/x";
    Inbound.ResumedAttempt = std::move(Resumed);
    Inbound.TimeLeft = TimeLeft;
    const RequestId Request(++this->LastStream);
    this->apply(CallerRequestReceived{Request, Inbound});
    return Request;
  }

  /// Continues a stream without naming the attempt that began it, while no
  /// replica knows the stream.
  void resumeUnnamed(std::optional<Milliseconds> TimeLeft = std::nullopt) {
    this->Effects.clear();
    this->askStream("next", CallerAttemptId(), TimeLeft);
    this->answerPendingOpen({"a", "b"}, std::nullopt);
    this->confirmDirectory();
  }

  /// Answers for the key-value service that nothing has changed, if it was
  /// asked.
  void confirmDirectory() {
    if (!this->all<ConfirmDirectory>().empty())
      this->apply(DirectoryConfirmed{this->State.Now});
  }

  /// Answers the last OpenTurn, if there is one, from replicas that know an
  /// origin.
  void answerPendingOpen(const std::vector<std::string> &Holders,
                         const std::optional<StreamOrigin> &Origin) {
    if (this->sentToReplicas<OpenTurn>().empty())
      return;
    for (const std::string &Each : Holders)
      this->answerOrigin(Each, Origin);
  }

  /// Lets time pass in steps that no relay takes for a stall.
  void watchFor(Milliseconds Duration) {
    const Milliseconds Step(100);
    for (Milliseconds Passed(0); Passed < Duration; Passed += Step)
      this->passTime(std::min(Step, Duration - Passed));
    // Heartbeats of the replicas, which passing time alone makes overdue.
    for (const char *Name : {"a", "b", "c"})
      this->apply(ReplicaMessageReceived{HolderId(Name), Heartbeat{}});
  }

  /// Takes up the stream of attempt "first", whose origin two replicas name.
  void resume(const std::optional<StreamOrigin> &Origin) {
    this->askStream("next", CallerAttemptId("first"));
    for (const char *Holder : {"a", "b"})
      this->answerOrigin(Holder, Origin);
  }

  void answerOrigin(const std::string &Holder,
                    const std::optional<StreamOrigin> &Origin,
                    Milliseconds KeptFor = Milliseconds(1000000)) {
    TurnOpened Reply;
    Reply.Operation = this->sentToReplicas<OpenTurn>().back().Operation;
    Reply.Holder = HolderId(Holder);
    Reply.ResumedOrigin = Origin;
    Reply.StreamsKeptFor = KeptFor;
    this->apply(ReplicaMessageReceived{Reply.Holder, Reply});
  }

  SendAttempt lastSent() const { return this->all<SendAttempt>().back(); }

  void sendEvent(const SendAttempt &Sent, int Number) {
    this->apply(AttemptHeadReceived{Sent.Attempt, head(200, true)});
    this->apply(AttemptBytesReceived{
        Sent.Attempt, "id: " + std::to_string(Number) + "\ndata: x\n\n"});
  }

  void breakOff(const SendAttempt &Sent) {
    this->apply(AttemptEnded{Sent.Attempt, AttemptEnded::Kind::Broken});
  }

private:
  std::uint64_t LastStream = 100;
};

void checkRefused(const StreamFixture &Fixture, RelayRefusalReason Reason) {
  CHECK(Fixture.all<SendAttempt>().empty());
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == Reason);
  CHECK(Refused[0].Refusal.ExecutionStatus == Execution::NotRun);
}

} // namespace

TEST_CASE("StreamOrigin: replicas get it before the caller gets the first "
          "event") {
  StreamFixture Fixture;
  Fixture.askStream("first");
  Fixture.sendEvent(Fixture.lastSent(), 1);
  const auto Started = Fixture.sentToReplicas<StreamStarted>();
  REQUIRE(Started.size() == 3);
  CHECK(Started[0].Attempt == CallerAttemptId("first"));
  CHECK(Started[0].Origin == AppV1);
  std::size_t Recorded = 0;
  for (const RelayEffect &Each : Fixture.Effects) {
    const auto *Sent = std::get_if<SendToReplica>(&Each);
    Recorded += Sent && std::holds_alternative<StreamStarted>(Sent->Body);
    if (std::holds_alternative<BeginAnswer>(Each))
      CHECK(Recorded == 3);
  }
}

TEST_CASE("StreamOrigin: a caller's stream goes on at its version") {
  StreamFixture Fixture;
  for (const char *Name : {"t1", "t2"})
    Fixture.addTarget(Name, "a", false, "v2");
  Fixture.addTarget("t3", "far", false, "v1");
  Fixture.resume(AppV1);
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.lastSent().Target.Id == TargetId("t3"));
  // Replicas keep the origin under the attempt that began the stream.
  Fixture.sendEvent(Fixture.lastSent(), 2);
  CHECK(Fixture.sentToReplicas<StreamStarted>().empty());
}

TEST_CASE("StreamOrigin: a stream that no replica knows is not taken up") {
  StreamFixture Fixture;
  Fixture.resume(std::nullopt);
  checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: a caller that names no attempt goes on while its "
          "service has had one version only") {
  StreamFixture Fixture;
  const Milliseconds Lifetime = Fixture.State.Options.MaxCallerTime +
                                Fixture.State.Options.StreamOriginMargin;
  bool IsKnown = true;
  SECTION("one version for long") { Fixture.watchFor(Lifetime); }
  SECTION("one version, not watched for long enough") {
    Fixture.State.KeyValueServiceRegainedAt = Fixture.State.Now;
    Fixture.watchFor(Lifetime - Milliseconds(1));
    IsKnown = false;
  }
  SECTION("two versions") {
    Fixture.watchFor(Lifetime);
    Fixture.addTarget("t3", "a", false, "v2");
    IsKnown = false;
  }
  SECTION("another version has left") {
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.watchFor(Lifetime);
    Fixture.removeTarget("t3");
    Fixture.watchFor(Lifetime - Milliseconds(1));
    IsKnown = false;
  }
  SECTION("another version left long ago") {
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.watchFor(Lifetime);
    Fixture.removeTarget("t3");
    Fixture.watchFor(Lifetime);
  }
  SECTION("a target has another version since") {
    Fixture.watchFor(Lifetime);
    for (const char *Name : {"t1", "t2"})
      Fixture.addTarget(Name, "a", false, "v2");
    IsKnown = false;
  }
  SECTION("the key-value service is unreachable") {
    Fixture.watchFor(Lifetime);
    Fixture.apply(DirectoryLost{});
    IsKnown = false;
  }
  SECTION("registrations may have changed unobserved") {
    Fixture.apply(DirectoryHistoryLost{});
    Fixture.watchFor(Lifetime - Milliseconds(1));
    IsKnown = false;
  }
  SECTION("an overtaken registration had another version") {
    Fixture.watchFor(Lifetime);
    RegisteredTarget Entry = Fixture.State.Targets.at(TargetId("t1")).Entry;
    Entry.Version = SoftwareVersion("v2");
    Fixture.apply(OutdatedTargetObserved{Entry});
    IsKnown = false;
  }
  Fixture.resumeUnnamed();
  if (IsKnown)
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  else
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: a stream is not taken up without the ledger") {
  StreamFixture Fixture;
  for (const char *Name : {"a", "b"})
    Fixture.apply(ReplicaDisconnected{HolderId(Name)});
  Fixture.askStream("next", CallerAttemptId("first"));
  checkRefused(Fixture, RelayRefusalReason::LedgerUnavailable);
}

TEST_CASE("StreamOrigin: without a target of its version a stream is refused "
          "at once, with nothing to wait for") {
  StreamFixture Fixture;
  SECTION("the origin's version is not registered") {
    Fixture.resume(StreamOrigin{ServiceName("app"), SoftwareVersion("v1.0")});
  }
  SECTION("all of them are leaving") {
    for (const char *Name : {"t1", "t2"})
      Fixture.addTarget(Name, "a", true);
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.resume(AppV1);
  }
  SECTION("the origin is of another service") {
    Fixture.resume(StreamOrigin{ServiceName("other"), SoftwareVersion("v1")});
  }
  SECTION("the origin and all targets have an unknown version") {
    for (const char *Name : {"t1", "t2"})
      Fixture.addTarget(Name, "a", false, "");
    Fixture.resume(StreamOrigin{ServiceName("app"), SoftwareVersion()});
  }
  SECTION("replicas name different versions") {
    Fixture.askStream("next", CallerAttemptId("first"));
    Fixture.answerOrigin("a", AppV1);
    Fixture.answerOrigin("b",
                         StreamOrigin{ServiceName("app"), SoftwareVersion()});
  }
  checkRefused(Fixture, RelayRefusalReason::NoTargetOfVersion);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.RetryAfter == Milliseconds(0));
}

TEST_CASE("StreamOrigin: a target of the version that is only full is worth "
          "another try") {
  StreamFixture Fixture;
  Fixture.removeTarget("t2");
  Fixture.addTarget("t3", "a", false, "v2");
  Fixture.resume(AppV1);
  TargetAnswerHead Full = RelayFixture::head(503);
  Full.IsNotRun = true;
  Fixture.apply(AttemptHeadReceived{Fixture.lastSent().Attempt, Full});
  Fixture.apply(
      AttemptEnded{Fixture.lastSent().Attempt, AttemptEnded::Kind::Complete});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  const auto Refused = Fixture.all<RefuseCaller>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Refusal.Reason == RelayRefusalReason::NoTarget);
  CHECK(Refused[0].Refusal.RetryAfter > Milliseconds(0));
}

TEST_CASE("StreamOrigin: within one answer a stream goes on at its version") {
  StreamFixture Fixture(3);
  Fixture.removeTarget("t2");
  Fixture.addTarget("t3", "a", false, "v2");
  Fixture.addTarget("t4", "far", false, "v1");
  Fixture.askStream("first");
  while (!(Fixture.lastSent().Target.Version == SoftwareVersion("v1")))
    Fixture.breakOff(Fixture.lastSent());
  Fixture.sendEvent(Fixture.lastSent(), 1);
  const std::size_t Before = Fixture.all<SendAttempt>().size();
  Fixture.breakOff(Fixture.lastSent());
  REQUIRE(Fixture.all<SendAttempt>().size() == Before + 1);
  CHECK(Fixture.lastSent().Target.Version == SoftwareVersion("v1"));
  Fixture.breakOff(Fixture.lastSent());
  CHECK(Fixture.all<SendAttempt>().size() == Before + 1);
  CHECK(Fixture.all<AbortAnswer>().size() == 1);
}

TEST_CASE("StreamOrigin: before the first event an attempt may cross "
          "versions") {
  StreamFixture Fixture(2);
  Fixture.removeTarget("t2");
  Fixture.addTarget("t3", "a", false, "v2");
  Fixture.askStream("first");
  const SoftwareVersion First = Fixture.lastSent().Target.Version;
  Fixture.breakOff(Fixture.lastSent());
  REQUIRE(Fixture.all<SendAttempt>().size() == 2);
  CHECK_FALSE(Fixture.lastSent().Target.Version == First);
  Fixture.sendEvent(Fixture.lastSent(), 1);
  CHECK(Fixture.sentToReplicas<StreamStarted>().back().Origin.Version ==
        Fixture.lastSent().Target.Version);
}

TEST_CASE("StreamOrigin: a stream of a target that restarts with another "
          "version is of unknown origin") {
  StreamFixture Fixture;
  Fixture.removeTarget("t2");
  RegisteredTarget Entry = Fixture.State.Targets.at(TargetId("t1")).Entry;
  Entry.StartedAtMillis = 5;
  Fixture.apply(TargetRegistered{Entry});
  Fixture.askStream("first");
  Entry.StartedAtMillis = 6;
  Entry.Version = SoftwareVersion("v2");
  SECTION("before the first event") {
    Fixture.apply(TargetRegistered{Entry});
    Fixture.sendEvent(Fixture.lastSent(), 1);
  }
  SECTION("after the first event") {
    Fixture.sendEvent(Fixture.lastSent(), 1);
    Fixture.apply(TargetRegistered{Entry});
  }
  CHECK(Fixture.sentToReplicas<StreamStarted>().back().Origin.Version ==
        SoftwareVersion());
}

TEST_CASE("StreamOrigin: a stream goes on at its service while the route "
          "allows it") {
  StreamFixture Fixture;
  RelayRoute &Route = Fixture.State.Configuration->Routes[2];
  RelayService Other;
  Other.Name = ServiceName("other");
  Fixture.State.Configuration->Services[Other.Name] = Other;
  SECTION("it is one of several") {
    Route.Services = {WeightedService{ServiceName("other"), 1000000},
                      WeightedService{ServiceName("app"), 1}};
    Fixture.resume(AppV1);
    REQUIRE(Fixture.all<SendAttempt>().size() == 1);
    CHECK(Fixture.lastSent().Target.Service == ServiceName("app"));
  }
  SECTION("it has been replaced") {
    Route.Services = {WeightedService{ServiceName("other"), 1}};
    Fixture.resume(AppV1);
    checkRefused(Fixture, RelayRefusalReason::NoTargetOfVersion);
  }
}

TEST_CASE("StreamOrigin: events of a new run that registers after its stream "
          "broke off do not count as those of the version before") {
  StreamFixture Fixture(2);
  Fixture.removeTarget("t2");
  RegisteredTarget Entry = Fixture.State.Targets.at(TargetId("t1")).Entry;
  Entry.StartedAtMillis = 5;
  Fixture.apply(TargetRegistered{Entry});
  Fixture.askStream("first");
  Fixture.sendEvent(Fixture.lastSent(), 1);
  SECTION("the answer has been broken off") {
    while (Fixture.all<AbortAnswer>().empty())
      Fixture.breakOff(Fixture.lastSent());
  }
  SECTION("the relay has resumed it at another target") {
    Fixture.addTarget("t3");
    Fixture.breakOff(Fixture.lastSent());
    REQUIRE(Fixture.lastSent().Target.Id == TargetId("t3"));
  }
  Fixture.watchFor(Milliseconds(500));
  Entry.StartedAtMillis = 6;
  Entry.Version = SoftwareVersion("v2");
  Fixture.apply(TargetRegistered{Entry});
  const auto Last = Fixture.sentToReplicas<StreamStarted>().back();
  CHECK(Last.Attempt == CallerAttemptId("first"));
  CHECK(Last.Origin.Version == SoftwareVersion());
}

TEST_CASE("StreamOrigin: one version during a route's time-out does not make "
          "the origin certain for callers that have more time") {
  StreamFixture Fixture;
  const Milliseconds Watched = Fixture.State.Configuration->Routes[2].Timeout +
                               Fixture.State.Options.StreamOriginMargin;
  // What the caller has left; absent if it does not state it.
  const auto TimeLeft = GENERATE(std::optional<Milliseconds>(),
                                 std::optional(Milliseconds(100000)));
  SECTION("another version has left since the stream may have begun") {
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.watchFor(Milliseconds(200000));
    Fixture.removeTarget("t3");
  }
  SECTION("the relay has started since, after another version had left") {
    Fixture.State.KeyValueServiceRegainedAt = Fixture.State.Now;
  }
  Fixture.watchFor(Watched);
  Fixture.resumeUnnamed(TimeLeft);
  checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: a relay that was suspended has not observed which "
          "versions there were") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  Fixture.passTime(Milliseconds(5000));
  SECTION("the replicas have not sent anything since") {}
  SECTION("their heartbeats have arrived") {
    for (const char *Name : {"a", "b", "c"})
      Fixture.apply(ReplicaMessageReceived{HolderId(Name), Heartbeat{}});
  }
  Fixture.resumeUnnamed();
  checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

// The relay's last watch is unanswered, and what it knows was sole for long.
TEST_CASE("StreamOrigin: a relay that is cut off from the key-value service "
          "takes no stream up by an outdated list of targets") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
  Fixture.watchFor(Milliseconds(1500));
  Fixture.Effects.clear();
  Fixture.askStream("next", CallerAttemptId());
  SECTION("the report of the stream did not reach the replicas") {
    Fixture.answerPendingOpen({"a", "b"}, std::nullopt);
  }
  SECTION("the replicas have lost it, and have no other one") {
    for (const char *Name : {"a", "b", "c"})
      Fixture.answerOrigin(Name, std::nullopt, Milliseconds(100));
  }
  SECTION("the replicas have lost it, and have one of the same content") {
    for (const char *Name : {"a", "b", "c"})
      Fixture.answerOrigin(Name, AppV1, Milliseconds(100));
  }
  CHECK(Fixture.all<SendAttempt>().empty());
  Fixture.watchFor(Fixture.State.Options.LedgerTimeout + Milliseconds(100));
  checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: a list of targets counts only as of the last query "
          "that the key-value service has answered") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  const Instant Before = Fixture.State.Now;
  Fixture.passTime(Milliseconds(1));
  Fixture.Effects.clear();
  Fixture.askStream("next", CallerAttemptId());
  Fixture.answerPendingOpen({"a", "b"}, std::nullopt);
  CHECK(Fixture.all<SendAttempt>().empty());
  REQUIRE(Fixture.all<ConfirmDirectory>().size() == 1);
  SECTION("which was sent before the continuation arrived") {
    Fixture.apply(DirectoryConfirmed{Before});
    CHECK(Fixture.all<SendAttempt>().empty());
    CHECK(Fixture.all<RefuseCaller>().empty());
    CHECK(Fixture.all<ConfirmDirectory>().size() == 1);
    Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  }
  SECTION("which reports another version") {
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("which reports a version that came and went") {
    Fixture.addTarget("t3", "a", false, "v2");
    Fixture.removeTarget("t3");
    Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("which fails") {
    Fixture.apply(DirectoryNotConfirmed{});
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("which can't be sent, as the service is unreachable") {
    Fixture.apply(DirectoryLost{});
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
}

TEST_CASE("StreamOrigin: continuations that arrive during a query share the "
          "next one") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  const auto Ask = [&Fixture](const char *Id) {
    Fixture.passTime(Milliseconds(1));
    Fixture.askStream(Id, CallerAttemptId());
    Fixture.answerPendingOpen({"a", "b"}, std::nullopt);
  };
  Fixture.Effects.clear();
  Ask("first");
  const Instant First = Fixture.State.Now;
  Ask("second");
  Ask("third");
  CHECK(Fixture.all<ConfirmDirectory>().size() == 1);
  Fixture.apply(DirectoryConfirmed{First});
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<ConfirmDirectory>().size() == 2);
  Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
  CHECK(Fixture.all<SendAttempt>().size() == 3);
  CHECK(Fixture.all<ConfirmDirectory>().size() == 2);
}

TEST_CASE("StreamOrigin: a named stream never goes on by the list of targets "
          "alone") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  Fixture.apply(DirectoryConfirmed{Fixture.State.Now});
  Fixture.Effects.clear();
  SECTION("no replica of the quorum knows it") {
    Fixture.resume(std::nullopt);
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("its version has not been read yet") {
    Fixture.resume(StreamOrigin{ServiceName("app"), SoftwareVersion("v2")});
    checkRefused(Fixture, RelayRefusalReason::NoTargetOfVersion);
  }
}

TEST_CASE("StreamOrigin: a replica that was out of step does not outweigh one "
          "that knows the stream") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  Fixture.Effects.clear();
  const bool IsNamed = GENERATE(true, false);
  const bool IsFirst = GENERATE(true, false);
  Fixture.askStream("next", CallerAttemptId(IsNamed ? "first" : ""));
  const StreamOrigin AppV2{ServiceName("app"), SoftwareVersion("v2")};
  Fixture.answerOrigin(IsFirst ? "a" : "b", std::nullopt);
  Fixture.answerOrigin(IsFirst ? "b" : "a", AppV2);
  Fixture.confirmDirectory();
  checkRefused(Fixture, RelayRefusalReason::NoTargetOfVersion);
}

TEST_CASE("StreamOrigin: an unnamed stream may have begun at another service "
          "of its route") {
  StreamFixture Fixture;
  RelayService Other;
  Other.Name = ServiceName("other");
  RelayConfiguration Configuration = *Fixture.State.Configuration;
  Configuration.Services[Other.Name] = Other;
  Configuration.Version = ConfigVersion(2);
  auto &Services = Configuration.Routes[2].Services;
  SECTION("which has a weight") {
    Services = {WeightedService{ServiceName("app"), 1000000},
                WeightedService{ServiceName("other"), 1}};
    Fixture.apply(RelayConfigured{Configuration});
    Fixture.watchFor(Milliseconds(200000));
  }
  SECTION("which had a weight until recently") {
    Services = {WeightedService{ServiceName("other"), 1}};
    Fixture.apply(RelayConfigured{Configuration});
    Fixture.watchFor(Milliseconds(200000));
    Services = {WeightedService{ServiceName("app"), 1}};
    Configuration.Version = ConfigVersion(3);
    Fixture.apply(RelayConfigured{Configuration});
  }
  Fixture.resumeUnnamed();
  checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: an unnamed stream goes on where its content began") {
  StreamFixture Fixture;
  Fixture.addTarget("t3", "far", false, "v2");
  const StreamOrigin AppV2{ServiceName("app"), SoftwareVersion("v2")};
  // A relay that has just started knows nothing itself.
  Fixture.State.KeyValueServiceRegainedAt = Fixture.State.Now;
  Fixture.Effects.clear();
  Fixture.askStream("next", CallerAttemptId());
  const auto Opens = Fixture.sentToReplicas<OpenTurn>();
  REQUIRE(Opens.size() == 3);
  CHECK(Opens[0].ResumedContent);
  CHECK_FALSE(Opens[0].ResumedAttempt);
  CHECK(Fixture.all<SendAttempt>().empty());
  SECTION("all replicas know it") {
    Fixture.answerOrigin("a", AppV2);
    CHECK(Fixture.all<SendAttempt>().empty());
    Fixture.answerOrigin("b", AppV2);
    REQUIRE(Fixture.all<SendAttempt>().size() == 1);
    CHECK(Fixture.lastSent().Target.Id == TargetId("t3"));
  }
  SECTION("one replica of the quorum knows it") {
    Fixture.answerOrigin("a", std::nullopt);
    Fixture.answerOrigin("b", AppV2);
    REQUIRE(Fixture.all<SendAttempt>().size() == 1);
    CHECK(Fixture.lastSent().Target.Id == TargetId("t3"));
  }
  SECTION("one replica has restarted; the third one is awaited") {
    Fixture.answerOrigin("a", AppV2, Milliseconds(100));
    Fixture.answerOrigin("b", AppV2);
    CHECK(Fixture.all<SendAttempt>().empty());
    Fixture.answerOrigin("c", AppV2);
    REQUIRE(Fixture.all<SendAttempt>().size() == 1);
    CHECK(Fixture.lastSent().Target.Id == TargetId("t3"));
  }
  SECTION("the replica that was awaited knows another version") {
    Fixture.answerOrigin("a", AppV2, Milliseconds(100));
    Fixture.answerOrigin("b", AppV2);
    Fixture.answerOrigin("c", AppV1);
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("two replicas have restarted: another attempt with the same content "
          "may have been forgotten") {
    Fixture.answerOrigin("a", AppV2, Milliseconds(100));
    Fixture.answerOrigin("b", AppV2);
    SECTION("and the third one has, too") {
      Fixture.answerOrigin("c", AppV2, Milliseconds(100));
    }
    SECTION("and the third one is lost") {
      Fixture.apply(ReplicaDisconnected{HolderId("c")});
    }
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("attempts with the same content began at two versions") {
    Fixture.answerOrigin("a", AppV1);
    Fixture.answerOrigin("b", AppV2);
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
  SECTION("no replica knows it") {
    Fixture.answerOrigin("a", std::nullopt);
    Fixture.answerOrigin("b", std::nullopt);
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
  }
}

TEST_CASE("StreamOrigin: a content that replicas know at one version is not "
          "continued there if they have restarted and this relay observed "
          "another one") {
  StreamFixture Fixture;
  Fixture.watchFor(Milliseconds(200000));
  Fixture.Effects.clear();
  Fixture.askStream("next", CallerAttemptId());
  const bool IsSame = GENERATE(true, false);
  const StreamOrigin Known{ServiceName("app"),
                           SoftwareVersion(IsSame ? "v1" : "v2")};
  for (const char *Name : {"a", "b", "c"})
    Fixture.answerOrigin(Name, Known, Milliseconds(100));
  CHECK(Fixture.all<SendAttempt>().empty());
  Fixture.confirmDirectory();
  if (IsSame)
    CHECK(Fixture.all<SendAttempt>().size() == 1);
  else
    checkRefused(Fixture, RelayRefusalReason::UnknownStream);
}

TEST_CASE("StreamOrigin: teams do not share the origins of contents") {
  StreamFixture Fixture;
  Fixture.askStream("first");
  CallerRequest Inbound = Fixture.State.Calls.begin()->second.InboundRequest;
  Fixture.sendEvent(Fixture.lastSent(), 1);
  const Fingerprint Teamless = contentOf(Inbound, std::nullopt);
  CHECK(Fixture.sentToReplicas<StreamStarted>().back().Content == Teamless);
  const Fingerprint OfX = contentOf(Inbound, TeamId("x"));
  CHECK_FALSE(Teamless == OfX);
  CHECK_FALSE(contentOf(Inbound, TeamId("y")) == OfX);
  Inbound.Id = CallerAttemptId("next");
  CHECK(contentOf(Inbound, TeamId("x")) == OfX);
}

TEST_CASE("StreamOrigin: a replica that connects gets the origins of the "
          "relay's streams, as it may have lost them") {
  StreamFixture Fixture;
  Fixture.apply(ReplicaDisconnected{HolderId("c")});
  Fixture.askStream("first", std::nullopt, Milliseconds(4000));
  Fixture.sendEvent(Fixture.lastSent(), 1);
  Fixture.breakOff(Fixture.lastSent());
  const StreamStarted Sent = Fixture.sentToReplicas<StreamStarted>().back();
  Fixture.watchFor(Milliseconds(2000));
  Fixture.Effects.clear();
  Fixture.apply(ReplicaConnected{HolderId("c")});
  const auto Resent = Fixture.sentToReplicas<StreamStarted>();
  REQUIRE(Resent.size() == 1);
  CHECK(Resent[0].Attempt == Sent.Attempt);
  CHECK(Resent[0].Content == Sent.Content);
  CHECK(Resent[0].Origin == Sent.Origin);
  CHECK(Resent[0].Retention == Sent.Retention - Milliseconds(2000));
  // Callers can no longer continue it after their time.
  Fixture.watchFor(Milliseconds(8100));
  Fixture.Effects.clear();
  Fixture.apply(ReplicaConnected{HolderId("c")});
  CHECK(Fixture.sentToReplicas<StreamStarted>().empty());
}

TEST_CASE("StreamOrigin: a relay that has started waits for the ledger before "
          "it refuses a continuation") {
  RelayFixture Fixture;
  Fixture.configure();
  Fixture.addTarget("t1");
  CallerRequest Inbound;
  Inbound.Id = CallerAttemptId("next");
  Inbound.Method = "POST";
  Inbound.Host = "shop.example";
  Inbound.RequestTarget = "/turn/x";
  Inbound.ResumedAttempt = CallerAttemptId();
  Fixture.apply(CallerRequestReceived{RequestId(1), Inbound});
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.connectLedger();
  // It is admitted once a quorum is connected.
  CHECK(Fixture.sentToReplicas<OpenTurn>().size() == 2);
}

namespace {

std::optional<StreamOrigin> originAt(LedgerState &State,
                                     const std::string &Attempt) {
  OpenTurn Open;
  Open.View = State.View.Version;
  Open.ResumedAttempt = CallerAttemptId(Attempt);
  for (const LedgerEffect &Each :
       reduce(State, LedgerMessageReceived{HostId("relay"), Open})) {
    const auto *Sent = std::get_if<SendHost>(&Each);
    if (Sent && std::holds_alternative<TurnOpened>(Sent->Body))
      return std::get<TurnOpened>(Sent->Body).ResumedOrigin;
  }
  return std::nullopt;
}

void recordAt(LedgerState &State, const std::string &Attempt,
              const StreamOrigin &Origin,
              Fingerprint Content = Fingerprint(1)) {
  reduce(State,
         LedgerMessageReceived{HostId("relay"),
                               StreamStarted{CallerAttemptId(Attempt), Content,
                                             Origin, Milliseconds(1000)}});
}

TurnOpened openContentAt(LedgerState &State, Fingerprint Content) {
  OpenTurn Open;
  Open.View = State.View.Version;
  Open.ResumedContent = Content;
  for (const LedgerEffect &Each :
       reduce(State, LedgerMessageReceived{HostId("relay"), Open})) {
    const auto *Sent = std::get_if<SendHost>(&Each);
    if (Sent && std::holds_alternative<TurnOpened>(Sent->Body))
      return std::get<TurnOpened>(Sent->Body);
  }
  FAIL("no answer");
  return TurnOpened();
}

LedgerState replicaState() {
  LedgerState State;
  State.Self = RelayFixture::member("a");
  State.View.Current = {State.Self};
  return State;
}

} // namespace

TEST_CASE("StreamOrigin: a replica keeps the last word on an attempt") {
  LedgerState State = replicaState();
  CHECK_FALSE(originAt(State, "first"));
  recordAt(State, "first", AppV1);
  CHECK(originAt(State, "first") == AppV1);
  const StreamOrigin Unknown{ServiceName("app"), SoftwareVersion()};
  recordAt(State, "first", Unknown);
  CHECK(originAt(State, "first") == Unknown);
}

TEST_CASE("StreamOrigin: one attempt id that began streams at two versions has "
          "no origin") {
  LedgerState State = replicaState();
  const StreamOrigin Unknown{ServiceName("app"), SoftwareVersion()};
  recordAt(State, "first", AppV1);
  recordAt(State, "first", AppV1);
  CHECK(originAt(State, "first") == AppV1);
  recordAt(State, "first",
           StreamOrigin{ServiceName("app"), SoftwareVersion("v2")});
  CHECK(originAt(State, "first") == Unknown);
  recordAt(State, "first", AppV1);
  CHECK(originAt(State, "first") == Unknown);
}

TEST_CASE("StreamOrigin: a replica keeps origins for a limited time, and a "
          "limited number") {
  LedgerState State = replicaState();
  State.Options.StartedStreamLimit = 2;
  for (const char *Name : {"first", "second", "third"})
    recordAt(State, Name, AppV1);
  CHECK(originAt(State, "second") == AppV1);
  CHECK_FALSE(originAt(State, "third"));
  reduce(State, LedgerTick{Instant{Milliseconds(5000)}});
  CHECK(State.StartedStreams.empty());
}

TEST_CASE("StreamOrigin: a replica knows contents that began at one version") {
  LedgerState State = replicaState();
  const StreamOrigin AppV2{ServiceName("app"), SoftwareVersion("v2")};
  CHECK_FALSE(openContentAt(State, Fingerprint(7)).ResumedOrigin);
  recordAt(State, "first", AppV1, Fingerprint(7));
  recordAt(State, "second", AppV1, Fingerprint(7));
  recordAt(State, "other", AppV2, Fingerprint(8));
  CHECK(openContentAt(State, Fingerprint(7)).ResumedOrigin == AppV1);
  recordAt(State, "third", AppV2, Fingerprint(7));
  const auto Ambiguous = openContentAt(State, Fingerprint(7)).ResumedOrigin;
  REQUIRE(Ambiguous);
  CHECK(Ambiguous->Version == SoftwareVersion());
  // Those that callers name are as certain as before.
  CHECK(originAt(State, "first") == AppV1);
  CHECK(originAt(State, "third") == AppV2);
}

TEST_CASE("StreamOrigin: a replica states for how long it has kept all "
          "origins") {
  LedgerState State = replicaState();
  State.Options.StartedStreamLimit = 2;
  const auto KeptFor = [&State] {
    return openContentAt(State, Fingerprint(7)).StreamsKeptFor;
  };
  CHECK(KeptFor() == Milliseconds(0));
  reduce(State, LedgerTick{Instant{Milliseconds(1000)}});
  reduce(State, LedgerTick{Instant{Milliseconds(5000)}});
  CHECK(KeptFor() == Milliseconds(4000));
  SECTION("one exceeds the limit") {
    recordAt(State, "first", AppV1, Fingerprint(7));
    recordAt(State, "second", AppV1, Fingerprint(8));
    CHECK(KeptFor() == Milliseconds(4000));
    recordAt(State, "third", AppV1, Fingerprint(9));
  }
  SECTION("one comes without its content, from a relay of an earlier version") {
    recordAt(State, "first", AppV1, Fingerprint());
  }
  CHECK(KeptFor() == Milliseconds(0));
  reduce(State, LedgerTick{Instant{Milliseconds(6000)}});
  CHECK(KeptFor() == Milliseconds(1000));
}
