/// Tests of what a relay does with requests of teams that have a quota.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

const TeamId Team("team-1");
const RequestQuota Quota{RequestRate{30}, 30};

/// A relay with a team that has a quota and another that has none.
class QuotaFixture : public RelayFixture {
public:
  QuotaFixture() {
    this->makeReady();
    this->setQuota(Quota);
    this->Effects.clear();
  }

  void setQuota(const std::optional<RequestQuota> &New) {
    RelayConfiguration Changed = *this->State.Configuration;
    Changed.Version = ConfigVersion(Changed.Version.Value + 1);
    Changed.Teams[Team] = TeamSettings{Team, 0, New};
    Changed.Teams[TeamId("free")] = TeamSettings{TeamId("free"), 0, {}};
    Changed.TeamByKey["key"] = Team;
    Changed.TeamByKey["free-key"] = TeamId("free");
    this->apply(RelayConfigured{Changed});
  }

  RequestId call(const std::string &Id = "r1", const std::string &Key = "key",
                 const std::string &Path = "/once/1") {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = Path;
    Inbound.Credential = KeyDigest(Key);
    if (Path == "/turn/x")
      Inbound.Program =
          ProgramContext{ProgramId("p-" + Id), AgentId("s"), {}, {}};
    const RequestId Request(++this->LastCall);
    this->apply(CallerRequestReceived{Request, Inbound});
    return Request;
  }

  struct Asked {
    HolderId Replica;
    Instant At;
    PermitRequest::Row Row;
  };

  /// Returns the rows about teams that were sent since Effects was cleared.
  std::vector<Asked> asked() const {
    std::vector<Asked> Found;
    for (const SendToReplica &Each : this->all<SendToReplica>()) {
      const auto *Request = std::get_if<PermitRequest>(&Each.Body);
      if (!Request)
        continue;
      for (const PermitRequest::Row &Row : Request->Rows)
        Found.push_back(Asked{Each.Holder, Request->AskedAt, Row});
    }
    return Found;
  }

  /// Answers a row with a number of permits and denies the rest.
  void answer(const Asked &Row, std::uint32_t Count,
              Milliseconds NextIn = Milliseconds(40)) {
    PermitGrant Answer;
    Answer.Subject = Team;
    Answer.AskedAt = Row.At;
    Answer.Count = Count;
    Answer.Denied = Row.Row.Wanted - Count;
    Answer.NextIn = NextIn;
    Answer.IsFirstTurn = Row.Row.IsFirstTurn;
    Answer.IsProgramStart = Row.Row.IsProgramStart;
    this->apply(ReplicaMessageReceived{Row.Replica, Answer});
  }

  /// Adds permits to the relay's pool.
  void grant(std::uint32_t Count) {
    PermitGrant Answer;
    Answer.Subject = Team;
    Answer.AskedAt = this->State.Now;
    Answer.Count = Count;
    this->State.Permits[Team].RequestedAt = this->State.Now;
    this->apply(ReplicaMessageReceived{HolderId("a"), Answer});
  }

  /// Lets time pass while all replicas send heartbeats.
  void passLiveTime(int Ticks) {
    for (int Tick = 0; Tick < Ticks; ++Tick) {
      this->passTime(Milliseconds(25));
      for (const char *Holder : {"a", "b", "c"})
        this->apply(ReplicaMessageReceived{HolderId(Holder), Heartbeat{}});
    }
  }

  std::size_t sent() const { return this->all<SendAttempt>().size(); }

private:
  std::uint64_t LastCall = 1000;
};

} // namespace

TEST_CASE(
    "RelayQuota: a request whose relay holds a permit is sent in the same "
    "step") {
  QuotaFixture Fixture;
  Fixture.grant(1);
  Fixture.call();
  CHECK(Fixture.sent() == 1);
  CHECK(Fixture.asked().empty());
}

TEST_CASE("RelayQuota: a request without a permit asks one replica and is sent "
          "on its answer, without waiting for a tick") {
  QuotaFixture Fixture;
  Fixture.call();
  CHECK(Fixture.sent() == 0);
  REQUIRE(Fixture.asked().size() == 1);
  Fixture.answer(Fixture.asked()[0], 1);
  CHECK(Fixture.sent() == 1);
  CHECK(Fixture.asked().size() == 1);
  CHECK(Fixture.State.CallsAwaitingQuota.empty());
}

