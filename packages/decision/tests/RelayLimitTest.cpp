/// Tests of what a relay does with requests for targets that name a limit.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with two targets, both of which have named a limit.
class LimitFixture : public RelayFixture {
public:
  LimitFixture() {
    this->makeReady();
    for (const char *Target : {"t1", "t2"})
      this->learn(Target, RequestRate{6}, Milliseconds(0));
    this->Effects.clear();
  }

  static TargetRun run(const char *Target) {
    return TargetRun{TargetId(Target), 0};
  }

  /// Delivers what a replica knows of a target's limit.
  void learn(const char *Target, std::optional<RequestRate> Limit,
             Milliseconds Age) {
    this->apply(ReplicaMessageReceived{
        HolderId("a"), TargetLimitNotice{run(Target), Limit, Age, Age}});
  }

  void grant(const char *Target, std::uint32_t Count = 1,
             Milliseconds Age = Milliseconds(0)) {
    this->apply(ReplicaMessageReceived{
        HolderId("a"), PermitGrant{run(Target), Count, this->State.Now - Age}});
  }

  std::size_t sent() const { return this->all<SendAttempt>().size(); }

  void answer(const SendAttempt &Sent, const TargetAnswerHead &Head) {
    this->apply(AttemptHeadReceived{Sent.Attempt, Head});
    this->apply(AttemptEnded{Sent.Attempt, AttemptEnded::Kind::Complete});
  }

  static TargetAnswerHead limitedHead(std::uint16_t Status, double PerSecond) {
    TargetAnswerHead Head = head(Status);
    Head.RequestLimit = RequestRate{PerSecond};
    return Head;
  }
};

} // namespace

TEST_CASE(
    "RelayLimit: a request waits for a permit, which serves one request") {
  LimitFixture Fixture;
  Fixture.ask("/plain/1", "r1");
  Fixture.ask("/plain/2", "r2");
  CHECK(Fixture.sent() == 0);
  Fixture.grant("t2");
  REQUIRE(Fixture.sent() == 1);
  CHECK(Fixture.all<SendAttempt>()[0].Target.Id == TargetId("t2"));
  Fixture.passTime(Milliseconds(25));
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayLimit: a permit that took too long is not used") {
  LimitFixture Fixture;
  Fixture.ask("/plain/1");
  const Milliseconds Lifetime = Fixture.State.Options.PermitLifetime;
  Fixture.grant("t1", 1, Lifetime);
  CHECK(Fixture.sent() == 0);
  Fixture.grant("t1", 1, Lifetime - Milliseconds(1));
  CHECK(Fixture.sent() == 1);
}

TEST_CASE("RelayLimit: permits do not add up while nothing is sent") {
  LimitFixture Fixture;
  for (int Number = 0; Number < 20; ++Number) {
    Fixture.grant("t1");
    Fixture.passTime(Milliseconds(500));
  }
  Fixture.ask("/plain/1", "r1");
  Fixture.ask("/plain/2", "r2");
  Fixture.ask("/plain/3", "r3");
  // A permit is asked for and granted every 500 ms.
  const auto MaxHeld = Fixture.State.Options.PermitLifetime / 500;
  CHECK(Fixture.sent() <= static_cast<std::size_t>(MaxHeld.count()));
}

