/// Tests that retries stay within their budget, so that failing targets do not
/// multiply the load.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// Delivers and persists everything in flight, and ends every call at a target
/// with End.
void failAll(ConnectedStates &World, ConnectedStates::TargetEnd End) {
  for (int Round = 0; Round < 20; ++Round) {
    bool IsBusy = true;
    while (IsBusy) {
      IsBusy = World.deliver(0);
      IsBusy = World.persist(0) || IsBusy;
      IsBusy = World.endCall(0, End) || IsBusy;
    }
    World.passTime(Milliseconds(100));
  }
}

} // namespace

TEST_CASE("Retries: if all targets fail, load is at most 1.2 times the calls") {
  constexpr unsigned Programs = 300;
  for (const auto End : {ConnectedStates::TargetEnd::BrokenBefore,
                         ConnectedStates::TargetEnd::Unreached}) {
    ConnectedStates World(1);
    for (unsigned Number = 0; Number < Programs; ++Number) {
      World.call(Number % 3, "program-" + std::to_string(Number), "k", true);
      if (Number % 10 == 0)
        failAll(World, End);
    }
    failAll(World, End);
    CHECK(static_cast<double>(World.TargetCalls) <=
          1.2 * static_cast<double>(World.CallerCalls));
    // Every call was answered.
    CHECK(World.Answers.size() == Programs);
  }
}

TEST_CASE("Retries: a call that may have run is not retried") {
  ConnectedStates World(1);
  for (unsigned Number = 0; Number < 50; ++Number) {
    World.call(Number % 3, "program-" + std::to_string(Number), "k", false);
    failAll(World, ConnectedStates::TargetEnd::BrokenAfter);
  }
  CHECK(World.TargetCalls == World.CallerCalls);
  for (const auto &[Body, Answers] : World.Answers) {
    REQUIRE(Answers.size() == 1);
    CHECK(std::get<CallFailure>(Answers[0]).ExecutionStatus ==
          Execution::Unknown);
  }
}