TEST_CASE(
    "RelayQuota: the row states the quota and its configuration's version") {
  QuotaFixture Fixture;
  Fixture.call();
  const auto Stated =
      std::get<TeamQuotaNotice>(Fixture.asked().at(0).Row.Stated);
  CHECK(Stated.Team == Team);
  CHECK(Stated.Version == Fixture.State.Configuration->Version);
  CHECK(Stated.Quota == Quota);
}

TEST_CASE("RelayQuota: one permit serves one request") {
  QuotaFixture Fixture;
  Fixture.grant(1);
  Fixture.call("r1");
  Fixture.call("r2");
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: teams without a quota and requests without a team need "
          "no permit") {
  QuotaFixture Fixture;
  Fixture.call("r1", "free-key");
  Fixture.setQuota(std::nullopt);
  Fixture.call("r2");
  CHECK(Fixture.sent() == 2);
  CHECK(Fixture.asked().empty());
}

TEST_CASE(
    "RelayQuota: a request is refused with 429's reason once all replicas "
    "have denied it, with the soonest of their times") {
  QuotaFixture Fixture;
  Fixture.call();
  Fixture.answer(Fixture.asked().at(0), 0, Milliseconds(900));
  REQUIRE(Fixture.asked().size() == 2);
  Fixture.answer(Fixture.asked()[1], 0, Milliseconds(300));
  REQUIRE(Fixture.asked().size() == 3);
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.answer(Fixture.asked()[2], 0, Milliseconds(700));
  const auto Refusals = Fixture.all<RefuseCaller>();
  REQUIRE(Refusals.size() == 1);
  CHECK(Refusals[0].Refusal.Reason == RelayRefusalReason::QuotaExceeded);
  CHECK(Refusals[0].Refusal.ExecutionStatus == Execution::NotRun);
  CHECK(Milliseconds(300) <= Refusals[0].Refusal.RetryAfter);
  CHECK(Refusals[0].Refusal.RetryAfter <= Milliseconds(600));
  CHECK(Fixture.State.Calls.empty());
  CHECK(Fixture.State.CallsAwaitingQuota.empty());
  std::set<HolderId> Replicas;
  for (const auto &Each : Fixture.asked())
    Replicas.insert(Each.Replica);
  CHECK(Replicas.size() == 3);
}

TEST_CASE("RelayQuota: refused callers return at different times, after 100 ms "
          "at least") {
  QuotaFixture Fixture;
  Fixture.call("first");
  for (std::size_t Index = 0; Index < 3; ++Index)
    Fixture.answer(Fixture.asked().at(Index), 0, Milliseconds(20));
  for (int Number = 0; Number < 8; ++Number)
    Fixture.call("r" + std::to_string(Number));
  // What the replicas said holds until then, so they are not asked again.
  CHECK(Fixture.asked().size() == 3);
  std::set<std::int64_t> Delays;
  for (const RefuseCaller &Each : Fixture.all<RefuseCaller>()) {
    CHECK(Milliseconds(100) <= Each.Refusal.RetryAfter);
    Delays.insert(Each.Refusal.RetryAfter.count());
  }
  CHECK(Fixture.all<RefuseCaller>().size() == 9);
  CHECK(Delays.size() >= 5);
}

TEST_CASE("RelayQuota: all relays ask the same replica first for a team") {
  QuotaFixture First;
  QuotaFixture Second;
  Second.State.Self = HostId("other-relay");
  First.call();
  Second.call();
  CHECK(First.asked().at(0).Replica == Second.asked().at(0).Replica);
}

TEST_CASE(
    "RelayQuota: a replica that does not answer within 150 ms counts as a "
    "denial and is asked last for a second") {
  QuotaFixture Fixture;
  Fixture.call("r1");
  const HolderId Silent = Fixture.asked().at(0).Replica;
  Fixture.passLiveTime(7);
  REQUIRE(Fixture.asked().size() == 2);
  CHECK(Fixture.asked()[1].Replica != Silent);
  Fixture.answer(Fixture.asked()[1], 1);
  CHECK(Fixture.sent() == 1);
  Fixture.Effects.clear();
  Fixture.call("r2");
  CHECK(Fixture.asked().at(0).Replica != Silent);
  Fixture.answer(Fixture.asked()[0], 1);
  Fixture.passLiveTime(44);
  Fixture.Effects.clear();
  Fixture.call("r3");
  CHECK(Fixture.asked().at(0).Replica == Silent);
}

