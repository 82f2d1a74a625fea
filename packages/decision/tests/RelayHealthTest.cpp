/// Tests of passive health checks: a relay detects failing and slow targets
/// from the outcome and latency of requests.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with two targets that answer only when the test makes them.
class HealthFixture : public RelayFixture {
public:
  HealthFixture() {
    this->makeReady();
    // Well within the routes' timeout of 1 s.
    this->State.Options.MinFirstByteTimeout = this->FirstByteTimeout;
  }

  /// Sends a request and returns the last attempt sent.
  SendAttempt send(const std::string &Path) {
    this->ask(Path, "r" + std::to_string(++this->RequestCount));
    return this->all<SendAttempt>().back();
  }

  void answer(const SendAttempt &Attempt, std::uint16_t Status = 200) {
    this->apply(AttemptHeadReceived{Attempt.Attempt, head(Status)});
    this->apply(AttemptEnded{Attempt.Attempt, AttemptEnded::Kind::Complete});
  }

  /// Sends requests one after the other, each answered after 20 ms, and returns
  /// how many went to Target.
  int countTo(const TargetId &Target, int Requests) {
    int Found = 0;
    for (int Each = 0; Each < Requests; ++Each) {
      const SendAttempt Attempt = this->send("/once/x");
      Found += Attempt.Target.Id == Target ? 1 : 0;
      this->passTime(Milliseconds(20));
      this->answer(Attempt);
    }
    return Found;
  }

  const Milliseconds FirstByteTimeout{200};

private:
  int RequestCount = 0;
};

} // namespace

TEST_CASE(
    "Relay health: a target that does not answer a request gets no others") {
  HealthFixture Fixture;
  Fixture.countTo(TargetId("t1"), 10);
  const TargetId Unresponsive = Fixture.send("/once/x").Target.Id;
  Fixture.passTime(Fixture.FirstByteTimeout);
  // It would answer these.
  CHECK(Fixture.countTo(Unresponsive, 20) == 0);
  CHECK(Fixture.all<RefuseCaller>().empty());
  SECTION("until the failure has decayed") {
    Fixture.passTime(Fixture.State.Options.HealthHalfLife * 10);
    CHECK(Fixture.countTo(Unresponsive, 20) > 0);
  }
  SECTION("until the target has restarted") {
    // Past its deadline the unanswered attempt no longer takes a slot.
    Fixture.passTime(Milliseconds(600));
    CHECK(Fixture.countTo(Unresponsive, 5) == 0);
    RegisteredTarget Entry = Fixture.State.Targets.at(Unresponsive).Entry;
    Entry.StartedAtMillis = 17;
    Fixture.apply(TargetRegistered{Entry});
    CHECK(Fixture.countTo(Unresponsive, 20) > 0);
  }
}

TEST_CASE("Relay health: a target that answers with an error gets no others") {
  HealthFixture Fixture;
  Fixture.countTo(TargetId("t1"), 10);
  const SendAttempt Failing = Fixture.send("/once/x");
  Fixture.answer(Failing, 500);
  CHECK(Fixture.countTo(Failing.Target.Id, 20) == 0);
}

TEST_CASE("Relay health: a slow target gets fewer requests than the others") {
  HealthFixture Fixture;
  Fixture.addTarget("t3");
  Fixture.addTarget("t4");
  const TargetId Slow("t1");
  int Early = 0;
  int Later = 0;
  for (int Each = 0; Each < 80; ++Each) {
    const SendAttempt Attempt = Fixture.send("/once/x");
    const bool IsSlow = Attempt.Target.Id == Slow;
    (Each < 40 ? Early : Later) += IsSlow ? 1 : 0;
    Fixture.passTime(Milliseconds(IsSlow ? 200 : 20));
    Fixture.answer(Attempt);
  }
  CHECK(Early <= 5);
  CHECK(Later <= 5);
}

TEST_CASE(
    "Relay health: an unanswered idempotent request is retried elsewhere") {
  HealthFixture Fixture;
  const SendAttempt First = Fixture.send("/plain/x");
  Fixture.passTime(Fixture.FirstByteTimeout);
  const auto Sent = Fixture.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(Sent[1].Target.Id == First.Target.Id);
  REQUIRE(Fixture.all<CancelTargetAttempt>().size() == 1);
  CHECK(Fixture.all<CancelTargetAttempt>()[0].Attempt == First.Attempt);
  // The route allows only two attempts.
  Fixture.passTime(Fixture.FirstByteTimeout);
  CHECK(Fixture.all<SendAttempt>().size() == 2);
  CHECK(Fixture.all<RefuseCaller>().empty());
}

TEST_CASE(
    "Relay health: an unanswered non-idempotent request is not cancelled") {
  HealthFixture Fixture;
  const SendAttempt Only = Fixture.send("/once/x");
  Fixture.passTime(Fixture.FirstByteTimeout);
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<CancelTargetAttempt>().empty());
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.answer(Only);
  CHECK(Fixture.all<FinishAnswer>().size() == 1);
}

TEST_CASE("Relay health: the first-byte timeout grows with the usual latency") {
  HealthFixture Fixture;
  for (int Each = 0; Each < 200; ++Each) {
    const SendAttempt Attempt = Fixture.send("/once/x");
    Fixture.passTime(Milliseconds(50));
    Fixture.answer(Attempt);
  }
  Fixture.send("/plain/x");
  const std::size_t Sent = Fixture.all<SendAttempt>().size();
  Fixture.passTime(Fixture.FirstByteTimeout);
  CHECK(Fixture.all<SendAttempt>().size() == Sent);
  Fixture.passTime(Milliseconds(200));
  CHECK(Fixture.all<SendAttempt>().size() == Sent + 1);
}
