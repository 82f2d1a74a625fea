/// Tests that an entry's state does not grow with the number of programs that
/// have ended.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

std::size_t retainedStateSize(const ConnectedStates &World) {
  std::size_t Count = 0;
  for (const auto &Node : World.Entries) {
    for (const auto &[Id, Shard] : Node.State.Owned)
      Count += Shard.DurableState.size() + Shard.Programs.size() +
               Shard.Attempts.size() + Shard.Pending.size();
    Count += Node.State.Due.size() + Node.State.Requests.size();
  }
  return Count;
}

/// Runs one call for each of 40 programs, then passes enough time for them to
/// be ended as idle and for their answers to be dropped.
void runGeneration(ConnectedStates &World, unsigned Generation) {
  for (unsigned Number = 0; Number < 40; ++Number)
    World.call(Number % 3,
               "program-" + std::to_string(Generation) + "-" +
                   std::to_string(Number),
               "k", false);
  World.settle();
  for (int Hour = 0; Hour < 4; ++Hour) {
    World.passTime(Milliseconds(700000));
    World.settle();
  }
}

} // namespace

TEST_CASE("Bounds: state does not grow with the number of ended programs") {
  ConnectedStates World(1);
  runGeneration(World, 0);
  const std::size_t AfterOne = retainedStateSize(World);
  for (unsigned Generation = 1; Generation < 6; ++Generation)
    runGeneration(World, Generation);
  CHECK(AfterOne == 0);
  CHECK(retainedStateSize(World) == 0);
}
