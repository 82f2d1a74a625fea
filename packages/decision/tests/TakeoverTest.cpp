/// Calls that come while a takeover is under way.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// Returns an entry that knows the program's ledger but does not serve it yet.
std::optional<unsigned> findTakingOver(const ConnectedStates &World,
                                       const ProgramId &Program) {
  for (unsigned Entry = 0; Entry < ConnectedStates::EntryCount; ++Entry) {
    for (const auto &[Id, Shard] : World.Entries[Entry].State.Owned) {
      if (Shard.HasOwnLedger && Shard.Phase != ShardPhase::Serving &&
          Shard.Ledger.count(Program) > 0)
        return Entry;
    }
  }
  return std::nullopt;
}

unsigned ownerOf(const ConnectedStates &World, const ProgramId &Program) {
  for (unsigned Entry = 0; Entry < ConnectedStates::EntryCount; ++Entry) {
    for (const auto &[Id, Shard] : World.Entries[Entry].State.Owned) {
      if (Shard.Ledger.count(Program) > 0)
        return Entry;
    }
  }
  return 0;
}

} // namespace

TEST_CASE("Takeover: a repeat before the new owner serves runs nothing twice") {
  ConnectedStates World(1);
  const ProgramId Program("program-1");
  World.call(0, Program.Value, "k", false);
  while (World.TargetCalls == 0)
    REQUIRE((World.deliver(0) || World.persist(0)));
  World.restartEntry(ownerOf(World, Program));

  std::optional<unsigned> Heir;
  for (int Step = 0; Step < 5000 && !Heir; ++Step) {
    const bool IsBusy =
        World.deliver(0) || World.persist(0) || World.writeTable(false);
    Heir = findTakingOver(World, Program);
    if (IsBusy)
      continue;
    World.connectAll();
    World.readTable(Step % ConnectedStates::EntryCount);
    World.passTime(Milliseconds(50));
  }
  REQUIRE(Heir);
  World.call(*Heir, Program.Value, "k", false);
  const auto *Refused =
      std::get_if<CallFailure>(&World.Answers["program-1/k"].back());
  REQUIRE(Refused);
  CHECK(Refused->Code == CallError::NotOwner);
  World.settle();
  World.call(*Heir, Program.Value, "k", false);
  World.settle();
  CHECK(World.Executions["program-1/k"] == 1);
  const auto &Answers = World.Answers["program-1/k"];
  REQUIRE_FALSE(Answers.empty());
  if (const auto *Failure = std::get_if<CallFailure>(&Answers.back()))
    UNSCOPED_INFO(toString(Failure->Code) << ": " << Failure->Detail);
  CHECK(std::holds_alternative<TargetAnswer>(Answers.back()));
}