TEST_CASE("RelayQuota: a permit is void 500 ms after it was asked for") {
  QuotaFixture Fixture;
  Fixture.grant(2);
  Fixture.passLiveTime(19);
  Fixture.call("r1");
  CHECK(Fixture.sent() == 1);
  Fixture.passLiveTime(1);
  Fixture.call("r2");
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: a permit returns to the pool if its request is refused "
          "before anything is sent") {
  QuotaFixture Fixture;
  Fixture.grant(1);
  for (const char *Target : {"t1", "t2"})
    Fixture.apply(TargetUnregistered{TargetId(Target)});
  Fixture.call("r1");
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>()[0].Refusal.Reason ==
        RelayRefusalReason::NoTarget);
  Fixture.addTarget("t3");
  Fixture.call("r2");
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: a retry needs no second permit, and a permit that was "
          "used does not return") {
  QuotaFixture Fixture;
  Fixture.grant(1);
  Fixture.call("r1", "key", "/plain/1");
  REQUIRE(Fixture.sent() == 1);
  Fixture.apply(AttemptEnded{Fixture.all<SendAttempt>()[0].Attempt,
                             AttemptEnded::Kind::NeverSent});
  REQUIRE(Fixture.sent() == 2);
  CHECK(Fixture.asked().empty());
  Fixture.apply(AttemptHeadReceived{Fixture.all<SendAttempt>()[1].Attempt,
                                    RelayFixture::head(200)});
  Fixture.apply(AttemptEnded{Fixture.all<SendAttempt>()[1].Attempt,
                             AttemptEnded::Kind::Complete});
  CHECK(Fixture.State.Permits.at(Team).ValidUntil.empty());
}

TEST_CASE("RelayQuota: calls of programs under way are named as such, and get "
          "permits before first turns") {
  QuotaFixture Fixture;
  Fixture.call("start", "key", "/turn/x");
  const RequestId Other = Fixture.call("tool", "key", "/once/1");
  REQUIRE(Fixture.asked().size() == 2);
  CHECK(Fixture.asked()[0].Row.IsFirstTurn);
  CHECK_FALSE(Fixture.asked()[1].Row.IsFirstTurn);
  // A permit that neither of them asked for.
  Fixture.passLiveTime(1);
  Fixture.grant(1);
  REQUIRE(Fixture.sent() == 1);
  CHECK(Fixture.all<SendAttempt>()[0].Request == Other);
}

TEST_CASE("RelayQuota: a caller that leaves while it waits frees its call") {
  QuotaFixture Fixture;
  const RequestId Request = Fixture.call();
  Fixture.apply(RelayCallerDisconnected{Request});
  CHECK(Fixture.State.CallsAwaitingQuota.empty());
  Fixture.answer(Fixture.asked().at(0), 1);
  CHECK(Fixture.sent() == 0);
  Fixture.call("r2");
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: a call that waits is sent once its team has no quota") {
  QuotaFixture Fixture;
  Fixture.call();
  Fixture.setQuota(std::nullopt);
  Fixture.passLiveTime(8);
  CHECK(Fixture.sent() == 1);
}

TEST_CASE(
    "RelayQuota: permits of busy teams are asked for in advance, those of "
    "small teams are not") {
  QuotaFixture Fixture;
  for (int Number = 0; Number < 8; ++Number) {
    Fixture.grant(1);
    Fixture.call("s" + std::to_string(Number));
    Fixture.passLiveTime(40);
  }
  CHECK(Fixture.asked().empty());
  for (int Number = 0; Number < 60; ++Number) {
    Fixture.grant(1);
    Fixture.call("r" + std::to_string(Number));
    Fixture.passLiveTime(2);
  }
  CHECK_FALSE(Fixture.asked().empty());
}

TEST_CASE("RelayQuota: without replicas a relay takes its last share, not the "
          "whole quota") {
  QuotaFixture Fixture;
  // Two a second of a quota of 30.
  for (int Number = 0; Number < 20; ++Number) {
    Fixture.grant(1);
    Fixture.call("r" + std::to_string(Number));
    Fixture.passLiveTime(20);
  }
  for (const char *Holder : {"a", "b", "c"})
    Fixture.apply(ReplicaDisconnected{HolderId(Holder)});
  Fixture.Effects.clear();
  for (int Number = 0; Number < 200; ++Number) {
    Fixture.call("n" + std::to_string(Number));
    Fixture.passTime(Milliseconds(50));
  }
  CHECK(Fixture.sent() >= 15);
  CHECK(Fixture.sent() <= 24);
  // The others are refused at once for the quota. Those that were sent get no
  // answer here and are refused later for their deadline.
  std::size_t Refused = 0;
  for (const RefuseCaller &Each : Fixture.all<RefuseCaller>())
    Refused += Each.Refusal.Reason == RelayRefusalReason::QuotaExceeded ? 1 : 0;
  CHECK(Refused == 200 - Fixture.sent());
}

