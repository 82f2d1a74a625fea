/// Tests takeovers of a shard: claims based on an outdated row, and calls that
/// arrive before the new owner serves.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// Returns an entry that has loaded the program's ledger but is not serving
/// yet.
std::optional<unsigned> findTakingOver(const ConnectedStates &World,
                                       const ProgramId &Program) {
  for (unsigned Entry = 0; Entry < ConnectedStates::EntryCount; ++Entry) {
    for (const auto &[Id, Shard] : World.Entries[Entry].State.Owned) {
      if (Shard.HasOwnState && Shard.Phase != ShardPhase::Serving &&
          Shard.DurableState.count(Program) > 0)
        return Entry;
    }
  }
  return std::nullopt;
}

unsigned ownerOf(const ConnectedStates &World, const ProgramId &Program) {
  for (unsigned Entry = 0; Entry < ConnectedStates::EntryCount; ++Entry) {
    for (const auto &[Id, Shard] : World.Entries[Entry].State.Owned) {
      if (Shard.DurableState.count(Program) > 0)
        return Entry;
    }
  }
  return 0;
}

const ShardId Shard(0);

/// Returns an entry with a journal, whose peer entry-1 has one in another
/// availability zone. The entry has had no connection to entry-2.
EntryState claimingEntry() {
  const std::map<HostId, ZoneId> Hosts = {
      {HostId("entry-0"), ZoneId("hall-concord")},
      {HostId("entry-1"), ZoneId("hall-keene")},
      {HostId("entry-2"), ZoneId("hall-nashua")}};
  Inventory Accepted;
  for (const auto &[Name, Zone] : Hosts) {
    HostSpec Host;
    Host.Name = Name;
    Host.Zone = Zone;
    Host.Role = HostRole::Entry;
    Host.HasDataFolder = true;
    Accepted.Hosts[Name] = Host;
  }
  EntryState State;
  State.Options.withShardCount(1);
  State.Self = HostId("entry-0");
  State.Instance = InstanceId("run-0");
  State.Holder = HolderId("journal-0");
  Hello Peer;
  Peer.Host = HostId("entry-1");
  Peer.Instance = InstanceId("run-1");
  Peer.Holder = HolderId("journal-1");
  reduce(State, EntryEvent(InventoryObserved{Accepted}));
  reduce(State, EntryEvent(PeerConnected{Peer}));
  return State;
}

/// Returns a table with the row of entry-2, whose epoch is serving or about to
/// serve.
TableObserved rowOfEntry2(bool IsServing, std::int64_t ModRevision) {
  VersionedShardEntry Row;
  Row.Entry.OwnerEpoch = Epoch(1);
  Row.Entry.Owner = HostId("entry-2");
  Row.Entry.OwnerInstance = InstanceId("run-2");
  Row.Entry.IsServing = IsServing;
  Row.Entry.Holders = {{HolderId("journal-2"), HostId("entry-2")},
                       {HolderId("journal-1"), HostId("entry-1")}};
  Row.ModRevision = Revision(ModRevision);
  TableObserved Whole;
  Whole.IsWhole = true;
  Whole.Rows.emplace_back(Shard, Row);
  return Whole;
}

/// Passes time, with heartbeats from Peer, and returns the table
/// writes during that time.
std::vector<WriteShardEntry> writesDuring(EntryState &State, Milliseconds Span,
                                          const HostId &Peer) {
  constexpr Milliseconds Step{50};
  std::vector<WriteShardEntry> Writes;
  const Instant End = State.Now + Span;
  while (State.Now < End) {
    reduce(State, EntryEvent(PeerMessageReceived{Peer, Heartbeat{}}));
    for (const EntryEffect &Effect :
         reduce(State, EntryEvent(EntryTick{State.Now + Step}))) {
      if (const auto *Write = std::get_if<WriteShardEntry>(&Effect))
        Writes.push_back(*Write);
    }
  }
  return Writes;
}

} // namespace

TEST_CASE("Takeover: a claim is not repeated on a row that has changed") {
  constexpr Milliseconds LongEnough{10000};
  const HostId Peer("entry-1");
  EntryState State = claimingEntry();
  // This entry is not connected to entry-2, which is live and starts serving.
  reduce(State, EntryEvent(rowOfEntry2(false, 5)));
  const auto Claims = writesDuring(State, LongEnough, Peer);
  REQUIRE_FALSE(Claims.empty());
  CHECK(Claims.front().Entry.Source.empty());
  for (const WriteShardEntry &Claim : Claims)
    CHECK(Claim.Expected == Revision(5));

  reduce(State, EntryEvent(rowOfEntry2(true, 6)));
  const auto Later = writesDuring(State, LongEnough, Peer);
  REQUIRE_FALSE(Later.empty());
  for (const WriteShardEntry &Claim : Later) {
    CHECK(Claim.Expected == Revision(6));
    // The programs are read from the holders of the epoch that was serving.
    CHECK(Claim.Entry.Source.size() == 2);
    CHECK(Claim.Entry.SourceEpoch == Epoch(1));
  }
}

TEST_CASE("Takeover: a repeat before the new owner serves is not run twice") {
  ConnectedStates World(1);
  const ProgramId Program("program-1");
  World.call(0, Program.Value, "k", false);
  while (World.TargetCalls == 0)
    REQUIRE((World.deliver(0) || World.persist(0)));
  World.restartEntry(ownerOf(World, Program));

  std::optional<unsigned> Successor;
  for (int Step = 0; Step < 5000 && !Successor; ++Step) {
    const bool IsBusy =
        World.deliver(0) || World.persist(0) || World.writeTable(false);
    Successor = findTakingOver(World, Program);
    if (IsBusy)
      continue;
    World.connectAll();
    World.readTable(Step % ConnectedStates::EntryCount);
    World.passTime(Milliseconds(50));
  }
  REQUIRE(Successor);
  World.call(*Successor, Program.Value, "k", false);
  const auto *Refused =
      std::get_if<CallFailure>(&World.Answers["program-1/k"].back());
  REQUIRE(Refused);
  CHECK(Refused->Code == CallError::NotOwner);
  World.settle();
  World.call(*Successor, Program.Value, "k", false);
  World.settle();
  CHECK(World.Executions["program-1/k"] == 1);
  const auto &Answers = World.Answers["program-1/k"];
  REQUIRE_FALSE(Answers.empty());
  if (const auto *Failure = std::get_if<CallFailure>(&Answers.back()))
    UNSCOPED_INFO(toString(Failure->Code) << ": " << Failure->Detail);
  CHECK(std::holds_alternative<TargetAnswer>(Answers.back()));
}
