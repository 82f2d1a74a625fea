#include "Draining.h"

#include "Membership.h"
#include "Ownership.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool isQueueIdle(const AgentQueue &Queue) {
  return !Queue.Active && Queue.Waiting.empty();
}

bool isShardIdle(const OwnedShard &Shard) {
  if (!Shard.Pending.empty())
    return false;
  for (const auto &[Program, Runtime] : Shard.Programs) {
    const auto &Queues = Runtime.AgentQueues;
    if (!std::all_of(Queues.begin(), Queues.end(),
                     [](const auto &Item) { return isQueueIdle(Item.second); }))
      return false;
  }
  return true;
}

bool isIdle(const EntryState &State) {
  return State.Requests.empty() &&
         std::all_of(State.Owned.begin(), State.Owned.end(),
                     [](const auto &Item) { return isShardIdle(Item.second); });
}

bool ownsAnything(const EntryState &State) {
  return std::any_of(State.Table.begin(), State.Table.end(),
                     [&](const auto &Item) {
                       const ShardEntry &Entry = Item.second.Entry;
                       return Entry.Owner == State.Self &&
                              Entry.OwnerInstance == State.Instance;
                     });
}

bool hasSuccessors(const EntryState &State) {
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Item) {
                       const PeerView &Peer = Item.second;
                       return Peer.IsConnected && !Peer.IsLeaving &&
                              isEntryHost(State, Item.first);
                     });
}

void sendLeaving(EntryContext &Context) {
  Context.State.IsLeavingSent = true;
  Context.State.DrainSince = Context.now();
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected)
      Context.send(Host, LeavingNotice{});
  }
}

} // namespace

void handleShutdownRequested(EntryContext &Context) {
  if (Context.State.IsDraining)
    return;
  Context.State.IsDraining = true;
  Context.State.DrainSince = Context.now();
  Context.log("drain_started", {});
  superviseDraining(Context);
}

void superviseDraining(EntryContext &Context) {
  EntryState &State = Context.State;
  if (!State.IsDraining || State.IsExitRequested)
    return;
  const bool IsOverdue =
      Context.now() - State.DrainSince >= State.Options.DrainTimeout;
  if (!State.IsLeavingSent) {
    if (!isIdle(State) && !IsOverdue)
      return;
    if (IsOverdue)
      Context.log("drain_overdue",
                  {{"requests", std::to_string(State.Requests.size())}});
    sendLeaving(Context);
    return;
  }
  if (ownsAnything(State) && hasSuccessors(State) && !IsOverdue)
    return;
  State.IsExitRequested = true;
  Context.log("drain_finished", {});
  Context.Effects.push_back(ExitEntry{});
}

void handleLeaving(EntryContext &Context, const HostId &Host) {
  Context.State.Peers[Host].IsLeaving = true;
  Context.log("peer_leaving", {{"host", Host.Value}});
  superviseShards(Context);
}

} // namespace tanagerlanding
