/// Tests of a relay's shutdown: every request that was read is answered, and
/// none that can't end in time is sent to a target.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay whose requests may take longer than its grace period.
class ShutdownFixture : public RelayFixture {
public:
  ShutdownFixture() {
    this->makeReady();
    for (RelayRoute &Each : this->State.Configuration->Routes)
      Each.Timeout = Milliseconds(60000);
  }

  /// Sends a request and lets it take some time at its target.
  void serve(const std::string &Path, Milliseconds RunTime) {
    this->ask(Path);
    const RelayAttemptId Attempt = this->all<SendAttempt>().back().Attempt;
    this->passTime(RunTime);
    this->apply(AttemptHeadReceived{Attempt, head(200)});
    this->apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
    this->Effects.clear();
  }

  /// Sends first turns of programs until one waits for a target.
  void fillTargets() {
    for (int Number = 0; this->State.QueuedCalls.empty(); ++Number) {
      REQUIRE(Number < 20);
      CallerRequest Inbound;
      Inbound.Id = CallerAttemptId("first-" + std::to_string(Number));
      Inbound.Method = "POST";
      Inbound.Host = "shop.example";
      Inbound.RequestTarget = "/turn/x";
      Inbound.Program =
          ProgramContext{ProgramId(Inbound.Id.Value), AgentId("s"),
                         Milliseconds(600000), std::nullopt};
      this->apply(CallerRequestReceived{RequestId(100 + Number), Inbound});
    }
    REQUIRE(this->State.QueuedCalls.size() == 1);
  }

  void shutDown() {
    this->apply(RelayShutdownRequested{});
    this->Effects.clear();
  }

  Milliseconds drainTimeout() const { return this->State.Options.DrainTimeout; }

  /// Returns the only refusal since Effects was last cleared.
  RelayRefusal refusal() const {
    const auto Refused = this->all<RefuseCaller>();
    REQUIRE(Refused.size() == 1);
    return Refused[0].Refusal;
  }
};

} // namespace

TEST_CASE("Shutdown: a request that is still running at the exit gets an "
          "answer that does not deny that it has run") {
  ShutdownFixture Fixture;
  Fixture.ask("/once/x");
  Fixture.shutDown();
  Fixture.passTime(Fixture.drainTimeout());
  CHECK(Fixture.refusal().Reason == RelayRefusalReason::Stopping);
  CHECK(Fixture.refusal().ExecutionStatus == Execution::Unknown);
  CHECK(Fixture.all<CancelTargetAttempt>().size() == 1);
  CHECK(Fixture.all<ExitRelay>().size() == 1);
}

TEST_CASE("Shutdown: a stream that has begun is visibly broken off at the "
          "exit, not before") {
  ShutdownFixture Fixture;
  Fixture.askTurn(100000, 20);
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  const RelayAttemptId Attempt = Fixture.all<SendAttempt>().back().Attempt;
  Fixture.apply(AttemptHeadReceived{Attempt, RelayFixture::head(200, true)});
  Fixture.apply(AttemptBytesReceived{Attempt, "id: 1\ndata: e\n\n"});
  Fixture.shutDown();
  Fixture.passTime(Fixture.drainTimeout() - Milliseconds(1));
  CHECK(Fixture.all<AbortAnswer>().empty());
  Fixture.passTime(Milliseconds(1));
  CHECK(Fixture.all<AbortAnswer>().size() == 1);
  CHECK(Fixture.all<FinishAnswer>().empty());
}

TEST_CASE("Shutdown: a request that waits for a target at the exit is refused "
          "as not run") {
  ShutdownFixture Fixture;
  Fixture.fillTargets();
  const RequestId Waiting = *Fixture.State.QueuedCalls.begin();
  Fixture.shutDown();
  Fixture.passTime(Fixture.drainTimeout());
  const auto Refused = Fixture.all<RefuseCaller>();
  CHECK(Refused.size() > 1);
  for (const RefuseCaller &Each : Refused) {
    CHECK(Each.Refusal.Reason == RelayRefusalReason::Stopping);
    CHECK(Each.Refusal.ExecutionStatus ==
          (Each.Request == Waiting ? Execution::NotRun : Execution::Unknown));
  }
}

TEST_CASE("Shutdown: a request is sent only if it is expected to end in time") {
  ShutdownFixture Fixture;
  constexpr Milliseconds RunTime{3000};
  Fixture.serve("/once/x", RunTime);
  Fixture.shutDown();
  Fixture.passTime(Milliseconds(1000));
  Fixture.ask("/once/x", "early");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.passTime(Milliseconds(1000));
  Fixture.ask("/once/x", "late");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.refusal().Reason == RelayRefusalReason::Stopping);
  CHECK(Fixture.refusal().ExecutionStatus == Execution::NotRun);
  CHECK(Fixture.refusal().RetryAfter > Milliseconds(0));
}

TEST_CASE("Shutdown: a request that was received late is refused as not run "
          "unless its caller's time ends before the exit") {
  ShutdownFixture Fixture;
  // Holds the process until the exit.
  Fixture.ask("/once/x", "long");
  Fixture.shutDown();
  Fixture.passTime(Fixture.State.Options.DrainAcceptPeriod);
  REQUIRE(Fixture.all<StopAccepting>().size() == 1);
  Fixture.ask("/once/x", "short", Milliseconds(1000));
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<RefuseCaller>().empty());
  Fixture.ask("/once/x", "late");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.refusal().Reason == RelayRefusalReason::Stopping);
  CHECK(Fixture.refusal().ExecutionStatus == Execution::NotRun);
}

TEST_CASE("Shutdown: requests of unknown run time are served while the relay "
          "accepts connections") {
  ShutdownFixture Fixture;
  Fixture.shutDown();
  Fixture.passTime(Fixture.State.Options.DrainAcceptPeriod - Milliseconds(100));
  Fixture.ask("/once/x");
  CHECK(Fixture.all<SendAttempt>().size() == 1);
}
