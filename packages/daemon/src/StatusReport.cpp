#include "StatusReport.h"

#include <nlohmann/json.hpp>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

const char *nameOf(ShardPhase Phase) {
  switch (Phase) {
  case ShardPhase::Claiming:
    return "claiming";
  case ShardPhase::Sealing:
    return "sealing";
  case ShardPhase::Copying:
    return "copying";
  case ShardPhase::Confirming:
    return "confirming";
  case ShardPhase::Serving:
    return "serving";
  }
  return "unknown";
}

bool isServed(const EntryState &State, ShardId Id) {
  const auto Row = State.Table.find(Id);
  return Row != State.Table.end() && Row->second.Entry.IsServing &&
         isOwnerLive(State, Row->second.Entry);
}

Json describeShards(const EntryState &State) {
  Json Shards = Json::array();
  for (const auto &[Id, Row] : State.Table) {
    Json Item = {{"shard", Id.Value},
                 {"owner", Row.Entry.Owner.Value},
                 {"epoch", Row.Entry.OwnerEpoch.Value},
                 {"serving", isServed(State, Id)}};
    const auto Owned = State.Owned.find(Id);
    if (Owned != State.Owned.end()) {
      Item["phase"] = nameOf(Owned->second.Phase);
      Item["programs"] = Owned->second.DurableState.size();
    }
    Shards.push_back(Item);
  }
  return Shards;
}

Json describeHost(const EntryState &State, const HostSpec &Host) {
  Json Item = {{"host", Host.Name.Value}, {"zone", Host.Zone.Value}};
  if (Host.Name == State.Self) {
    Item["connected"] = true;
    Item["version"] = State.Accepted.Version.Value;
    return Item;
  }
  const auto Peer = State.Peers.find(Host.Name);
  const PeerView Seen = Peer == State.Peers.end() ? PeerView() : Peer->second;
  Item["connected"] = Seen.IsConnected;
  Item["version"] = Seen.Version.Value;
  const auto Target = State.Targets.find(Host.Name);
  if (Target != State.Targets.end()) {
    Item["healthy"] = Target->second.IsHealthy;
    Item["leaving"] = Target->second.IsLeaving;
    Item["running"] = Target->second.Running;
    Item["queued"] = Target->second.Queued;
  }
  return Item;
}

} // namespace

std::size_t countUnservedShards(const EntryState &State) {
  std::size_t Count = 0;
  for (std::uint32_t Number = 0; Number < State.Options.ShardCount; ++Number)
    Count += isServed(State, ShardId(Number)) ? 0 : 1;
  return Count;
}

std::string describeStatus(const EntryState &State,
                           const ProcessCounts &Counts) {
  Json Hosts = Json::array();
  for (const auto &[Name, Host] : State.Accepted.Hosts)
    Hosts.push_back(describeHost(State, Host));
  return Json({{"host", State.Self.Value},
               {"version", State.Accepted.Version.Value},
               {"draining", State.IsDraining},
               {"unserved_shards", countUnservedShards(State)},
               {"requests", State.Requests.size()},
               {"platform_calls", Counts.PlatformCalls},
               {"sent_bytes", Counts.SentBytes},
               {"shards", describeShards(State)},
               {"hosts", Hosts}})
      .dump(2);
}

std::string describePrograms(const EntryState &State) {
  Json List = Json::array();
  for (const auto &[Id, Shard] : State.Owned) {
    for (const auto &[Program, DurableState] : Shard.DurableState)
      List.push_back({{"program", Program.Value},
                      {"team", DurableState.Team.Value},
                      {"shard", Id.Value},
                      {"calls", DurableState.CallsSpent},
                      {"tokens", DurableState.TokensSpent.Value},
                      {"reserved", DurableState.TokensReserved.Value},
                      {"ended", DurableState.HasEnded}});
  }
  return List.dump();
}

} // namespace tanagerlanding
