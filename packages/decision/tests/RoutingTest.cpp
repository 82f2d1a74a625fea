/// Tests of the choice of targets.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

TEST_CASE("Routing: finished calls do not count as load") {
  ConnectedStates World(1);
  // More short calls than two targets may queue, all before the next load
  // report.
  constexpr unsigned Calls = 400;
  for (unsigned Number = 0; Number < Calls; ++Number) {
    World.call(0, "program-" + std::to_string(Number), "k", false);
    bool IsBusy = true;
    while (IsBusy) {
      IsBusy = World.deliver(0);
      IsBusy = World.persist(0) || IsBusy;
      IsBusy = World.endCall(0, ConnectedStates::TargetEnd::Answered) || IsBusy;
    }
  }
  unsigned Answered = 0;
  for (const auto &[Body, Answers] : World.Answers)
    Answered += std::holds_alternative<TargetAnswer>(Answers.front()) ? 1 : 0;
  CHECK(Answered == Calls);
}
