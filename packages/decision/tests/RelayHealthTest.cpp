/// Tests of passive health checks: a relay detects failing and slow targets
/// from the outcome and latency of requests.
#include "RelayWorld.h"

#include <catch2/catch.hpp>

#include <string>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with two targets that answer only when the test makes them.
class HealthWorld : public RelayWorld {
public:
  HealthWorld() {
    this->makeReady();
    // Well within the routes' time-out of 1 s.
    this->State.Options.SilenceAtLeast = this->Silence;
  }

  /// Sends a request and returns the last attempt sent.
  SendAttempt send(const std::string &Path) {
    this->ask(Path, "r" + std::to_string(++this->Asked));
    return this->all<SendAttempt>().back();
  }

  void answer(const SendAttempt &Attempt, std::uint16_t Status = 200) {
    this->apply(AttemptHeadCame{Attempt.Attempt, head(Status)});
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

  const Milliseconds Silence{200};

private:
  int Asked = 0;
};

} // namespace

TEST_CASE(
    "Relay health: a target that does not answer a request gets no others") {
  HealthWorld World;
  World.countTo(TargetId("t1"), 10);
  const TargetId Silent = World.send("/once/x").Target.Id;
  World.passTime(World.Silence);
  // It would answer these.
  CHECK(World.countTo(Silent, 20) == 0);
  CHECK(World.all<RefuseCaller>().empty());
  SECTION("until the failure has decayed") {
    World.passTime(World.State.Options.HealthHalfLife * 10);
    CHECK(World.countTo(Silent, 20) > 0);
  }
  SECTION("until the target has restarted") {
    // Past its deadline the unanswered attempt no longer takes a slot.
    World.passTime(Milliseconds(600));
    CHECK(World.countTo(Silent, 5) == 0);
    RegisteredTarget Entry = World.State.Targets.at(Silent).Entry;
    Entry.BornMillis = 17;
    World.apply(TargetRegistered{Entry});
    CHECK(World.countTo(Silent, 20) > 0);
  }
}

TEST_CASE("Relay health: a target that answers with an error gets no others") {
  HealthWorld World;
  World.countTo(TargetId("t1"), 10);
  const SendAttempt Failing = World.send("/once/x");
  World.answer(Failing, 500);
  CHECK(World.countTo(Failing.Target.Id, 20) == 0);
}

TEST_CASE("Relay health: a slow target gets fewer requests than the others") {
  HealthWorld World;
  World.addTarget("t3");
  World.addTarget("t4");
  const TargetId Slow("t1");
  int Early = 0;
  int Later = 0;
  for (int Each = 0; Each < 80; ++Each) {
    const SendAttempt Attempt = World.send("/once/x");
    const bool IsSlow = Attempt.Target.Id == Slow;
    (Each < 40 ? Early : Later) += IsSlow ? 1 : 0;
    World.passTime(Milliseconds(IsSlow ? 200 : 20));
    World.answer(Attempt);
  }
  CHECK(Early <= 5);
  CHECK(Later <= 5);
}

TEST_CASE(
    "Relay health: an unanswered idempotent request is retried elsewhere") {
  HealthWorld World;
  const SendAttempt First = World.send("/plain/x");
  World.passTime(World.Silence);
  const auto Sent = World.all<SendAttempt>();
  REQUIRE(Sent.size() == 2);
  CHECK_FALSE(Sent[1].Target.Id == First.Target.Id);
  REQUIRE(World.all<CancelTargetAttempt>().size() == 1);
  CHECK(World.all<CancelTargetAttempt>()[0].Attempt == First.Attempt);
  // The route allows only two attempts.
  World.passTime(World.Silence);
  CHECK(World.all<SendAttempt>().size() == 2);
  CHECK(World.all<RefuseCaller>().empty());
}

TEST_CASE(
    "Relay health: an unanswered non-idempotent request is not cancelled") {
  HealthWorld World;
  const SendAttempt Only = World.send("/once/x");
  World.passTime(World.Silence);
  CHECK(World.all<SendAttempt>().size() == 1);
  CHECK(World.all<CancelTargetAttempt>().empty());
  CHECK(World.all<RefuseCaller>().empty());
  World.answer(Only);
  CHECK(World.all<FinishAnswer>().size() == 1);
}

TEST_CASE(
    "Relay health: the first-byte time-out grows with the usual latency") {
  HealthWorld World;
  for (int Each = 0; Each < 200; ++Each) {
    const SendAttempt Attempt = World.send("/once/x");
    World.passTime(Milliseconds(50));
    World.answer(Attempt);
  }
  World.send("/plain/x");
  const std::size_t Sent = World.all<SendAttempt>().size();
  World.passTime(World.Silence);
  CHECK(World.all<SendAttempt>().size() == Sent);
  World.passTime(Milliseconds(200));
  CHECK(World.all<SendAttempt>().size() == Sent + 1);
}