TEST_CASE("RelayQuota: without replicas a team that was granted nothing gets a "
          "request in five seconds") {
  QuotaFixture Fixture;
  for (const char *Holder : {"a", "b", "c"})
    Fixture.apply(ReplicaDisconnected{HolderId(Holder)});
  for (int Number = 0; Number < 200; ++Number) {
    Fixture.call("n" + std::to_string(Number));
    Fixture.passTime(Milliseconds(50));
  }
  CHECK(Fixture.sent() >= 2);
  CHECK(Fixture.sent() <= 3);
}

TEST_CASE("RelayQuota: a stalled relay blames no replica for its own delay") {
  QuotaFixture Fixture;
  Fixture.call();
  const auto First = Fixture.asked().at(0);
  Fixture.passTime(Milliseconds(400));
  CHECK(Fixture.asked().size() == 1);
  Fixture.answer(First, 1);
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: a program starts only once a replica lets it, also if "
          "the relay holds permits") {
  QuotaFixture Fixture;
  Fixture.grant(2);
  Fixture.call("start", "key", "/turn/x");
  CHECK(Fixture.sent() == 0);
  REQUIRE(Fixture.asked().size() == 1);
  CHECK(Fixture.asked()[0].Row.IsProgramStart);
  Fixture.answer(Fixture.asked()[0], 1);
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayQuota: a program that may not start is refused at once, and no "
          "replica is asked again until one may") {
  QuotaFixture Fixture;
  Fixture.call("start", "key", "/turn/x");
  Fixture.answer(Fixture.asked().at(0), 0, Milliseconds(600));
  REQUIRE(Fixture.all<RefuseCaller>().size() == 1);
  const RelayRefusal First = Fixture.all<RefuseCaller>()[0].Refusal;
  CHECK(First.Reason == RelayRefusalReason::QuotaExceeded);
  CHECK(Milliseconds(600) <= First.RetryAfter);
  Fixture.call("second", "key", "/turn/x");
  CHECK(Fixture.asked().size() == 1);
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
  // Requests of programs under way are not held back.
  Fixture.call("tool");
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
  Fixture.passLiveTime(24);
  Fixture.call("third", "key", "/turn/x");
  CHECK(Fixture.asked().back().Row.IsProgramStart);
}

TEST_CASE("RelayQuota: a relay reports the requests that it has admitted with "
          "the next start of a program, once") {
  QuotaFixture Fixture;
  Fixture.grant(3);
  for (const char *Id : {"r1", "r2", "r3"})
    Fixture.call(Id);
  Fixture.call("start", "key", "/turn/x");
  Fixture.call("next", "key", "/turn/x");
  REQUIRE(Fixture.asked().size() == 2);
  CHECK(Fixture.asked()[0].Row.AdmittedRequests == 3);
  CHECK(Fixture.asked()[1].Row.AdmittedRequests == 0);
}

TEST_CASE("RelayQuota: the next replica decides on starts if the first does "
          "not answer") {
  QuotaFixture Fixture;
  Fixture.call("start", "key", "/turn/x");
  Fixture.passLiveTime(7);
  REQUIRE(Fixture.asked().size() == 2);
  CHECK_FALSE(Fixture.asked()[0].Replica == Fixture.asked()[1].Replica);
  CHECK(Fixture.asked()[1].Row.IsProgramStart);
}

TEST_CASE("RelayQuota: a raised quota is used at once, whatever the replicas "
          "said by the one before") {
  QuotaFixture Fixture;
  Fixture.setQuota(RequestQuota{RequestRate{0.1}, 1});
  Fixture.call("start", "key", "/turn/x");
  Fixture.answer(Fixture.asked().at(0), 0, Milliseconds(100000));
  Fixture.call("tool");
  for (std::size_t Index = 1; Index < 4; ++Index)
    Fixture.answer(Fixture.asked().at(Index), 0, Milliseconds(50000));
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
  Fixture.setQuota(Quota);
  Fixture.call("second", "key", "/turn/x");
  Fixture.call("other-tool");
  CHECK(Fixture.all<RefuseCaller>().size() == 2);
  REQUIRE(Fixture.asked().size() == 6);
  CHECK(Fixture.asked()[4].Row.IsProgramStart);
}