TEST_CASE("RelayLimit: a target without a limit gets what others do not take") {
  LimitFixture Fixture;
  Fixture.addTarget("t3");
  for (int Number = 0; Number < 5; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
  REQUIRE(Fixture.sent() == 5);
  for (const SendAttempt &Each : Fixture.all<SendAttempt>())
    CHECK(Each.Target.Id == TargetId("t3"));
}

TEST_CASE("RelayLimit: retries need permits too") {
  LimitFixture Fixture;
  Fixture.ask("/plain/1");
  Fixture.grant("t1");
  REQUIRE(Fixture.sent() == 1);
  TargetAnswerHead Refused = LimitFixture::limitedHead(503, 6);
  Refused.IsNotRun = true;
  Fixture.answer(Fixture.all<SendAttempt>()[0], Refused);
  CHECK(Fixture.sent() == 1);
  Fixture.grant("t2");
  CHECK(Fixture.sent() == 2);
}

TEST_CASE("RelayLimit: the call with the earliest deadline gets the permit") {
  LimitFixture Fixture;
  Fixture.ask("/plain/1", "late", Milliseconds(900));
  const RequestId Urgent = Fixture.ask("/plain/2", "urgent", Milliseconds(400));
  Fixture.grant("t1");
  REQUIRE(Fixture.sent() == 1);
  CHECK(Fixture.all<SendAttempt>()[0].Request == Urgent);
}

TEST_CASE("RelayLimit: a call that gets no permit in time is refused as not "
          "run, with a time to return") {
  LimitFixture Fixture;
  Fixture.ask("/once/1", "r1", Milliseconds(800));
  Fixture.passTime(Milliseconds(390));
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.passTime(Milliseconds(20));
  const auto Refusals = Fixture.all<RefuseCaller>();
  REQUIRE(Refusals.size() == 1);
  CHECK(Refusals[0].Refusal.Reason == RelayRefusalReason::TargetLimit);
  CHECK(Refusals[0].Refusal.ExecutionStatus == Execution::NotRun);
  CHECK(Refusals[0].Refusal.RetryAfter > Milliseconds(0));
  CHECK(Fixture.State.Calls.empty());
  CHECK(Fixture.State.QueuedCalls.empty());
}

TEST_CASE("RelayLimit: a call that would wait too long is refused at once") {
  LimitFixture Fixture;
  // One request a second is sent.
  for (int Number = 0; Number < 6; ++Number) {
    Fixture.ask("/plain/x", "s" + std::to_string(Number));
    Fixture.grant("t1");
    Fixture.passTime(Milliseconds(1000));
  }
  Fixture.Effects.clear();
  std::set<std::int64_t> Delays;
  for (int Number = 0; Number < 8; ++Number)
    Fixture.ask("/plain/x", "r" + std::to_string(Number), Milliseconds(900));
  const auto Refusals = Fixture.all<RefuseCaller>();
  REQUIRE(Refusals.size() >= 7);
  for (const RefuseCaller &Each : Refusals) {
    CHECK(Each.Refusal.Reason == RelayRefusalReason::TargetLimit);
    Delays.insert(Each.Refusal.RetryAfter.count());
  }
  // Callers do not return at the same time.
  CHECK(Delays.size() >= 5);
}

TEST_CASE("RelayLimit: relays tell replicas of a limit, and ask for those that "
          "they know") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.ask("/plain/1");
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 1);
  Fixture.apply(AttemptHeadReceived{Sent[0].Attempt,
                                    LimitFixture::limitedHead(200, 6.5)});
  auto Notices = Fixture.sentToReplicas<TargetLimitNotice>();
  REQUIRE(Notices.size() == 3);
  CHECK(Notices[0].Run.Target == Sent[0].Target.Id);
  CHECK(Notices[0].Limit == RequestRate{6.5});
  Fixture.Effects.clear();
  Fixture.apply(ReplicaConnected{HolderId("b")});
  CHECK(Fixture.sentToReplicas<TargetLimitNotice>().size() == 1);
  CHECK(Fixture.sentToReplicas<TargetLimitQuery>().size() == 1);
}

TEST_CASE("RelayLimit: an invalid limit leaves the one before in force and is "
          "logged once") {
  LimitFixture Fixture;
  TargetAnswerHead Head = RelayFixture::head(200);
  Head.RequestLimit = InvalidRequestRate{"-3"};
  for (int Number = 0; Number < 3; ++Number) {
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
    Fixture.grant("t1");
    REQUIRE(Fixture.sent() == static_cast<std::size_t>(Number + 1));
    Fixture.answer(Fixture.all<SendAttempt>().back(), Head);
  }
  CHECK(limitOf(Fixture.State.Limits, LimitFixture::run("t1")) ==
        RequestRate{6});
  int Logged = 0;
  for (const LogLine &Each : Fixture.all<LogLine>())
    Logged += Each.Event == "target_limit_invalid" ? 1 : 0;
  CHECK(Logged == 1);
}

TEST_CASE("RelayLimit: the answer of another target says nothing of a limit") {
  LimitFixture Fixture;
  Fixture.passTime(Milliseconds(100));
  Fixture.ask("/plain/x");
  Fixture.grant("t1");
  REQUIRE(Fixture.sent() == 1);
  TargetAnswerHead Head = RelayFixture::head(421);
  Head.IsMisdirected = true;
  Fixture.answer(Fixture.all<SendAttempt>()[0], Head);
  CHECK(limitOf(Fixture.State.Limits, LimitFixture::run("t1")));
}

TEST_CASE("RelayLimit: an ended limit frees the calls that wait") {
  LimitFixture Fixture;
  Fixture.passTime(Milliseconds(100));
  Fixture.ask("/plain/1", "r1");
  Fixture.ask("/plain/2", "r2");
  CHECK(Fixture.sent() == 0);
  Fixture.learn("t1", std::nullopt, Milliseconds(0));
  Fixture.passTime(Milliseconds(25));
  CHECK(Fixture.sent() == 2);
}

TEST_CASE("RelayLimit: without replicas a relay goes on at its last share") {
  LimitFixture Fixture;
  for (int Number = 0; Number < 20; ++Number) {
    Fixture.ask("/plain/x", "r" + std::to_string(Number));
    Fixture.grant("t1");
    Fixture.passTime(Milliseconds(500));
  }
  for (const char *Holder : {"a", "b", "c"})
    Fixture.apply(ReplicaDisconnected{HolderId(Holder)});
  Fixture.Effects.clear();
  for (int Number = 0; Number < 200; ++Number) {
    Fixture.ask("/plain/x", "n" + std::to_string(Number));
    Fixture.passTime(Milliseconds(50));
  }
  // Two a second for 10 s.
  CHECK(Fixture.sent() >= 10);
  CHECK(Fixture.sent() <= 22);
}
