/// Tests how a sidecar judges its target's health, shuts down, and releases
/// prefixes that no owner will release.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tanagerlanding;

namespace {

const ConnectionId Link(1);

/// A sidecar of a healthy engine, with one owner connected.
class SidecarFixture {
public:
  SidecarFixture() {
    this->State.Options.withCapacity(4).withKind(TargetKind::Engine);
    this->pass(Milliseconds(1));
    this->apply(TargetProbed{true, {}, false});
    this->apply(OwnerConnected{Link, Hello()});
  }

  void apply(const SidecarEvent &Event) {
    for (SidecarEffect &Each : reduce(this->State, Event))
      this->Effects.push_back(std::move(Each));
  }

  void pass(Milliseconds Span) {
    this->Now = this->Now + Span;
    this->apply(SidecarTick{this->Now});
  }

  /// Dispatches a chat call of program "p" and returns its attempt.
  AttemptId dispatch(std::uint64_t Sequence) {
    DispatchAttempt Work;
    Work.Attempt = AttemptId{ShardId(1), Epoch(1), Sequence};
    Work.Program = ProgramId("p");
    Work.Kind = CallKind::Chat;
    Work.IsIdempotent = true;
    Work.Deadline = Milliseconds(60000);
    this->apply(OwnerMessageReceived{Link, Work});
    return Work.Attempt;
  }

  template <typename Effect> std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        this->Effects.begin(), this->Effects.end(),
        [](const auto &Each) { return std::holds_alternative<Effect>(Each); }));
  }

  /// Returns the number of messages of one type that were sent to the owner.
  template <typename Body> std::size_t countSent() const {
    return static_cast<std::size_t>(std::count_if(
        this->Effects.begin(), this->Effects.end(), [](const auto &Each) {
          const auto *Sent = std::get_if<SendOwner>(&Each);
          return Sent && std::holds_alternative<Body>(Sent->Body);
        }));
  }

  SidecarState State;
  std::vector<SidecarEffect> Effects;

private:
  Instant Now;
};

} // namespace

TEST_CASE("Sidecar: the prefix of an interrupted attempt is released") {
  // The owner retries at another target and never requests the release here.
  SidecarFixture Fixture;
  const AttemptId Attempt = Fixture.dispatch(1);
  Fixture.apply(TargetConnectionLost{Attempt});
  Fixture.apply(TargetProbed{true, {}, false});
  CHECK(Fixture.countSent<AttemptFinished>() == 1);
  CHECK(Fixture.count<ReleaseTargetPrefixes>() == 0);
  Fixture.pass(Fixture.State.Options.PrefixLease);
  Fixture.pass(Milliseconds(1));
  CHECK(Fixture.count<ReleaseTargetPrefixes>() == 1);
}

TEST_CASE("Sidecar: an existing prefix is kept after an interrupted attempt") {
  SidecarFixture Fixture;
  const AttemptId First = Fixture.dispatch(1);
  TargetAnswered Whole;
  Whole.Attempt = First;
  Whole.Answer = TargetAnswer{200, "application/json", "{}"};
  Fixture.apply(Whole);
  const AttemptId Second = Fixture.dispatch(2);
  Fixture.apply(TargetConnectionLost{Second});
  Fixture.apply(TargetProbed{true, {}, false});
  Fixture.pass(Fixture.State.Options.PrefixLease * 3);
  CHECK(Fixture.count<ReleaseTargetPrefixes>() == 0);
}

TEST_CASE("Sidecar: a dispatch in flight at shutdown is refused") {
  SidecarFixture Fixture;
  Fixture.apply(SidecarShutdownRequested{});
  // Its owners may not have received the notice yet.
  CHECK(Fixture.count<ExitSidecar>() == 0);
  Fixture.dispatch(1);
  CHECK(Fixture.countSent<AttemptRefused>() == 1);
  Fixture.pass(Fixture.State.Options.ShutdownGracePeriod);
  CHECK(Fixture.count<ExitSidecar>() == 1);
}

TEST_CASE("Sidecar: without owners it exits at once") {
  SidecarFixture Fixture;
  Fixture.apply(OwnerDisconnected{Link});
  Fixture.apply(SidecarShutdownRequested{});
  CHECK(Fixture.count<ExitSidecar>() == 1);
}

TEST_CASE("Sidecar: one unanswered probe does not change the health") {
  SidecarFixture Fixture;
  TargetProbed Silent;
  Silent.IsUnanswered = true;
  Fixture.apply(Silent);
  CHECK(Fixture.State.IsHealthy);
  Fixture.dispatch(1);
  CHECK(Fixture.count<CallTarget>() == 1);
  SECTION("a second one makes the target unhealthy") {
    Fixture.apply(Silent);
    CHECK_FALSE(Fixture.State.IsHealthy);
  }
  SECTION("an answered probe resets the count") {
    Fixture.apply(TargetProbed{true, {}, false});
    Fixture.apply(Silent);
    CHECK(Fixture.State.IsHealthy);
  }
  SECTION("a refused connection makes the target unhealthy at once") {
    Fixture.apply(TargetProbed{false, {}, false});
    CHECK_FALSE(Fixture.State.IsHealthy);
  }
}
